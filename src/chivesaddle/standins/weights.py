"""Weight store: rate-limited bytes of model weights."""

from twisted.internet.defer import Deferred
from twisted.web.server import Request

from chivesaddle.core.aio import Clock, sleep_until
from chivesaddle.standins.connections import close
from chivesaddle.standins.errors import AnswerLost, Rejected
from chivesaddle.standins.faults import WeightFaults
from chivesaddle.standins.http_client import send
from chivesaddle.standins.rates import Link
from chivesaddle.standins.shell import Shell

CHUNK_BYTES = 64 * 1_024


class WeightsShell(Shell):
    """HTTP routes of the weight store.

    Parameters
    ----------
    bytes_per_s : float
        Bandwidth shared by all readers.
    size : int
        Bytes of one weight version.
    """

    fault_type = WeightFaults
    faults: WeightFaults

    def __init__(self, clock: Clock, *, bytes_per_s: float = 1e8, size: int = 1 << 20):
        super().__init__(clock)
        self._bytes_per_s = bytes_per_s
        self._size = size
        self._link = Link(clock, bytes_per_s)
        self.route("/weights/<model>/<version>", "GET", self._get)

    def apply_faults(self) -> None:
        """Slow the link down."""
        self._link.bytes_per_s = self._bytes_per_s / self.faults.slowdown

    def extra_counters(self) -> dict[str, int]:
        """Return the bytes sent."""
        return {"link_bytes": self._link.bytes_total}

    async def _get(self, request: Request, model: str, version: str) -> None:
        request.setHeader("Content-Type", "application/octet-stream")
        request.setHeader("Content-Length", str(self._size))
        end = self._size // 2 if self.faults.use("truncate_next") else self._size
        seed = f"{model}/{version}\n".encode()
        for start in range(0, end, CHUNK_BYTES):
            length = min(CHUNK_BYTES, end - start)
            await sleep_until(self.clock, self._link.add(length))
            request.write((seed * (length // len(seed) + 1))[:length])
        if end < self._size:
            close(request.transport)
            await Deferred()
            raise AnswerLost


async def fetch_weights(url: str, model: str, version: str) -> int:
    """Read a weight version and return its size.

    Raises
    ------
    Rejected
        502 if the weight store cannot be reached or refuses.
    """
    try:
        response = await send("GET", f"{url}/weights/{model}/{version}")
    except OSError as error:
        raise Rejected(502, "weights_unavailable", f"{url}: {error}") from None
    if response.status != 200:
        raise Rejected(502, "weights_unavailable", f"{url}: status {response.status}")
    return len(response.body)


__all__ = ["WeightsShell", "fetch_weights"]
