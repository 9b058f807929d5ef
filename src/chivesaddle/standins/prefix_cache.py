"""Prefix cache of an engine and the events published about its blocks."""

from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import BlockKey
from chivesaddle.standins.faults import EngineFaults

MAX_EVENTS = 4_096


@dataclass(frozen=True)
class CacheEvent:
    """Event of a stored or evicted block, visible to readers from ``visible_at`` on."""

    seq: int
    type: str
    block_key: BlockKey
    visible_at: float

    def to_json(self) -> dict[str, Any]:
        """Return the event as in the response to ``GET /events``."""
        return {"seq": self.seq, "type": self.type, "block_key": self.block_key}


class CacheEventLog:
    """Cache events with sequence numbers, visible to readers after a delay.

    Events that a fault drops leave a gap in the sequence numbers.
    """

    def __init__(self, clock: Clock, lag_s: float, faults: EngineFaults) -> None:
        self._clock = clock
        self._lag_s = lag_s
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self.faults = faults
        self.seq = 0

    def publish(self, type: str, block_key: BlockKey) -> None:
        """Add an event, which becomes visible after the lag unless a fault drops it."""
        self.seq += 1
        if self.faults.consume("events_lost_next"):
            return
        lag_s = self.faults.events_lag_s
        visible_at = self._clock.seconds() + (self._lag_s if lag_s is None else lag_s)
        self._events.append(CacheEvent(self.seq, type, block_key, visible_at))

    def after(self, seq: int) -> dict[str, Any]:
        """Return the visible events after ``seq`` and the ``seq`` to pass next time.

        A ``seq`` above the latest one, as from before a restart of the engine, returns
        no events and ``next`` 0, so that the reader starts over.
        """
        if seq > self.seq:
            return {"next": 0, "events": []}
        now = self._clock.seconds()
        found = []
        for event in self._events:
            if event.seq <= seq:
                continue
            if event.visible_at > now:
                break
            found.append(event.to_json())
        return {"next": found[-1]["seq"] if found else seq, "events": found}


class PrefixCache:
    """Block payloads by cache salt and key; evicts the least recently used block.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks, over all salts.
    events : CacheEventLog
        Receives an event for every stored or evicted block.
    """

    def __init__(self, capacity: int, events: CacheEventLog) -> None:
        self._capacity = capacity
        self._events = events
        self._payloads: OrderedDict[tuple[str, BlockKey], bytes] = OrderedDict()

    def __len__(self) -> int:
        return len(self._payloads)

    def match_prefix(self, salt: str, keys: Sequence[BlockKey]) -> list[bytes]:
        """Return the longest cached prefix's payloads; mark it as recently used."""
        found: list[bytes] = []
        for key in keys:
            payload = self._payloads.get((salt, key))
            if payload is None:
                break
            found.append(payload)
        # The last block is marked first, so that it is evicted before the blocks that
        # precede it in the prefix.
        for key in reversed(keys[: len(found)]):
            self._payloads.move_to_end((salt, key))
        return found

    def payload(self, salt: str, key: BlockKey) -> bytes | None:
        """Return the payload of one block, or None."""
        return self._payloads.get((salt, key))

    def store(self, salt: str, blocks: Iterable[tuple[BlockKey, bytes]]) -> None:
        """Store consecutive blocks of one prefix; keep those already cached."""
        for key, payload in reversed(list(blocks)):
            if (salt, key) not in self._payloads:
                self._payloads[salt, key] = payload
                self._events.publish("stored", key)
            self._payloads.move_to_end((salt, key))
        while len(self._payloads) > self._capacity:
            (_, key), _ = self._payloads.popitem(last=False)
            self._events.publish("evicted", key)

    def evict_block(self, salt: str, key: BlockKey) -> None:
        """Evict one block if it is cached."""
        if self._payloads.pop((salt, key), None) is not None:
            self._events.publish("evicted", key)

    def evict(self, salt: str | None = None) -> int:
        """Evict all blocks, or those of one salt; return how many."""
        keys = [k for k in self._payloads if salt is None or k[0] == salt]
        for salt_and_key in keys:
            self.evict_block(*salt_and_key)
        return len(keys)

    def block_keys(self) -> list[BlockKey]:
        """Return the keys of all cached blocks."""
        return [key for _, key in self._payloads]


__all__ = ["CacheEvent", "CacheEventLog", "PrefixCache"]
