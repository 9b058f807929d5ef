"""Fleets of real processes and the callers that the tests need.

Waits are polls with generous bounds; only bounds stated in the design are asserted.
"""

import json
import os
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import httpx
import openai
import pytest

from chivesaddle.standins.expected import expected_text
from chivesaddle.tools import kursuskoda as shape
from chivesaddle.tools.fleet import Fleet
from chivesaddle.tools.operations import apply_operations
from chivesaddle.tools.processes import HTTP, wait_until

ACCOUNT = "tallinn-team"
WAIT_S = 20.0
ENGINES = tuple(f"engine-{n}" for n in range(1, len(shape.ENGINE_ZONES) + 1))
BOOKINGS = tuple(f"booking-{n}" for n in range(1, len(shape.BOOKING_ZONES) + 1))


def expected(prompt, max_tokens):
    return expected_text(shape.MODEL, shape.WEIGHT_VERSION, prompt, max_tokens)


class StreamedRequest(threading.Thread):
    """A streamed request that notes what its caller receives.

    ``error`` is the failure of the connection or the typed error in the stream.
    """

    def __init__(self, method, url, headers, prompt=None, max_tokens=None):
        super().__init__(daemon=True)
        self._method, self._url, self._headers = method, url, headers
        self._body = prompt and {
            "model": shape.MODEL,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        self.prompt, self.max_tokens = prompt, max_tokens
        self.status = self.request_id = self.error = None
        self.pieces = []
        self.complete = False
        self.start()

    @property
    def text(self):
        return "".join(self.pieces)

    def run(self):
        try:
            with httpx.stream(
                self._method,
                self._url,
                json=self._body,
                headers=self._headers,
                timeout=30.0,
            ) as response:
                self.status = response.status_code
                self.request_id = response.headers.get("X-Request-Id")
                if response.status_code != 200:
                    self.error = response.read().decode()
                    return
                for line in response.iter_lines():
                    self._take(line)
        except httpx.HTTPError as error:
            self.error = repr(error)

    def _take(self, line):
        if line == "data: [DONE]":
            self.complete = True
        elif line.startswith("data: "):
            value = json.loads(line.removeprefix("data: "))
            if "error" in value:
                self.error = value["error"]
                return
            piece = "".join(choice["text"] for choice in value["choices"])
            if piece:
                self.pieces.append(piece)

    def wait_for_tokens(self, count):
        wait_until(lambda: len(self.pieces) >= count or not self.is_alive(), WAIT_S)
        assert len(self.pieces) >= count, (self.status, self.error)
        return self

    def assert_whole(self):
        """Check that the text is complete and exactly the expected one."""
        self.join(WAIT_S)
        assert (self.error, self.complete) == (None, True)
        assert self.text == expected(self.prompt, self.max_tokens)


class Background:
    """Small requests through all daemons until the block ends.

    ``answers`` holds (prompt, status, text) of each; every prompt is new.
    """

    TOKENS = 3
    # Keeps each account far below its limit.
    PAUSE_S = 0.05

    def __init__(self, deployment):
        self._deployment = deployment
        self._keys = list(deployment.fleet.keys_by_account.values())
        self.answers = []

    def __enter__(self):
        self._ended = threading.Event()
        self._pool = ThreadPoolExecutor(len(self._keys))
        self._jobs = [
            self._pool.submit(self._ask, n, key) for n, key in enumerate(self._keys)
        ]
        return self

    def __exit__(self, *_):
        self._ended.set()
        self._pool.shutdown()

    def _ask(self, worker, key):
        callers = self._deployment.fleet.callers
        number = 0
        while not self._ended.wait(self.PAUSE_S):
            prompt = f"background {worker} {number} {time.monotonic()}"
            url = callers[(worker + number) % len(callers)]
            number += 1
            try:
                answer = self._deployment.complete(url, prompt, self.TOKENS, key)
            except httpx.HTTPError as error:
                self.answers.append((prompt, 0, repr(error)))
                continue
            text = answer.text
            if answer.status_code == 200:
                text = answer.json()["choices"][0]["text"]
            self.answers.append((prompt, answer.status_code, text))

    def assert_all_whole(self):
        for job in self._jobs:
            job.result()
        assert self.answers
        wrong = [
            answer
            for answer in self.answers
            if answer[1:] != (200, expected(answer[0], self.TOKENS))
        ]
        assert wrong == []


class Deployment:
    """A fleet with shorthands for callers and operators."""

    engines = ENGINES

    def __init__(self, fleet):
        self.fleet = fleet
        self.key = fleet.keys_by_account[ACCOUNT]
        self.headers = {"Authorization": f"Bearer {self.key}"}

    def client(self, url, key=None):
        return openai.OpenAI(
            base_url=f"{url}/v1", api_key=key or self.key, max_retries=0, timeout=20.0
        )

    def complete(self, url, prompt, max_tokens, key=None):
        body = {"model": shape.MODEL, "prompt": prompt, "max_tokens": max_tokens}
        return HTTP.post(
            f"{url}/v1/completions",
            json=body,
            headers={"Authorization": f"Bearer {key or self.key}"},
            timeout=30.0,
        )

    def stream(self, url, prompt, max_tokens):
        return StreamedRequest(
            "POST", f"{url}/v1/completions", self.headers, prompt, max_tokens
        )

    def resume(self, url, request_id, after):
        where = f"{url}/v1/requests/{request_id}/stream?after={after}"
        return StreamedRequest("GET", where, self.headers)

    def reserve(self, url, key, **body):
        """Ask for a reservation; an unanswered request gives None."""
        try:
            return HTTP.post(
                f"{url}/v1/services/{shape.SERVICE}/reserve_seat",
                json=body,
                headers={**self.headers, "Idempotency-Key": key},
                timeout=30.0,
            )
        except httpx.HTTPError:
            return None

    def runs(self, **body):
        """Return the booking service's runs with this body."""
        return [
            run
            for name in BOOKINGS
            for run in HTTP.get(f"{self.fleet.urls_by_name[name]}/control/log").json()[
                "runs"
            ]
            if run["body"] == body
        ]

    def addresses(self, url):
        answer = HTTP.get(f"{url}/v1/addresses", headers=self.headers)
        return answer.raise_for_status().json()["urls"]

    def healthy(self, url):
        try:
            return HTTP.get(f"{url}/healthz").status_code == 200
        except httpx.HTTPError:
            return False

    def wait_until_settled(self, callers=None):
        """Wait until these daemons, by default all, serve and name each other."""
        callers = callers or self.fleet.callers

        def settled():
            return all(map(self.healthy, callers)) and all(
                set(self.addresses(url)) == set(callers) for url in callers
            )

        assert wait_until(settled, WAIT_S)

    def cli(self, *arguments, url=None):
        """Run the operators' command line tool."""
        return subprocess.run(
            [sys.executable, "-m", "chivesaddle.cli", *arguments],
            env={
                **os.environ,
                "PYTHONPATH": os.pathsep.join(filter(None, sys.path)),
                "CHIVESADDLE_URL": url or ",".join(self.fleet.operators),
                "CHIVESADDLE_KEY": self.fleet.operator_key,
            },
            capture_output=True,
            text=True,
            timeout=60,
        )

    def configuration(self, url):
        """Return what is in force on the daemon with this operators' URL."""
        answer = HTTP.get(
            f"{url}/operator/v1/configuration",
            headers={"Authorization": f"Bearer {self.fleet.operator_key}"},
        )
        return answer.raise_for_status().json()

    def reading_age_s(self, url):
        """Return the age of the platform's last answer known to a daemon."""
        answer = HTTP.get(
            f"{url}/operator/v1/status",
            headers={"Authorization": f"Bearer {self.fleet.operator_key}"},
        )
        return answer.raise_for_status().json()["configuration"]["reading_age_s"]

    def use_again(self, name):
        """Change a server, which ends its leaving as far as daemons know."""
        url = self.fleet.operators[0]
        server = self.configuration(url)["backend_servers_by_id"][name]
        server["max_running"] += 1
        operation = {**server, "kind": "put_backend_server"}
        apply_operations(url, self.fleet.operator_key, [operation], "used again")

    def events(self, url=None, **wanted):
        """Return events of all daemons."""
        answer = HTTP.get(
            f"{url or self.fleet.operators[0]}/operator/v1/timeline",
            params=wanted,
            headers={"Authorization": f"Bearer {self.fleet.operator_key}"},
        )
        return answer.raise_for_status().json()["events"]


@pytest.fixture(scope="module")
def deployment(request, tmp_path_factory):
    """A running fleet; a module's ``DAEMONS`` sets its number of daemons."""
    daemons = getattr(request.module, "DAEMONS", 3)
    with Fleet(tmp_path_factory.mktemp("fleet"), daemons=daemons) as fleet:
        found = Deployment(fleet)
        found.wait_until_settled()
        yield found
        # Draining daemons would wait for the expiry of their address answers.
        for n in range(1, len(fleet.callers) + 1):
            fleet.kill(f"daemon-{n}")


@pytest.fixture
def background(deployment):
    return Background(deployment)
