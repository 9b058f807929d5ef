"""Callers of an undisturbed fleet: a stock client, bad input, the time line."""

import json
import socket
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import openai
import pytest

from chivesaddle.standins.blocks import BLOCK_BYTES
from chivesaddle.standins.expected import expected_text, render_chat
from chivesaddle.tools import kursuskoda as shape
from chivesaddle.tools.processes import HTTP, free_ports

MESSAGES = [{"role": "user", "content": "Which courses start in May?" * 100}]
TOKENS = 12


def expected(prompt):
    return expected_text(shape.MODEL, shape.WEIGHT_VERSION, prompt, TOKENS)


def connect(url):
    host, _, port = url.removeprefix("http://").partition(":")
    return socket.create_connection((host, int(port)), timeout=20)


def read_all(connection):
    received = b""
    while piece := connection.recv(65_536):
        received += piece
    return received


def error_of(raw):
    """Return status and error code of a raw response."""
    head, _, body = raw.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)["error"]["code"]


@pytest.fixture(scope="module")
def half_sent(deployment):
    """A request without its end, sent before the other tests of this module."""
    with connect(deployment.fleet.callers[0]) as connection:
        connection.sendall(b"POST /v1/completions HTTP/1.1\r\nContent-Length: 99\r\n")
        yield connection


@pytest.mark.usefixtures("half_sent")
class TestStockClient:
    """Guards against answers that only our own tools understand."""

    @pytest.mark.parametrize("n", range(3))
    def test_chat(self, deployment, n):
        client = deployment.client(deployment.fleet.callers[n])
        wanted = expected(render_chat(MESSAGES))
        arguments = {
            "model": shape.MODEL,
            "messages": MESSAGES,
            "max_tokens": TOKENS,
        }
        plain = client.chat.completions.create(**arguments)
        assert plain.choices[0].message.content == wanted
        chunks = list(client.chat.completions.create(**arguments, stream=True))
        pieces = [c.choices[0].delta.content or "" for c in chunks if c.choices]
        assert "".join(pieces) == wanted
        assert chunks[-1].usage.prompt_tokens_details.cached_tokens is not None

    @pytest.mark.parametrize("n", range(3))
    def test_completion(self, deployment, n):
        client = deployment.client(deployment.fleet.callers[n])
        prompt = f"handbook {n} " * BLOCK_BYTES
        arguments = {"model": shape.MODEL, "prompt": prompt, "max_tokens": TOKENS}
        plain = client.completions.create(**arguments)
        assert plain.choices[0].text == expected(prompt)
        assert plain.usage.prompt_tokens_details.cached_tokens == 0
        again = client.completions.create(**arguments)
        assert again.usage.prompt_tokens_details.cached_tokens > 0
        chunks = list(client.completions.create(**arguments, stream=True))
        pieces = [chunk.choices[0].text for chunk in chunks if chunk.choices]
        assert "".join(pieces) == expected(prompt)
        assert chunks[-1].usage.prompt_tokens_details.cached_tokens > 0

    @pytest.mark.parametrize("n", range(3))
    def test_models_and_errors(self, deployment, n):
        url = deployment.fleet.callers[n]
        assert [m.id for m in deployment.client(url).models.list()] == [shape.MODEL]
        with pytest.raises(openai.AuthenticationError) as wrong_key:
            deployment.client(url, "not-a-key").models.list()
        assert wrong_key.value.code == "invalid_api_key"
        with pytest.raises(openai.NotFoundError) as wrong_model:
            deployment.client(url).completions.create(model="no-model", prompt="a")
        assert wrong_model.value.code == "model_not_found"
        assert wrong_model.value.type == "invalid_request_error"


