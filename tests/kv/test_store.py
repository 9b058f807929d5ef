import json

import pytest
import xxhash
from klein import Klein
from treq.testing import StubTreq
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectionRefusedError as ConnectionRefused
from twisted.internet.error import DNSLookupError
from twisted.python.failure import Failure
from twisted.web.client import ResponseNeverReceived

from chivesaddle.core.aio import start
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.core.model import Store
from chivesaddle.kv import (
    HttpStoreClient,
    Manifest,
    ManifestRejected,
    NotInStore,
    StoreFull,
    StoreUnavailable,
)

STORE = Store(id="st", url="http://127.0.0.1:1", zone="z")
DATA = b"block"
CHECKSUM = xxhash.xxh3_128_hexdigest(DATA)
BLOCK = {"key": "k", "length": 5, "checksum": CHECKSUM, "generation": 7}
MANIFEST = {"scope": "s", "blocks": [BLOCK], "tokens": 256}


class StoreServer:
    """Sends the next of ``responses`` for each request and records the requests."""

    app = Klein()

    def __init__(self):
        self.responses, self.requests = [], []

    @app.route("/", branch=True)
    def respond(self, request):
        body = request.content.read()
        headers = request.requestHeaders
        self.requests.append((request.method, request.uri, headers, body))
        code, headers, payload = self.responses.pop(0)
        request.setResponseCode(code)
        for name, value in headers.items():
            request.setHeader(name, value)
        return payload if isinstance(payload, bytes) else json.dumps(payload).encode()


@pytest.fixture
def server():
    return StoreServer()


@pytest.fixture
def client(server, clock):
    return HttpStoreClient(StubTreq(server.app.resource()), clock)


class TestHttpStoreClient:
    def test_block_is_written_with_its_length_and_checksum(self, client, server, run):
        server.responses.append((200, {}, {"generation": 7}))
        assert run(client.put_block(STORE, "k", DATA, deadline=1)) == 7
        method, uri, headers, body = server.requests[0]
        assert (method, uri, body) == (b"PUT", b"/blocks/k", DATA)
        assert headers.getRawHeaders("X-Checksum") == [CHECKSUM]
        assert headers.getRawHeaders("X-Length") == ["5"]

    def test_corrupted_block_is_not_returned(self, client, server, run):
        """Guards against repair copying bytes that were corrupted in transit."""
        headers = {"X-Generation": "7", "X-Checksum": CHECKSUM}
        server.responses += [(200, headers, DATA), (200, headers, b"blocc")]
        assert run(client.get_block(STORE, "k", deadline=1)).generation == 7
        with pytest.raises(StoreUnavailable):
            run(client.get_block(STORE, "k", deadline=1))

    def test_manifest_is_written_and_read_back(self, client, server, run):
        manifest = Manifest.model_validate(MANIFEST)
        server.responses += [(200, {}, {}), (200, {}, MANIFEST | {"tier": "disk"})]
        run(client.put_manifest(STORE, manifest, deadline=1))
        assert server.requests[0][1] == b"/manifests/k"
        assert json.loads(server.requests[0][3]) == MANIFEST
        read = run(client.get_manifest(STORE, "k", deadline=1))
        assert read.tier == "disk"
        assert read.same_blocks(manifest)

    def test_page_and_status_are_read(self, client, server, run):
        tiers = {"memory": {"bytes_per_s": 5, "queued_bytes": 0}}
        usage = dict.fromkeys(
            ("memory_bytes", "memory_used", "disk_bytes", "disk_used"), 1
        )
        server.responses.append((200, {}, {"manifests": [MANIFEST]}))
        server.responses.append((200, {}, usage | {"tiers": tiers}))
        page = run(client.list_manifests(STORE, after="a", limit=9, deadline=1))
        assert [m.prefix_key for m in page] == ["k"]
        assert server.requests[0][1] == b"/manifests?after=a&limit=9"
        status = run(client.status(STORE, deadline=1))
        assert status.tiers["memory"].bytes_per_s == 5

    @pytest.mark.parametrize(
        ("code", "error"),
        [
            (404, NotInStore),
            (409, ManifestRejected),
            (507, StoreFull),
            (500, StoreUnavailable),
        ],
    )
    def test_statuses_become_typed_errors(self, client, server, run, code, error):
        server.responses.append((code, {}, {}))
        with pytest.raises(error):
            run(client.get_manifest(STORE, "k", deadline=1))

    @pytest.mark.parametrize(
        "payload",
        [
            b"{",
            [],
            MANIFEST | {"blocks": []},
            MANIFEST | {"blocks": [BLOCK | {"length": "5"}]},
        ],
        ids=["no JSON", "no object", "no blocks", "length is text"],
    )
    def test_invalid_response_makes_the_store_unavailable(
        self, client, server, run, payload
    ):
        """Guards against a malformed manifest being accepted as a committed one."""
        server.responses.append((200, {}, payload))
        with pytest.raises(StoreUnavailable):
            run(client.get_manifest(STORE, "k", deadline=1))


class FailingHttpClient:
    """HTTP client whose requests raise or return the given result."""

    def __init__(self, result):
        self._result = result

    def request(self, method, url, **kwargs):
        if isinstance(self._result, Exception):
            raise self._result
        return self._result


class TestConnectionFailures:
    @pytest.mark.parametrize("error", [ConnectionRefused(), DNSLookupError()])
    def test_failed_connection_makes_the_store_unavailable(self, clock, run, error):
        client = HttpStoreClient(FailingHttpClient(error), clock)
        with pytest.raises(StoreUnavailable):
            run(client.status(STORE, deadline=1))

    @pytest.mark.parametrize(
        "cancel",
        [None, lambda d: d.errback(ResponseNeverReceived([Failure(CancelledError())]))],
        ids=["plain", "as the HTTP client does"],
    )
    def test_unresponsive_connection_fails_at_the_deadline(self, clock, cancel):
        """Guards against a missed deadline being reported as a failed store."""
        client = HttpStoreClient(FailingHttpClient(Deferred(cancel)), clock)
        reading = start(client.status(STORE, deadline=1.0))
        reading.addErrback(lambda f: f.check(DeadlineExceeded))
        clock.advance(1)
        assert reading.result is DeadlineExceeded
