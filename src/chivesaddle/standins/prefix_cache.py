"""Cached prompt blocks of an engine and the events it publishes about them."""

from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import BlockKey
from chivesaddle.standins.faults import EngineFaults

EVENT_HISTORY = 4_096


@dataclass(frozen=True)
class CacheEvent:
    """A block was stored or evicted; visible to readers from ``visible_at`` on."""

    seq: int
    type: str
    block_key: BlockKey
    visible_at: float

    def to_json(self) -> dict[str, Any]:
        """Return the event as the engine's protocol has it."""
        return {"seq": self.seq, "type": self.type, "block_key": self.block_key}


class CacheEvents:
    """Numbered cache events, published late; lost ones leave a gap in the numbers."""

    def __init__(self, clock: Clock, lag_s: float, faults: EngineFaults) -> None:
        self._clock = clock
        self._lag_s = lag_s
        self._events: deque[CacheEvent] = deque(maxlen=EVENT_HISTORY)
        self.faults = faults
        self.seq = 0

    def publish(self, type: str, block_key: BlockKey) -> None:
        """Number an event; it becomes visible after the lag unless it is lost."""
        self.seq += 1
        if self.faults.use("events_lost_next"):
            return
        lag_s = self.faults.events_lag_s
        visible_at = self._clock.seconds() + (self._lag_s if lag_s is None else lag_s)
        self._events.append(CacheEvent(self.seq, type, block_key, visible_at))

    def after(self, seq: int) -> dict[str, Any]:
        """Return the visible events after ``seq`` and the number to ask for next.

        A number from before the engine restarted is answered with ``next`` 0.
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
    """Block payloads by cache salt and key, least recently used evicted first.

    Parameters
    ----------
    capacity : int
        Largest number of blocks over all salts.
    events : CacheEvents
        Receives every stored and evicted block.
    """

    def __init__(self, capacity: int, events: CacheEvents) -> None:
        self._capacity = capacity
        self._events = events
        self._payloads: OrderedDict[tuple[str, BlockKey], bytes] = OrderedDict()

    def __len__(self) -> int:
        return len(self._payloads)

    def match(self, salt: str, keys: Sequence[BlockKey]) -> list[bytes]:
        """Return the payloads of the longest cached prefix and mark it as used."""
        found: list[bytes] = []
        for key in keys:
            payload = self._payloads.get((salt, key))
            if payload is None:
                break
            found.append(payload)
        # The last block is touched first, so that a prefix loses its tail first.
        for key in reversed(keys[: len(found)]):
            self._payloads.move_to_end((salt, key))
        return found

    def payload(self, salt: str, key: BlockKey) -> bytes | None:
        """Return the payload of one block, or None."""
        return self._payloads.get((salt, key))

    def store(self, salt: str, blocks: Iterable[tuple[BlockKey, bytes]]) -> None:
        """Store consecutive blocks of one prefix; blocks already cached stay."""
        for key, payload in reversed(list(blocks)):
            if (salt, key) not in self._payloads:
                self._payloads[salt, key] = payload
                self._events.publish("stored", key)
            self._payloads.move_to_end((salt, key))
        while len(self._payloads) > self._capacity:
            (_, key), _ = self._payloads.popitem(last=False)
            self._events.publish("evicted", key)

    def free(self, salt: str, key: BlockKey) -> None:
        """Evict one block if it is cached."""
        if self._payloads.pop((salt, key), None) is not None:
            self._events.publish("evicted", key)

    def evict(self, salt: str | None = None) -> int:
        """Evict all blocks, or those of one salt; return how many."""
        keys = [k for k in self._payloads if salt is None or k[0] == salt]
        for salt_and_key in keys:
            self.free(*salt_and_key)
        return len(keys)

    def block_keys(self) -> list[BlockKey]:
        """Return the keys of all cached blocks."""
        return [key for _, key in self._payloads]


__all__ = ["CacheEvent", "CacheEvents", "PrefixCache"]
