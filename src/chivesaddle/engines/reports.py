"""Messages in which engines report their load, cache, blocks and state."""

from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError

from chivesaddle.core.ids import BlockKey
from chivesaddle.engines.errors import EngineProtocolError


class EngineMessage(BaseModel):
    """Base class; unknown fields are ignored, so that engines may add fields."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    @classmethod
    def from_json(cls, data: Any) -> "Any":
        """Validate decoded JSON; raises `EngineProtocolError`."""
        try:
            return cls.model_validate(data)
        except ValidationError as error:
            raise EngineProtocolError(
                f"{cls.__name__} from an engine is invalid: {error.errors()[0]['msg']}"
            ) from None


class LoadReport(EngineMessage):
    """Load of an engine; ``age_ms`` is the age of its values when it was sent."""

    running: int
    queued: int
    max_running: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    queued_prefill_tokens: int = 0
    state: str = "serving"
    age_ms: float = 0.0

    @property
    def draining(self) -> bool:
        """Whether the engine accepts no new requests."""
        return self.state == "draining"


class CacheEvent(EngineMessage):
    """A change of the engine's prefix cache; ``type`` is stored or evicted."""

    seq: int
    type: str
    block_key: BlockKey


class CacheEvents(EngineMessage):
    """Cache events after a sequence number.

    ``next`` is the sequence number to pass in the next request for events.
    """

    next: int
    events: tuple[CacheEvent, ...]


class CachedBlocks(EngineMessage):
    """All cached blocks as of sequence number ``seq``."""

    seq: int
    block_keys: tuple[BlockKey, ...]


class BlockRecord(EngineMessage):
    """Length in bytes, checksum and generation of an imported or exported block."""

    key: BlockKey
    length: int
    checksum: str
    generation: int


class BlockRecords(EngineMessage):
    """Blocks of one import or export."""

    blocks: tuple[BlockRecord, ...]


class EngineState(EngineMessage):
    """Loaded models and adapters, role and last fencing token of an engine."""

    models: dict[str, tuple[str, ...]]
    adapters: dict[str, tuple[str, ...]] = {}
    role: str = ""
    fence: int = 0


__all__ = [
    "BlockRecord",
    "BlockRecords",
    "CacheEvent",
    "CacheEvents",
    "CachedBlocks",
    "EngineState",
    "LoadReport",
]
