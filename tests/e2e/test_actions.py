"""Reservations while daemons are lost or paused and while the object API is down."""

from concurrent.futures import ThreadPoolExecutor

from chivesaddle.tools import kursuskoda as layout
from chivesaddle.tools.processes import HTTP_CLIENT, wait_until

from .conftest import BOOKING_SERVICE_NAMES, WAIT_TIMEOUT_S

# Two daemons keep running while one is killed and one is paused.
DAEMONS = 4
# A platform reading younger than this confirms the configuration by itself.
PLATFORM_READING_VALID_S = 6.0
ACTION_KEYS = ("holder killed", "holder paused")


class TestLostHolder:
    """Guards against a second run, and against ``not_run`` for an action that ran."""

    def test_one_run_at_most(self, deployment):
        """Lose the holders of two actions at once, so that both waits overlap."""
        fleet = deployment.fleet
        other_urls = fleet.callers[2:]
        for name in BOOKING_SERVICE_NAMES:
            fleet.set_faults(name, answer_delay_s=1.0)
        with ThreadPoolExecutor(4) as pool:
            first_calls = [
                pool.submit(deployment.reserve, url, key, course=key)
                for url, key in zip(fleet.callers, ACTION_KEYS, strict=False)
            ]
            for key in ACTION_KEYS:
                assert wait_until(
                    lambda key=key: deployment.runs(course=key), WAIT_TIMEOUT_S
                )
            fleet.kill("daemon-1")
            fleet.pause("daemon-2")
            for name in BOOKING_SERVICE_NAMES:
                fleet.set_faults(name)
            pending_responses = [
                pool.submit(repeat_until_settled, deployment, other_urls, key)
                for key in ACTION_KEYS
            ]
            responses = [pending.result() for pending in pending_responses]
            fleet.resume("daemon-2")
            responses[1].append(first_calls[1].result())
        fleet.restart("daemon-1")
        deployment.wait_until_settled()
        for key, key_responses in zip(ACTION_KEYS, responses, strict=True):
            key_responses += [
                deployment.reserve(url, key, course=key) for url in fleet.callers
            ]
            runs = deployment.runs(course=key)
            assert len(runs) == 1
            states = {
                action_state(response)
                for response in key_responses
                if response is not None
            }
            assert states <= {"sending", "in_doubt", "done"}
            for response in key_responses:
                if response is not None and response.status_code == 200:
                    assert response.json() == runs[0]["result"]
        # The resumed holder reads the service's response and records it.
        assert wait_until(
            lambda: (
                deployment.reserve(
                    other_urls[0], ACTION_KEYS[1], course=ACTION_KEYS[1]
                ).status_code
                == 200
            ),
            WAIT_TIMEOUT_S,
        )


def repeat_until_settled(deployment, urls, key):
    """Call all ``urls`` concurrently, until no response says ``sending``."""
    all_responses = []

    def is_settled():
        with ThreadPoolExecutor(len(urls)) as pool:
            futures = [
                pool.submit(deployment.reserve, u, key, course=key) for u in urls
            ]
            responses = [future.result() for future in futures]
        all_responses.extend(responses)
        return all(action_state(response) != "sending" for response in responses)

    assert wait_until(is_settled, 2 * WAIT_TIMEOUT_S)
    return all_responses


class TestPlatformOutage:
    def test_reservations_stop_and_completions_go_on(self, deployment):
        """Guards against duplicate or lost actions and against failing completions."""
        fleet = deployment.fleet
        url = fleet.callers[0]
        prompt_id = HTTP_CLIENT.post(
            f"{url}/v1/prompts", json={"text": "kept"}, headers=deployment.headers
        ).json()["id"]
        request = {"model": layout.MODEL, "prompt": "?", "max_tokens": 3}
        request["prompt_id"] = prompt_id

        def send_with_stored_prompt():
            return HTTP_CLIENT.post(
                f"{url}/v1/completions", json=request, headers=deployment.headers
            )

        first_response = send_with_stored_prompt()
        assert first_response.status_code == 200
        fleet.set_faults("object-api", outage=True)
        body = {"course": "outage", "member": "m-2"}
        refused = deployment.reserve(url, "during the outage", **body)
        assert (refused.status_code, action_state(refused)) == (503, "not_run")
        assert refused.json()["error"]["code"] == "not_run"
        assert int(refused.headers["Retry-After"]) > 0
        # From here on, only a majority of daemons can confirm the configuration.
        assert wait_until(
            lambda: all(
                deployment.reading_age_s(u) > PLATFORM_READING_VALID_S
                for u in fleet.operators
            ),
            WAIT_TIMEOUT_S,
        )
        for n, caller_url in enumerate(fleet.callers):
            assert deployment.send_completion(caller_url, f"outage {n}", 3).is_success
        second_response = send_with_stored_prompt()
        assert second_response.status_code == 200
        assert second_response.json()["choices"] == first_response.json()["choices"]
        assert deployment.runs(**body) == []
        fleet.set_faults("object-api")
        responses = []

        def is_done():
            responses.append(deployment.reserve(url, "during the outage", **body))
            return responses[-1].status_code == 200

        assert wait_until(is_done, WAIT_TIMEOUT_S)
        assert len(deployment.runs(**body)) == 1
        assert responses[-1].json() == deployment.runs(**body)[0]["result"]


def action_state(response):
    """Return the action's state from the headers of a response."""
    return response.headers.get("X-Action-State")
