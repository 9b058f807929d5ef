"""Fleets of real processes, and callers for the tests.

Waits poll with generous timeouts; only the time limits of the design are asserted.
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
from chivesaddle.tools import kursuskoda as layout
from chivesaddle.tools.fleet import Fleet
from chivesaddle.tools.operations import apply_operations
from chivesaddle.tools.processes import HTTP_CLIENT, wait_until

ACCOUNT = "tallinn-team"
WAIT_TIMEOUT_S = 20.0
ENGINE_NAMES = tuple(f"engine-{n}" for n in range(1, len(layout.ENGINE_ZONES) + 1))
BOOKING_SERVICE_NAMES = tuple(
    f"booking-{n}" for n in range(1, len(layout.BOOKING_ZONES) + 1)
)


def expected_completion(prompt, max_tokens):
    return expected_text(layout.MODEL, layout.WEIGHT_VERSION, prompt, max_tokens)


class StreamedRequest(threading.Thread):
    """A streamed request, run in a thread, that records what its caller receives.

    ``error`` is the failure of the connection or the typed error in the stream.
    """

    def __init__(self, method, url, headers, prompt=None, max_tokens=None):
        super().__init__(daemon=True)
        self._method, self._url, self._headers = method, url, headers
        self._body = prompt and {
            "model": layout.MODEL,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        self.prompt, self.max_tokens = prompt, max_tokens
        self.status = self.request_id = self.error = None
        self.text_chunks = []
        self.is_complete = False
        self.start()

    @property
    def text(self):
        return "".join(self.text_chunks)

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
                    self._process_line(line)
        except httpx.HTTPError as error:
            self.error = repr(error)

    def _process_line(self, line):
        if line == "data: [DONE]":
            self.is_complete = True
        elif line.startswith("data: "):
            value = json.loads(line.removeprefix("data: "))
            if "error" in value:
                self.error = value["error"]
                return
            text_chunk = "".join(choice["text"] for choice in value["choices"])
            if text_chunk:
                self.text_chunks.append(text_chunk)

    def wait_for_tokens(self, count):
        wait_until(
            lambda: len(self.text_chunks) >= count or not self.is_alive(),
            WAIT_TIMEOUT_S,
        )
        assert len(self.text_chunks) >= count, (self.status, self.error)
        return self

    def assert_text_complete(self):
        """Check that the text is complete and equals the expected one."""
        self.join(WAIT_TIMEOUT_S)
        assert (self.error, self.is_complete) == (None, True)
        assert self.text == expected_completion(self.prompt, self.max_tokens)


class BackgroundLoad:
    """Sends small requests through all daemons until the ``with`` block ends.

    ``responses`` holds (prompt, status, text) of each; every prompt is used once.
    """

    MAX_TOKENS = 3
    # Keeps each account far below its rate limit.
    PAUSE_S = 0.05

    def __init__(self, deployment):
        self._deployment = deployment
        self._keys = list(deployment.fleet.keys_by_account.values())
        self.responses = []

    def __enter__(self):
        self._stop_requested = threading.Event()
        self._pool = ThreadPoolExecutor(len(self._keys))
        self._futures = [
            self._pool.submit(self._send_requests, n, key)
            for n, key in enumerate(self._keys)
        ]
        return self

    def __exit__(self, *_):
        self._stop_requested.set()
        self._pool.shutdown()

    def _send_requests(self, worker, key):
        callers = self._deployment.fleet.callers
        request_count = 0
        while not self._stop_requested.wait(self.PAUSE_S):
            prompt = f"background {worker} {request_count} {time.monotonic()}"
            url = callers[(worker + request_count) % len(callers)]
            request_count += 1
            try:
                response = self._deployment.send_completion(
                    url, prompt, self.MAX_TOKENS, key
                )
            except httpx.HTTPError as error:
                self.responses.append((prompt, 0, repr(error)))
                continue
            text = response.text
            if response.status_code == 200:
                text = response.json()["choices"][0]["text"]
            self.responses.append((prompt, response.status_code, text))

    def assert_all_complete(self):
        for future in self._futures:
            future.result()
        assert self.responses
        wrong_responses = [
            response
            for response in self.responses
            if response[1:] != (200, expected_completion(response[0], self.MAX_TOKENS))
        ]
        assert wrong_responses == []


class Deployment:
    """A fleet with helper methods for requests of callers and operators."""

    engines = ENGINE_NAMES

    def __init__(self, fleet):
        self.fleet = fleet
        self.key = fleet.keys_by_account[ACCOUNT]
        self.headers = {"Authorization": f"Bearer {self.key}"}

    def client(self, url, key=None):
        return openai.OpenAI(
            base_url=f"{url}/v1", api_key=key or self.key, max_retries=0, timeout=20.0
        )

    def send_completion(self, url, prompt, max_tokens, key=None):
        body = {"model": layout.MODEL, "prompt": prompt, "max_tokens": max_tokens}
        return HTTP_CLIENT.post(
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
        stream_url = f"{url}/v1/requests/{request_id}/stream?after={after}"
        return StreamedRequest("GET", stream_url, self.headers)

    def reserve(self, url, key, **body):
        """Request a reservation; return None if there is no response."""
        try:
            return HTTP_CLIENT.post(
                f"{url}/v1/services/{layout.SERVICE}/reserve_seat",
                json=body,
                headers={**self.headers, "Idempotency-Key": key},
                timeout=30.0,
            )
        except httpx.HTTPError:
            return None

    def runs(self, **body):
        """Return the booking services' runs of operations with this body."""
        return [
            run
            for name in BOOKING_SERVICE_NAMES
            for run in HTTP_CLIENT.get(
                f"{self.fleet.urls_by_name[name]}/control/log"
            ).json()["runs"]
            if run["body"] == body
        ]

    def addresses(self, url):
        response = HTTP_CLIENT.get(f"{url}/v1/addresses", headers=self.headers)
        return response.raise_for_status().json()["urls"]

    def is_healthy(self, url):
        try:
            return HTTP_CLIENT.get(f"{url}/healthz").status_code == 200
        except httpx.HTTPError:
            return False

    def wait_until_settled(self, callers=None):
        """Wait until these daemons (by default all) serve and list each other."""
        callers = callers or self.fleet.callers

        def is_settled():
            return all(map(self.is_healthy, callers)) and all(
                set(self.addresses(url)) == set(callers) for url in callers
            )

        assert wait_until(is_settled, WAIT_TIMEOUT_S)

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
        """Return the active configuration of the daemon with this operator URL."""
        response = HTTP_CLIENT.get(
            f"{url}/operator/v1/configuration",
            headers={"Authorization": f"Bearer {self.fleet.operator_key}"},
        )
        return response.raise_for_status().json()

    def reading_age_s(self, url):
        """Return the age of the last platform reading that a daemon knows."""
        response = HTTP_CLIENT.get(
            f"{url}/operator/v1/status",
            headers={"Authorization": f"Bearer {self.fleet.operator_key}"},
        )
        return response.raise_for_status().json()["configuration"]["reading_age_s"]

    def reuse_server(self, name):
        """Change a server's configuration, after which daemons use it again."""
        url = self.fleet.operators[0]
        server = self.configuration(url)["backend_servers_by_id"][name]
        server["max_running"] += 1
        operation = {**server, "kind": "put_backend_server"}
        apply_operations(url, self.fleet.operator_key, [operation], "used again")

    def events(self, url=None, **filters):
        """Return the events of all daemons that match the given filters."""
        response = HTTP_CLIENT.get(
            f"{url or self.fleet.operators[0]}/operator/v1/timeline",
            params=filters,
            headers={"Authorization": f"Bearer {self.fleet.operator_key}"},
        )
        return response.raise_for_status().json()["events"]


@pytest.fixture(scope="module")
def deployment(request, tmp_path_factory):
    """A running fleet; a test module's ``DAEMONS`` sets its number of daemons."""
    daemons = getattr(request.module, "DAEMONS", 3)
    with Fleet(tmp_path_factory.mktemp("fleet"), daemons=daemons) as fleet:
        deployment = Deployment(fleet)
        deployment.wait_until_settled()
        yield deployment
        # A graceful stop would wait until the address answers have expired.
        for n in range(1, len(fleet.callers) + 1):
            fleet.kill(f"daemon-{n}")


@pytest.fixture
def background_load(deployment):
    return BackgroundLoad(deployment)
