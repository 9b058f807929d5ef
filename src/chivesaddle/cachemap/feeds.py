"""Reads cache events of backend servers and KV stores into the index."""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import CancelledError, Deferred

from chivesaddle.cachemap.index import CacheIndex, PartKey
from chivesaddle.core.aio import Clock, log_failure, sleep_until, start
from chivesaddle.core.logs import ComponentLogger

# Longest long poll that the platform allows; shorter ones cost more calls.
LONG_POLL_S = 1.0
RESPONSE_MARGIN_S = 0.6
LIST_TIMEOUT_S = 1.0
# Pause after each poll, so that events which occur close together cost one call. With
# many holders it is longer: busy ones have an event at any time, and a call takes about
# half a millisecond of processor time.
MIN_POLL_PAUSE_S = 0.12
MAX_POLLS_PER_S = 300.0
# A pause and a long poll must be shorter than `MAX_VIEW_AGE_S` together.
MAX_POLL_PAUSE_S = 0.5
RETRY_BASE_S = 0.2
MAX_RETRY_DELAY_S = 1.5

log = ComponentLogger("cache")


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A part, and how many of its tokens the holder has after the event."""

    key: PartKey
    tokens: int


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """Response to a poll for events, or a complete list of parts.

    Attributes
    ----------
    epoch : int
        Changes when the holder restarts.
    next_position : int
        Position for the next poll.
    has_gap : bool
        Whether events before these were lost.
    """

    epoch: int
    next_position: int
    has_gap: bool
    events: tuple[CacheEvent, ...]


class CacheReader(Protocol):
    """Adapter that reads cache events from holders."""

    async def read_events(
        self, address: str, position: int, wait_s: float, deadline: float
    ) -> CacheEvents:
        """Wait up to ``wait_s`` for events after ``position``."""

    async def list_parts(self, address: str, deadline: float) -> CacheEvents:
        """Read the complete list of parts that a holder has."""


class CacheEventFeeds:
    """Polls every holder for cache events, in one loop per holder.

    Parameters
    ----------
    clock : Clock
        Clock of all deadlines.
    reader : CacheReader
        Calls the holders.
    index : CacheIndex
        Receives the events.
    """

    def __init__(self, clock: Clock, reader: CacheReader, index: CacheIndex) -> None:
        self._clock = clock
        self._reader = reader
        self._index = index
        self._random = random.Random()
        self._loops_by_address: dict[str, Deferred[None]] = {}

    def set_holders(self, is_store_by_address: Mapping[str, bool]) -> None:
        """Poll exactly these holders from now on."""
        for address in set(self._loops_by_address) - set(is_store_by_address):
            self._loops_by_address.pop(address).cancel()
            self._index.forget(address)
        for address, is_store in is_store_by_address.items():
            if address not in self._loops_by_address:
                loop = start(self._read_loop(address, is_store))
                loop.addErrback(log_failure(log, f"feed of {address} ended"))
                self._loops_by_address[address] = loop

    @property
    def poll_pause_s(self) -> float:
        """Pause of each holder's loop after a poll, in seconds."""
        pause_s = len(self._loops_by_address) / MAX_POLLS_PER_S
        return min(MAX_POLL_PAUSE_S, max(MIN_POLL_PAUSE_S, pause_s))

    def stop(self) -> None:
        """Stop polling."""
        self.set_holders({})

    async def _read_loop(self, address: str, is_store: bool) -> None:
        position: int | None = None
        failures = 0
        while True:
            try:
                position = await self._poll_once(address, is_store, position)
                failures = 0
                await sleep_until(
                    self._clock, self._clock.seconds() + self.poll_pause_s
                )
            except CancelledError:
                raise
            except Exception as error:
                if failures == 0:
                    cause = str(error) or repr(error)
                    log.info("feed lost", extra={"holder": address, "cause": cause})
                # The holder may have lost its parts by the time that it can be reached.
                self._index.forget(address)
                position = None
                failures += 1
                max_delay_s = min(
                    MAX_RETRY_DELAY_S, RETRY_BASE_S * 2 ** min(failures, 8)
                )
                delay_s = max_delay_s * self._random.uniform(0.5, 1.0)
                await sleep_until(self._clock, self._clock.seconds() + delay_s)

    async def _poll_once(
        self, address: str, is_store: bool, position: int | None
    ) -> int:
        """Poll once; return the position for the next poll."""
        now = self._clock.seconds()
        if position is None and is_store:
            # Listing is cheap on a store; on a server it stalls the running requests.
            response = await self._reader.list_parts(address, now + LIST_TIMEOUT_S)
            parts = [(event.key, event.tokens) for event in response.events]
            self._index.replace(address, response.epoch, parts)
            return response.next_position
        response = await self._reader.read_events(
            address, position or 0, LONG_POLL_S, now + LONG_POLL_S + RESPONSE_MARGIN_S
        )
        is_same_epoch = self._index.confirm(address, response.epoch)
        if position is not None and (response.has_gap or not is_same_epoch):
            log.info(
                "feed restarted", extra={"holder": address, "gap": response.has_gap}
            )
            if is_store:
                return await self._poll_once(address, True, None)
            self._index.replace(address, response.epoch, ())
            if not is_same_epoch:
                return await self._poll_once(address, False, None)
        for event in response.events:
            self._index.put(address, event.key, event.tokens)
        return response.next_position


__all__ = ["CacheEvent", "CacheEventFeeds", "CacheEvents", "CacheReader"]
