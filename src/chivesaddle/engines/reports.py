"""Answers of engines to requests about their state."""

from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError

from chivesaddle.core.ids import BlockKey
from chivesaddle.engines.errors import EngineProtocolError


class Report(BaseModel):
    """Base of the reports; unknown fields are ignored so that engines may add some."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    @classmethod
    def from_json(cls, data: Any) -> "Any":
        """Check the JSON values of an answer; raises `EngineProtocolError`."""
        try:
            return cls.model_validate(data)
        except ValidationError as error:
            raise EngineProtocolError(
                f"{cls.__name__} from an engine is invalid: {error.errors()[0]['msg']}"
            ) from None


class LoadReport(Report):
    """Load of an engine; ``age_ms`` is the age of the figures at the engine."""

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
        """Whether the engine takes no new requests."""
        return self.state == "draining"


class CacheEvent(Report):
    """One change of the engine's prefix cache; ``type`` is stored or evicted."""

    seq: int
    type: str
    block_key: BlockKey


class CacheEvents(Report):
    """Cache events after a sequence number; ``next`` is the number to ask after."""

    next: int
    events: tuple[CacheEvent, ...]


class CachedBlocks(Report):
    """All cached blocks as of sequence number ``seq``."""

    seq: int
    block_keys: tuple[BlockKey, ...]


class BlockRecord(Report):
    """Length in bytes, checksum and generation of a staged or exported block."""

    key: BlockKey
    length: int
    checksum: str
    generation: int


class BlockRecords(Report):
    """Blocks of one import or export."""

    blocks: tuple[BlockRecord, ...]


class EngineState(Report):
    """What an engine has loaded, its role and the last fencing token it saw."""

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