class TestBadInput:
    """Guards against input that is answered untyped or harms other requests."""

    def test_each_is_answered_with_a_typed_error(self, deployment, half_sent):
        url = deployment.fleet.callers[0]
        running = deployment.stream(url, "a request beside bad input", 400)
        running.wait_for_tokens(1)
        headers = deployment.headers
        where = f"{url}/v1/completions"
        valid = {"model": shape.MODEL, "prompt": "a"}
        nothing, wrong_type = {}, {"model": shape.MODEL, "prompt": {"a": 1}}
        wrong_limit = {**valid, "max_tokens": -1}
        answers = {
            "broken JSON": HTTP.post(where, content=b'{"model": ', headers=headers),
            "not an object": HTTP.post(where, json=[1], headers=headers),
            "not UTF-8": HTTP.post(where, content=b"\xff\xfe", headers=headers),
            "deep": HTTP.post(where, content=b"[" * 100_000, headers=headers),
            "no model": HTTP.post(where, json=nothing, headers=headers),
            "wrong type": HTTP.post(where, json=wrong_type, headers=headers),
            "wrong limit": HTTP.post(where, json=wrong_limit, headers=headers),
            "unknown model": HTTP.post(
                where, json={**valid, "model": "x" * 5_000}, headers=headers
            ),
            "wrong key": HTTP.post(
                where, json=valid, headers={"Authorization": "Bearer \u00e9".encode()}
            ),
            "no key": HTTP.post(where, json=valid),
            "wrong method": HTTP.get(where, headers=headers),
            "path": HTTP.get(f"{url}/v1/%00%ff/../{'x' * 500}", headers=headers),
            "stream id": HTTP.get(f"{url}/v1/requests/%ff/stream", headers=headers),
            "method": HTTP.request("X" * 300, where, headers=headers),
            "after": HTTP.get(
                f"{url}/v1/requests/req_1/stream?after=-1", headers=headers
            ),
            "no key for an action": HTTP.post(
                f"{url}/v1/services/{shape.SERVICE}/reserve_seat",
                json={},
                headers=headers,
            ),
        }
        statuses = {name: answer.status_code for name, answer in answers.items()}
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
        for name, answer in answers.items():
            error = answer.json()["error"]
            assert error["code"] and error["message"] and error["type"], name
        running.assert_whole()

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
            piece = (
                b"x" * 65_536 if declared else b"10000\r\n" + b"x" * 65_536 + b"\r\n"
            )
            received = b""
            try:
                for _ in range(100):
                    connection.sendall(piece)
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
    def test_what_is_not_http_is_refused(self, deployment, raw):
        with connect(deployment.fleet.callers[0]) as connection:
            connection.sendall(raw)
            assert read_all(connection).startswith(b"HTTP/1.1 400")


class TestTimeline:
    def test_shows_a_request_from_arrival_to_last_token(self, deployment):
        """Guards against a time line that misses the daemon that served."""
        fleet = deployment.fleet
        stream = deployment.stream(fleet.callers[1], "a request to follow", 5)
        stream.join(20)
        name = stream.request_id.partition(".")[0]
        shown = deployment.cli("timeline", "--request", name, "--output", "json")
        assert shown.returncode == 0, shown.stderr
        events = [json.loads(line) for line in shown.stdout.splitlines()]
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
    """Guards against a daemon that seems to run but serves nobody."""

    def settings(self, fleet, tmp_path, **changed):
        callers, operators, peers = free_ports(3)
        tmp_path.mkdir(exist_ok=True)
        path = tmp_path / "daemon.json"
        value = {
            "daemon_id": "daemon-9",
            "zone": shape.ZONES[0],
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
        ended = run_daemon(path)
        assert ended.returncode != 0
        for part in ("callers.port", "99999", "docs/settings.md"):
            assert part in ended.stderr
        assert "Traceback" not in ended.stderr

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
        for listener, ended in zip(listeners, results, strict=True):
            assert ended.returncode != 0
            output = ended.stdout + ended.stderr
            for part in ("listen_failed", f"127.0.0.1:{port}", f"change {listener}"):
                assert part in output
            assert "Traceback" not in output


class TestHalfSentRequest:
    """Last in this module, so that the deadline passes beside the other tests."""

    def test_is_answered_when_its_deadline_has_passed(self, half_sent):
        assert error_of(read_all(half_sent)) == (408, "request_timeout")
