"""Three rows against real processes: SIGKILL, SIGSTOP and SIGTERM of a daemon."""

import threading

import httpx
import pytest

from chivesaddle.standins.expected import expected_text
from chivesaddle.tools import kursuskoda as shape
from chivesaddle.tools.demo import sse_values
from chivesaddle.tools.fleet import Fleet
from chivesaddle.tools.processes import HTTP, wait_until

ACCOUNT = "cooks"
SETTLED_WAIT_S = 60.0
TOKENS = 200
SETTLED = ("done", "action_in_doubt")


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("build"), daemons=3) as running:
        yield running
        # Their graceful stop would wait for the end of address answers.
        for name in ("daemon-1", "daemon-2", "daemon-3"):
            running.kill(name)


def headers(fleet, **more):
    return {"Authorization": f"Bearer {fleet.keys_by_account[ACCOUNT]}", **more}


def bookings(fleet):
    return [f"booking-{n}" for n in range(1, len(shape.BOOKING_ZONES) + 1)]


def reserve(fleet, daemon, key):
    """Return the answer, or None if the daemon did not answer."""
    try:
        return httpx.post(
            f"{fleet.callers[daemon]}/v1/services/{shape.SERVICE}/reserve_seat",
            json={"course": "c", "member": key},
            headers=headers(fleet, **{"Idempotency-Key": key}),
            timeout=10.0,
        )
    except httpx.HTTPError:
        return None


def code_of(answer):
    if answer is None:
        return None
    return "done" if answer.is_success else answer.json()["error"]["code"]


class Reservation:
    """One reservation whose holder is struck while the service runs it."""

    def __init__(self, fleet, key, daemon):
        self.fleet, self.key = fleet, key
        self.codes = [None]
        self._first = threading.Thread(target=reserve, args=(fleet, daemon, key))
        self._first.start()

    def is_settled(self):
        if self.codes[-1] not in SETTLED:
            self.codes.append(code_of(reserve(self.fleet, 0, self.key)))
        return self.codes[-1] in SETTLED

    def runs(self):
        found = 0
        for name in bookings(self.fleet):
            log = HTTP.get(f"{self.fleet.urls_by_name[name]}/control/log").json()
            found += sum(run["body"]["member"] == self.key for run in log["runs"])
        return found

    def join(self):
        self._first.join()


@pytest.fixture(scope="module")
def reservations(fleet):
    """Kill one holder and pause the other; both daemons are back afterwards."""
    for name in bookings(fleet):
        fleet.set_faults(name, run_delay_s=1.0)
    killed = Reservation(fleet, "SIGKILL", 2)
    paused = Reservation(fleet, "SIGSTOP", 1)
    url = f"{fleet.urls_by_name['object-api']}/objects/actions"
    # The verdict holds wherever the signals meet the actions.
    wait_until(lambda: HTTP.get(url).text.count('"sending"') == 2, 5.0)
    fleet.kill("daemon-3")
    fleet.pause("daemon-2")
    both = (killed, paused)
    settled = wait_until(lambda: all([r.is_settled() for r in both]), SETTLED_WAIT_S)
    assert settled, [r.codes for r in both]
    fleet.resume("daemon-2")
    for reservation in both:
        reservation.join()
    return {"SIGKILL": killed, "SIGSTOP": paused}


class TestActions:
    @pytest.mark.fault("at_most_once", step="service runs", fault="{signal}, process")
    @pytest.mark.parametrize("signal", ["SIGKILL", "SIGSTOP"])
    def test_reservation_runs_at_most_once(self, fleet, reservations, signal):
        """Guards against a second run when a caller repeats its lost reservation."""
        reservation = reservations[signal]
        assert code_of(reserve(fleet, 1, signal)) in SETTLED
        assert reservation.runs() <= 1


class TestStreams:
    @pytest.mark.fault("leaving", step="stream", fault="SIGTERM of the daemon")
    def test_graceful_stop_cuts_no_stream(self, fleet):
        """Guards against a short answer from a daemon that is shutting down."""
        prompt, text = "Which courses are in Tartu?", ""
        body = {
            "model": shape.MODEL,
            "prompt": prompt,
            "max_tokens": TOKENS,
            "stream": True,
        }
        url = f"{fleet.callers[0]}/v1/completions"
        with httpx.stream(
            "POST", url, json=body, headers=headers(fleet), timeout=30.0
        ) as response:
            for number, value in enumerate(sse_values(response)):
                if number == 1:
                    fleet.terminate("daemon-1")
                text += "".join(choice["text"] for choice in value["choices"])
        expected = expected_text(shape.MODEL, shape.WEIGHT_VERSION, prompt, TOKENS)
        assert text == expected
