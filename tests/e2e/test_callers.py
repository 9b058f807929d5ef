"""Callers of a fleet without faults: the OpenAI client, invalid input, the timeline."""

import json
import socket
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import openai
import pytest

from chivesaddle.standins.blocks import BLOCK_BYTES
from chivesaddle.standins.expected import expected_text, render_chat
from chivesaddle.tools import kursuskoda as layout
from chivesaddle.tools.ports import free_ports
from chivesaddle.tools.processes import HTTP_CLIENT

MESSAGES = [{"role": "user", "content": "Which courses start in May?" * 100}]
MAX_TOKENS = 12


def expected_completion(prompt):
    return expected_text(layout.MODEL, layout.WEIGHT_VERSION, prompt, MAX_TOKENS)


def connect(url):
    host, _, port = url.removeprefix("http://").partition(":")
    return socket.create_connection((host, int(port)), timeout=20)


def read_all(connection):
    received = b""
    while chunk := connection.recv(65_536):
        received += chunk
    return received


def error_of(raw):
    """Return the status and the error code of a raw HTTP response."""
    head, _, body = raw.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)["error"]["code"]


@pytest.fixture(scope="module")
def incomplete_request(deployment):
    """An incomplete request, sent before the other tests of this module."""
    with connect(deployment.fleet.callers[0]) as connection:
        connection.sendall(b"POST /v1/completions HTTP/1.1\r\nContent-Length: 99\r\n")
        yield connection


@pytest.mark.usefixtures("incomplete_request")
class TestOpenAiClient:
    """Guards against responses that the unmodified OpenAI client can't parse."""

    @pytest.mark.parametrize("daemon_index", range(3))
    def test_chat(self, deployment, daemon_index):
        client = deployment.client(deployment.fleet.callers[daemon_index])
        expected_content = expected_completion(render_chat(MESSAGES))
        arguments = {
            "model": layout.MODEL,
            "messages": MESSAGES,
            "max_tokens": MAX_TOKENS,
        }
        response = client.chat.completions.create(**arguments)
        assert response.choices[0].message.content == expected_content
        chunks = list(client.chat.completions.create(**arguments, stream=True))
        text_chunks = [c.choices[0].delta.content or "" for c in chunks if c.choices]
        assert "".join(text_chunks) == expected_content
        assert chunks[-1].usage.prompt_tokens_details.cached_tokens is not None

    @pytest.mark.parametrize("daemon_index", range(3))
    def test_completion(self, deployment, daemon_index):
        client = deployment.client(deployment.fleet.callers[daemon_index])
        prompt = f"handbook {daemon_index} " * BLOCK_BYTES
        arguments = {
            "model": layout.MODEL,
            "prompt": prompt,
            "max_tokens": MAX_TOKENS,
        }
        response = client.completions.create(**arguments)
        assert response.choices[0].text == expected_completion(prompt)
        assert response.usage.prompt_tokens_details.cached_tokens == 0
        again = client.completions.create(**arguments)
        assert again.usage.prompt_tokens_details.cached_tokens > 0
        chunks = list(client.completions.create(**arguments, stream=True))
        text_chunks = [chunk.choices[0].text for chunk in chunks if chunk.choices]
        assert "".join(text_chunks) == expected_completion(prompt)
        assert chunks[-1].usage.prompt_tokens_details.cached_tokens > 0

    @pytest.mark.parametrize("daemon_index", range(3))
    def test_models_and_errors(self, deployment, daemon_index):
        url = deployment.fleet.callers[daemon_index]
        assert [m.id for m in deployment.client(url).models.list()] == [layout.MODEL]
        with pytest.raises(openai.AuthenticationError) as wrong_key:
            deployment.client(url, "not-a-key").models.list()
        assert wrong_key.value.code == "invalid_api_key"
        with pytest.raises(openai.NotFoundError) as wrong_model:
            deployment.client(url).completions.create(model="no-model", prompt="a")
        assert wrong_model.value.code == "model_not_found"
        assert wrong_model.value.type == "invalid_request_error"


