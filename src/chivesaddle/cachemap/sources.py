"""Holders from which servers can fetch a prompt part, ranked by transfer time.

The ranking answers the load of weighing all servers of a service for each request:
servers of one zone share it, so choosing a source for one more server takes constant
time.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from chivesaddle.core.ids import ZoneId

PREFILL_TOKENS_PER_MS = 61.2
# Transfers between zones take twice as long.
CROSS_ZONE_TIME_FACTOR = 2.0
# For smaller parts, reading costs less than the wait before a transfer.
MIN_TRANSFER_TOKENS = 64
# A fetch may take up to this multiple of the time of reading.
MAX_FETCH_TIME_RATIO = 2.0

# Reference of a source and predicted time of the transfer in ms.
Fetch = tuple[str, float]
NO_FETCH: Fetch = ("", 0.0)


@dataclass(frozen=True, slots=True)
class PartSource:
    """A holder from which servers can fetch a part.

    Attributes
    ----------
    reference : str
        How a server is told to fetch from it.
    fetch_ms : float
        Predicted time of the transfer to a server in the same zone.
    """

    address: str
    reference: str
    zone: ZoneId
    fetch_ms: float


class PartSources:
    """The sources of one part.

    Parameters
    ----------
    tokens : int
        Tokens of the part.
    """

    def __init__(self, tokens: int, sources: Sequence[PartSource]) -> None:
        self._tokens = tokens
        self._sources = sources
        # The fastest source with its address, and the one for that address itself.
        self._ranked_by_zone: dict[ZoneId, tuple[str, Fetch, Fetch]] = {}

    def choose(self, address: str, zone: ZoneId) -> Fetch:
        """Return the fastest source and its time; empty if the server reads the part.

        A server does not fetch from its own address.
        """
        best_address, best, without_best = self._rank(zone)
        return without_best if address == best_address else best

    def best_address(self, zone: ZoneId) -> str:
        """Return the address of the fastest source, or empty if there is none.

        All servers of the zone but the one at this address have the same result of
        `choose`.
        """
        return self._rank(zone)[0]

    def _rank(self, zone: ZoneId) -> tuple[str, Fetch, Fetch]:
        ranked = self._ranked_by_zone.get(zone)
        if ranked is None:
            if self._tokens < MIN_TRANSFER_TOKENS:
                ranked = ("", NO_FETCH, NO_FETCH)
            else:
                best_address, best = self._find_best(zone, "")
                _, without_best = self._find_best(zone, best_address)
                ranked = (best_address, best, without_best)
            self._ranked_by_zone[zone] = ranked
        return ranked

    def _find_best(self, zone: ZoneId, excluded_address: str) -> tuple[str, Fetch]:
        best_address, best = "", NO_FETCH
        best_ms = MAX_FETCH_TIME_RATIO * self._tokens / PREFILL_TOKENS_PER_MS
        for source in self._sources:
            if source.address == excluded_address:
                continue
            factor = 1.0 if source.zone == zone else CROSS_ZONE_TIME_FACTOR
            fetch_ms = factor * source.fetch_ms
            if fetch_ms < best_ms:
                best_ms = fetch_ms
                best_address, best = source.address, (source.reference, fetch_ms)
        return best_address, best


__all__ = [
    "MIN_TRANSFER_TOKENS",
    "PREFILL_TOKENS_PER_MS",
    "Fetch",
    "PartSource",
    "PartSources",
]
