"""Fake weight store: serves model weights at a limited bandwidth."""

from twisted.internet.defer import Deferred
from twisted.web.server import Request

from chivesaddle.core.aio import Clock, sleep_until
from chivesaddle.standins.connections import close
from chivesaddle.standins.errors import NoResponse, Rejected
from chivesaddle.standins.faults import WeightFaults
from chivesaddle.standins.http_client import send
from chivesaddle.standins.http_server import FakeServer
from chivesaddle.standins.rate_limiting import RateLimitedLink

CHUNK_BYTES = 64 * 1_024


class FakeWeightStore(FakeServer):
    """HTTP server of the weight store.

    Parameters
    ----------
    bytes_per_s : float
        Bandwidth shared by all readers.
    size : int
        Size of each weight version in bytes.
    """

    fault_type = WeightFaults
    faults: WeightFaults

    def __init__(self, clock: Clock, *, bytes_per_s: float = 1e8, size: int = 1 << 20):
        super().__init__(clock)
        self._bytes_per_s = bytes_per_s
        self._version_bytes = size
        self._link = RateLimitedLink(clock, bytes_per_s)
        self.add_route("/weights/<model>/<version>", "GET", self._send_weights)

    def apply_faults(self) -> None:
        """Apply the ``slowdown`` fault to the link."""
        self._link.bytes_per_s = self._bytes_per_s / self.faults.slowdown

    def extra_counters(self) -> dict[str, int]:
        """Return the number of bytes sent."""
        return {"link_bytes": self._link.total_bytes}

    async def _send_weights(self, request: Request, model: str, version: str) -> None:
        request.setHeader("Content-Type", "application/octet-stream")
        request.setHeader("Content-Length", str(self._version_bytes))
        sent_bytes = (
            self._version_bytes // 2
            if self.faults.consume("truncate_next")
            else self._version_bytes
        )
        pattern = f"{model}/{version}\n".encode()
        for start in range(0, sent_bytes, CHUNK_BYTES):
            length = min(CHUNK_BYTES, sent_bytes - start)
            await sleep_until(self.clock, self._link.queue_transfer(length))
            request.write((pattern * (length // len(pattern) + 1))[:length])
        if sent_bytes < self._version_bytes:
            close(request.transport)
            await Deferred()
            raise NoResponse


async def fetch_weights(url: str, model: str, version: str) -> int:
    """Read a weight version and return its size in bytes.

    Raises
    ------
    Rejected
        502 if the weight store cannot be reached or its status is not 200.
    """
    try:
        response = await send("GET", f"{url}/weights/{model}/{version}")
    except OSError as error:
        raise Rejected(502, "weights_unavailable", f"{url}: {error}") from None
    if response.status != 200:
        raise Rejected(502, "weights_unavailable", f"{url}: status {response.status}")
    return len(response.body)


__all__ = ["FakeWeightStore", "fetch_weights"]