class TestInvalidInput:
    """Guards against invalid input that gets no typed error or harms other requests."""

    def test_each_is_answered_with_a_typed_error(self, deployment, incomplete_request):
        url = deployment.fleet.callers[0]
        running = deployment.stream(url, "a request beside bad input", 400)
        running.wait_for_tokens(1)
        headers = deployment.headers
        completions_url = f"{url}/v1/completions"
        valid = {"model": layout.MODEL, "prompt": "a"}
        no_model, wrong_type = {}, {"model": layout.MODEL, "prompt": {"a": 1}}
        wrong_limit = {**valid, "max_tokens": -1}
        responses = {
            "broken JSON": HTTP_CLIENT.post(
                completions_url, content=b'{"model": ', headers=headers
            ),
            "not an object": HTTP_CLIENT.post(
                completions_url, json=[1], headers=headers
            ),
            "not UTF-8": HTTP_CLIENT.post(
                completions_url, content=b"\xff\xfe", headers=headers
            ),
            "deep": HTTP_CLIENT.post(
                completions_url, content=b"[" * 100_000, headers=headers
            ),
            "no model": HTTP_CLIENT.post(
                completions_url, json=no_model, headers=headers
            ),
            "wrong type": HTTP_CLIENT.post(
                completions_url, json=wrong_type, headers=headers
            ),
            "wrong limit": HTTP_CLIENT.post(
                completions_url, json=wrong_limit, headers=headers
            ),
            "unknown model": HTTP_CLIENT.post(
                completions_url, json={**valid, "model": "x" * 5_000}, headers=headers
            ),
            "wrong key": HTTP_CLIENT.post(
                completions_url,
                json=valid,
                headers={"Authorization": "Bearer \u00e9".encode()},
            ),
            "no key": HTTP_CLIENT.post(completions_url, json=valid),
            "wrong method": HTTP_CLIENT.get(completions_url, headers=headers),
            "path": HTTP_CLIENT.get(f"{url}/v1/%00%ff/../{'x' * 500}", headers=headers),
            "stream id": HTTP_CLIENT.get(
                f"{url}/v1/requests/%ff/stream", headers=headers
            ),
            "method": HTTP_CLIENT.request("X" * 300, completions_url, headers=headers),
            "after": HTTP_CLIENT.get(
                f"{url}/v1/requests/req_1/stream?after=-1", headers=headers
            ),
            "no key for an action": HTTP_CLIENT.post(
                f"{url}/v1/services/{layout.SERVICE}/reserve_seat",
                json={},
                headers=headers,
            ),
        }
        statuses = {name: response.status_code for name, response in responses.items()}
        assert statuses == {
            "broken JSON": 400,
            "not an object": 400,
            "not UTF-8": 400,
            "deep": 400,
            "no model": 400,
            "wrong type": 400,
            "wrong limit": 400,
            "unknown model": 404,
            "wrong key": 401,
            "no key": 401,
            "wrong method": 405,
            "path": 404,
            "stream id": 400,
            "method": 405,
            "after": 400,
            "no key for an action": 400,
        }
        for name, response in responses.items():
            error = response.json()["error"]
            assert error["code"] and error["message"] and error["type"], name
        running.assert_text_complete()

    @pytest.mark.parametrize("listener", ["callers", "operators"])
    @pytest.mark.parametrize("declared", [True, False])
    def test_huge_body_is_refused(self, deployment, declared, listener):
        length = (
            b"Content-Length: 9000000" if declared else b"Transfer-Encoding: chunked"
        )
        with connect(getattr(deployment.fleet, listener)[0]) as connection:
            connection.sendall(
                b"POST /v1/completions HTTP/1.1\r\nHost: a\r\n" + length + b"\r\n\r\n"
            )
            chunk = (
                b"x" * 65_536 if declared else b"10000\r\n" + b"x" * 65_536 + b"\r\n"
            )
            received = b""
            try:
                for _ in range(100):
                    connection.sendall(chunk)
            except OSError:
                pass
            try:
                received = read_all(connection)
            except ConnectionResetError:
                pytest.fail("the connection was reset before the error could be read")
        assert error_of(received) == (413, "body_too_large")

    @pytest.mark.parametrize(
        "raw", [b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n", b"nonsense\r\n\r\n"]
    )
    def test_non_http_data_is_refused(self, deployment, raw):
        with connect(deployment.fleet.callers[0]) as connection:
            connection.sendall(raw)
            assert read_all(connection).startswith(b"HTTP/1.1 400")


class TestTimeline:
    def test_shows_a_request_from_arrival_to_last_token(self, deployment):
        """Guards against a timeline without the events of the daemon that served."""
        fleet = deployment.fleet
        stream = deployment.stream(fleet.callers[1], "a request to follow", 5)
        stream.join(20)
        request_name = stream.request_id.partition(".")[0]
        timeline = deployment.cli(
            "timeline", "--request", request_name, "--output", "json"
        )
        assert timeline.returncode == 0, timeline.stderr
        events = [json.loads(line) for line in timeline.stdout.splitlines()]
        assert [event["kind"] for event in events] == [
            "request_received",
            "request_routed",
            "request_first_token",
            "request_finished",
        ]
        assert {event["daemon"] for event in events} == {"daemon-2"}
        assert events[-1]["detail"]["tokens"] == 5


def run_daemon(path):
    return subprocess.run(
        [sys.executable, "-m", "chivesaddle.daemon.main", "--config", str(path)],
        env={"PYTHONPATH": ":".join(filter(None, sys.path))},
        capture_output=True,
        text=True,
        timeout=30,
    )


class TestStartFailures:
    """Guards against a daemon that keeps running although it can't serve."""

    def settings(self, fleet, tmp_path, **changed):
        callers, operators, peers = free_ports(3)
        tmp_path.mkdir(exist_ok=True)
        path = tmp_path / "daemon.json"
        value = {
            "daemon_id": "daemon-9",
            "zone": layout.ZONES[0],
            "callers": {"port": callers},
            "operators": {"port": operators},
            "peers": {"port": peers},
            "caller_url": f"http://127.0.0.1:{callers}",
            "platform_url": fleet.urls_by_name["object-api"],
            **changed,
        }
        path.write_text(json.dumps(value))
        return path

    def test_wrong_settings_name_field_value_and_remedy(self, deployment, tmp_path):
        path = self.settings(deployment.fleet, tmp_path, callers={"port": 99_999})
        result = run_daemon(path)
        assert result.returncode != 0
        for part in ("callers.port", "99999", "docs/settings.md"):
            assert part in result.stderr
        assert "Traceback" not in result.stderr

    def test_port_in_use(self, deployment, tmp_path):
        listeners = ("callers", "operators", "peers")
        with socket.create_server(("127.0.0.1", 0)) as taken:
            port = taken.getsockname()[1]
            paths = [
                self.settings(
                    deployment.fleet,
                    tmp_path / listener,
                    **{listener: {"port": port}},
                )
                for listener in listeners
            ]
            with ThreadPoolExecutor(len(paths)) as pool:
                results = list(pool.map(run_daemon, paths))
        for listener, result in zip(listeners, results, strict=True):
            assert result.returncode != 0
            output = result.stdout + result.stderr
            for part in ("listen_failed", f"127.0.0.1:{port}", f"change {listener}"):
                assert part in output
            assert "Traceback" not in output


class TestIncompleteRequest:
    """Last in this module, so that the deadline passes while the other tests run."""

    def test_is_answered_when_its_deadline_has_passed(self, incomplete_request):
        assert error_of(read_all(incomplete_request)) == (408, "request_timeout")
