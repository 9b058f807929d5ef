"""Reservations while daemons are lost or paused and while the object API is down."""

from concurrent.futures import ThreadPoolExecutor

from chivesaddle.tools import kursuskoda as shape
from chivesaddle.tools.processes import HTTP, wait_until

from .conftest import BOOKINGS, WAIT_S

# Two remain while two holders are lost.
DAEMONS = 4
# A younger answer of the platform confirms the configuration by itself.
READING_VALID_S = 6.0
KEYS = ("holder killed", "holder paused")


class TestLostHolder:
    """Guards against a second reservation, and against a run called not run."""

    def test_one_run_at_most(self, deployment):
        """One holder is killed and one paused, so that their records age together."""
        fleet = deployment.fleet
        others = fleet.callers[2:]
        for name in BOOKINGS:
            fleet.set_faults(name, answer_delay_s=1.0)
        with ThreadPoolExecutor(4) as pool:
            first = [
                pool.submit(deployment.reserve, url, key, course=key)
                for url, key in zip(fleet.callers, KEYS, strict=False)
            ]
            for key in KEYS:
                assert wait_until(lambda key=key: deployment.runs(course=key), WAIT_S)
            fleet.kill("daemon-1")
            fleet.pause("daemon-2")
            for name in BOOKINGS:
                fleet.set_faults(name)
            settling = [
                pool.submit(ask_until_settled, deployment, others, key) for key in KEYS
            ]
            answers = [settled.result() for settled in settling]
            fleet.resume("daemon-2")
            answers[1].append(first[1].result())
        fleet.restart("daemon-1")
        deployment.wait_until_settled()
        for key, given in zip(KEYS, answers, strict=True):
            given += [deployment.reserve(url, key, course=key) for url in fleet.callers]
            runs = deployment.runs(course=key)
            assert len(runs) == 1
            states = {state_of(answer) for answer in given if answer is not None}
            assert states <= {"sending", "in_doubt", "done"}
            for answer in given:
                if answer is not None and answer.status_code == 200:
                    assert answer.json() == runs[0]["result"]
        # The continued holder reads the service's answer and records it.
        assert wait_until(
            lambda: (
                deployment.reserve(others[0], KEYS[1], course=KEYS[1]).status_code
                == 200
            ),
            WAIT_S,
        )


def ask_until_settled(deployment, urls, key):
    """Ask two daemons at once, again while the action is in progress."""
    found = []

    def settled():
        with ThreadPoolExecutor(len(urls)) as pool:
            asked = [pool.submit(deployment.reserve, u, key, course=key) for u in urls]
            answers = [answer.result() for answer in asked]
        found.extend(answers)
        return all(state_of(answer) != "sending" for answer in answers)

    assert wait_until(settled, 2 * WAIT_S)
    return found


class TestPlatformOutage:
    def test_reservations_stop_and_completions_go_on(self, deployment):
        """Guards against an outage that doubles, loses or blocks work."""
        fleet = deployment.fleet
        url = fleet.callers[0]
        stored = HTTP.post(
            f"{url}/v1/prompts", json={"text": "kept"}, headers=deployment.headers
        ).json()["id"]
        asked = {"model": shape.MODEL, "prompt": "?", "max_tokens": 3}
        asked["prompt_id"] = stored

        def ask_stored():
            return HTTP.post(
                f"{url}/v1/completions", json=asked, headers=deployment.headers
            )

        before = ask_stored()
        assert before.status_code == 200
        fleet.set_faults("object-api", outage=True)
        body = {"course": "outage", "member": "m-2"}
        refused = deployment.reserve(url, "during the outage", **body)
        assert (refused.status_code, state_of(refused)) == (503, "not_run")
        assert refused.json()["error"]["code"] == "not_run"
        assert int(refused.headers["Retry-After"]) > 0
        # From here on only the majority of the daemons confirms the configuration.
        assert wait_until(
            lambda: all(
                deployment.reading_age_s(u) > READING_VALID_S for u in fleet.operators
            ),
            WAIT_S,
        )
        for n, caller in enumerate(fleet.callers):
            assert deployment.complete(caller, f"outage {n}", 3).is_success
        again = ask_stored()
        assert again.status_code == 200
        assert again.json()["choices"] == before.json()["choices"]
        assert deployment.runs(**body) == []
        fleet.set_faults("object-api")
        answers = []

        def done():
            answers.append(deployment.reserve(url, "during the outage", **body))
            return answers[-1].status_code == 200

        assert wait_until(done, WAIT_S)
        assert len(deployment.runs(**body)) == 1
        assert answers[-1].json() == deployment.runs(**body)[0]["result"]


def state_of(answer):
    """Return the state of the action that an answer names."""
    return answer.headers.get("X-Action-State")
