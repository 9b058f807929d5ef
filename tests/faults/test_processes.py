"""Faults of real daemon processes: SIGKILL, SIGSTOP and SIGTERM."""

import threading

import httpx
import pytest

from chivesaddle.standins.expected import expected_text
from chivesaddle.tools import kursuskoda as layout
from chivesaddle.tools.demo import sse_values
from chivesaddle.tools.fleet import Fleet
from chivesaddle.tools.processes import HTTP_CLIENT, wait_until

ACCOUNT = "cooks"
SETTLE_TIMEOUT_S = 60.0
MAX_TOKENS = 200
SETTLED_RESULTS = ("done", "action_in_doubt")


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("build"), daemons=3) as running:
        yield running
        # A graceful stop would wait until the address answers have expired.
        for name in ("daemon-1", "daemon-2", "daemon-3"):
            running.kill(name)


def headers(fleet, **extra_headers):
    return {
        "Authorization": f"Bearer {fleet.keys_by_account[ACCOUNT]}",
        **extra_headers,
    }


def booking_service_names(fleet):
    return [f"booking-{n}" for n in range(1, len(layout.BOOKING_ZONES) + 1)]


def request_reservation(fleet, daemon, key):
    """Return the response, or None if the daemon did not respond."""
    try:
        return httpx.post(
            f"{fleet.callers[daemon]}/v1/services/{layout.SERVICE}/reserve_seat",
            json={"course": "c", "member": key},
            headers=headers(fleet, **{"Idempotency-Key": key}),
            timeout=10.0,
        )
    except httpx.HTTPError:
        return None


def result_of(answer):
    if answer is None:
        return None
    return "done" if answer.is_success else answer.json()["error"]["code"]


class Reservation:
    """One reservation; its daemon is killed or paused while the service runs it."""

    def __init__(self, fleet, key, daemon):
        self.fleet, self.key = fleet, key
        self.results = [None]
        self._first = threading.Thread(
            target=request_reservation, args=(fleet, daemon, key)
        )
        self._first.start()

    def is_settled(self):
        if self.results[-1] not in SETTLED_RESULTS:
            self.results.append(result_of(request_reservation(self.fleet, 0, self.key)))
        return self.results[-1] in SETTLED_RESULTS

    def count_runs(self):
        run_count = 0
        for name in booking_service_names(self.fleet):
            log = HTTP_CLIENT.get(f"{self.fleet.urls_by_name[name]}/control/log").json()
            run_count += sum(run["body"]["member"] == self.key for run in log["runs"])
        return run_count

    def join(self):
        self._first.join()


@pytest.fixture(scope="module")
def reservations(fleet):
    """Kill the daemon of one reservation and pause that of the other.

    Returns the reservations, both settled, after the paused daemon was resumed.
    """
    for name in booking_service_names(fleet):
        fleet.set_faults(name, run_delay_s=1.0)
    killed = Reservation(fleet, "SIGKILL", 2)
    paused = Reservation(fleet, "SIGSTOP", 1)
    url = f"{fleet.urls_by_name['object-api']}/objects/actions"
    # The tests also hold if an action is in another state when the signal arrives.
    wait_until(lambda: HTTP_CLIENT.get(url).text.count('"sending"') == 2, 5.0)
    fleet.kill("daemon-3")
    fleet.pause("daemon-2")
    pair = (killed, paused)
    settled = wait_until(lambda: all([r.is_settled() for r in pair]), SETTLE_TIMEOUT_S)
    assert settled, [r.results for r in pair]
    fleet.resume("daemon-2")
    for reservation in pair:
        reservation.join()
    # A resumed daemon refuses requests until it has read the configuration again.
    health_url = f"{fleet.callers[1]}/healthz"
    confirmed = wait_until(
        lambda: HTTP_CLIENT.get(health_url).status_code == 200, SETTLE_TIMEOUT_S
    )
    assert confirmed, "daemon-2 did not confirm its configuration after SIGCONT"
    return {"SIGKILL": killed, "SIGSTOP": paused}


class TestActions:
    @pytest.mark.fault("at_most_once", step="service runs", fault="{signal}, process")
    @pytest.mark.parametrize("signal", ["SIGKILL", "SIGSTOP"])
    def test_reservation_runs_at_most_once(self, fleet, reservations, signal):
        """Guards against a second run when a caller repeats its lost reservation."""
        reservation = reservations[signal]
        assert result_of(request_reservation(fleet, 1, signal)) in SETTLED_RESULTS
        assert reservation.count_runs() <= 1


class TestStreams:
    @pytest.mark.fault("leaving", step="stream", fault="SIGTERM of the daemon")
    def test_graceful_stop_interrupts_no_stream(self, fleet):
        """Guards against a truncated stream from a daemon that is shutting down."""
        prompt, text = "Which courses are in Tartu?", ""
        body = {
            "model": layout.MODEL,
            "prompt": prompt,
            "max_tokens": MAX_TOKENS,
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
        expected = expected_text(
            layout.MODEL, layout.WEIGHT_VERSION, prompt, MAX_TOKENS
        )
        assert text == expected
