"""Reads cache events of backend servers and KV stores into the index."""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred

from chivesaddle.cachemap.index import CacheIndex, PartKey
from chivesaddle.core.aio import Clock, log_failure, sleep_until, start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.logs import PartLogger

# Longest wait that the platform allows; shorter waits cost more calls.
WAIT_S = 1.0
ANSWER_S = 0.6
LIST_S = 1.0
# Pause after an answer with events, so that events which come together cost one call.
PAUSE_S = 0.12
RETRY_FIRST_S = 0.2
RETRY_MOST_S = 1.5

log = PartLogger("cache")


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A part and the tokens of it that the holder has after the event."""

    key: PartKey
    tokens: int


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """Answer to a question for events, or a whole list.

    Attributes
    ----------
    epoch : int
        Changes when the holder restarts.
    next_position : int
        Where the next question continues.
    has_gap : bool
        Events are missing before these.
    """

    epoch: int
    next_position: int
    has_gap: bool
    events: tuple[CacheEvent, ...]


class CacheReader(Protocol):
    """Calls of the adapter for cache events."""

    async def read_events(
        self, address: str, position: int, wait_s: float, deadline: float
    ) -> CacheEvents:
        """Wait for events after a position."""

    async def read_list(self, address: str, deadline: float) -> CacheEvents:
        """Read all parts that a holder has."""


class Feeds:
    """One loop of questions per holder.

    Parameters
    ----------
    clock : Clock
        Clock of all deadlines.
    reader : CacheReader
        Makes the calls.
    index : CacheIndex
        Kept current.
    """

    def __init__(self, clock: Clock, reader: CacheReader, index: CacheIndex) -> None:
        self._clock = clock
        self._reader = reader
        self._index = index
        self._random = random.Random()
        self._loops_by_address: dict[str, Deferred[None]] = {}

    def set_holders(self, is_store_by_address: Mapping[str, bool]) -> None:
        """Read exactly these holders from now on."""
        for address in set(self._loops_by_address) - set(is_store_by_address):
            self._loops_by_address.pop(address).cancel()
            self._index.forget(address)
        for address, is_store in is_store_by_address.items():
            if address not in self._loops_by_address:
                loop = start(self._run(address, is_store))
                loop.addErrback(log_failure(log, f"feed of {address} ended"))
                self._loops_by_address[address] = loop

    def stop(self) -> None:
        """Read no more."""
        self.set_holders({})

    async def _run(self, address: str, is_store: bool) -> None:
        position: int | None = None
        failures = 0
        while True:
            try:
                position = await self._step(address, is_store, position)
                failures = 0
                await sleep_until(self._clock, self._clock.seconds() + PAUSE_S)
            except ChivesaddleError as error:
                if failures == 0:
                    log.info(
                        "feed lost", extra={"holder": address, "cause": str(error)}
                    )
                # Whatever it held may be gone when it comes back.
                self._index.forget(address)
                position = None
                failures += 1
                longest = min(RETRY_MOST_S, RETRY_FIRST_S * 2 ** min(failures, 8))
                pause = longest * self._random.uniform(0.5, 1.0)
                await sleep_until(self._clock, self._clock.seconds() + pause)

    async def _step(self, address: str, is_store: bool, position: int | None) -> int:
        """Ask once; return the position of the next question."""
        now = self._clock.seconds()
        if position is None and is_store:
            # Listing is cheap at a store; at a server it stalls the work.
            found = await self._reader.read_list(address, now + LIST_S)
            parts = [(event.key, event.tokens) for event in found.events]
            self._index.replace(address, found.epoch, parts)
            return found.next_position
        found = await self._reader.read_events(
            address, position or 0, WAIT_S, now + WAIT_S + ANSWER_S
        )
        is_same_run = self._index.confirm(address, found.epoch)
        if position is not None and (found.has_gap or not is_same_run):
            log.info("feed restarted", extra={"holder": address, "gap": found.has_gap})
            if is_store:
                return await self._step(address, True, None)
            self._index.replace(address, found.epoch, ())
            if not is_same_run:
                return await self._step(address, False, None)
        for event in found.events:
            self._index.put(address, event.key, event.tokens)
        return found.next_position


__all__ = ["CacheEvent", "CacheEvents", "CacheReader", "Feeds"]
