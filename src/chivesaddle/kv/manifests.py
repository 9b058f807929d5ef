"""Manifests of stored blocks, and the checks of reported blocks against them."""

from collections.abc import Sequence
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import BlockKey


class BlocksMismatch(ChivesaddleError):
    """Blocks reported or stored differ from those requested or in the manifest."""

    code = "blocks_mismatch"
    status = 502


class Record(BaseModel):
    """Base of records on the wire: immutable, strictly typed, extra fields ignored."""

    model_config = ConfigDict(frozen=True, extra="ignore", strict=True)


class BlockRecord(Record):
    """A stored block; ``checksum`` is the hex xxh3-128 digest of its bytes."""

    key: BlockKey
    length: int = Field(gt=0)
    checksum: str = Field(min_length=1)
    generation: int


class Manifest(Record):
    """Commit record of a prefix; only blocks listed in one may be imported."""

    scope: str
    blocks: tuple[BlockRecord, ...] = Field(min_length=1, strict=False)
    tokens: int = Field(ge=0)
    tier: Literal["memory", "disk"] = "memory"

    @property
    def prefix_key(self) -> BlockKey:
        """Key of the manifest in a store: the key of its last block."""
        return self.blocks[-1].key

    @property
    def keys(self) -> tuple[BlockKey, ...]:
        """Keys of the blocks, in order."""
        return tuple(block.key for block in self.blocks)

    @property
    def length(self) -> int:
        """Total length of the blocks in bytes."""
        return sum(block.length for block in self.blocks)

    def same_blocks(self, other: "Manifest") -> bool:
        """Return whether scope and block records are equal; the tier may differ."""
        return self.scope == other.scope and self.blocks == other.blocks

    def same_content(self, other: "Manifest") -> bool:
        """Return whether scope, keys and bytes are equal; generations may differ."""
        return self.scope == other.scope and [
            (b.key, b.length, b.checksum) for b in self.blocks
        ] == [(b.key, b.length, b.checksum) for b in other.blocks]

    def to_json(self) -> dict[str, Any]:
        """Return the body of ``PUT /manifests``."""
        return self.model_dump(mode="json", exclude={"tier"})


def parse_blocks(
    reported: Sequence[Any], expected: Sequence[BlockKey]
) -> tuple[BlockRecord, ...]:
    """Return an engine's block records after checking their keys and order.

    Raises
    ------
    BlocksMismatch
        If a record is malformed, missing, unexpected or out of order.
    """
    try:
        blocks = tuple(
            BlockRecord.model_validate(block, from_attributes=True)
            for block in reported
        )
    except (ValidationError, TypeError) as error:
        raise BlocksMismatch(
            f"The engine's block records are invalid: {error}"
        ) from None
    keys = [block.key for block in blocks]
    if keys != list(expected):
        raise BlocksMismatch(
            f"The engine reported {len(keys)} blocks that are not the "
            f"{len(expected)} requested ones"
        )
    return blocks


def check_staged_blocks(
    staged: Sequence[BlockRecord], committed: Sequence[BlockRecord]
) -> None:
    """Raise `BlocksMismatch` unless the staged blocks equal the committed ones."""
    for actual, expected in zip(staged, committed, strict=True):
        if actual != expected:
            raise BlocksMismatch(
                f"Staged block {expected.key} has length {actual.length}, checksum "
                f"{actual.checksum}, generation {actual.generation}; the manifest has "
                f"{expected.length}, {expected.checksum}, {expected.generation}"
            )


__all__ = [
    "BlockRecord",
    "BlocksMismatch",
    "Manifest",
    "check_staged_blocks",
    "parse_blocks",
]
