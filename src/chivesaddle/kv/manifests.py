"""Commit records of stored blocks, and the check of an import against one."""

from collections.abc import Sequence
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import BlockKey


class BlocksMismatch(ChivesaddleError):
    """Blocks that an engine reported differ from what was ordered or committed."""

    code = "blocks_mismatch"
    status = 502


class Record(BaseModel):
    """Base of wire records: immutable, strict types, unknown fields ignored."""

    model_config = ConfigDict(frozen=True, extra="ignore", strict=True)


class BlockRecord(Record):
    """A block as it was stored; ``checksum`` is the hex xxh3-128 of its bytes."""

    key: BlockKey
    length: int = Field(gt=0)
    checksum: str = Field(min_length=1)
    generation: int


class Manifest(Record):
    """Commit record of a prefix; only blocks that it names are importable."""

    scope: str
    blocks: tuple[BlockRecord, ...] = Field(min_length=1, strict=False)
    tokens: int = Field(ge=0)
    tier: Literal["memory", "disk"] = "memory"

    @property
    def prefix_key(self) -> BlockKey:
        """Name of the manifest: the key of its last block."""
        return self.blocks[-1].key

    @property
    def keys(self) -> tuple[BlockKey, ...]:
        """Keys of its blocks in order."""
        return tuple(block.key for block in self.blocks)

    @property
    def length(self) -> int:
        """Bytes of all its blocks."""
        return sum(block.length for block in self.blocks)

    def same_blocks(self, other: "Manifest") -> bool:
        """Tell whether both name the same blocks; the tier may change meanwhile."""
        return self.scope == other.scope and self.blocks == other.blocks

    def same_content(self, other: "Manifest") -> bool:
        """Tell whether both hold the same bytes, whatever the stores' generations."""
        return self.scope == other.scope and [
            (b.key, b.length, b.checksum) for b in self.blocks
        ] == [(b.key, b.length, b.checksum) for b in other.blocks]

    def to_json(self) -> dict[str, Any]:
        """Return the body of ``PUT /manifests``."""
        return self.model_dump(mode="json", exclude={"tier"})


def parse_blocks(
    answer: Sequence[Any], expected: Sequence[BlockKey]
) -> tuple[BlockRecord, ...]:
    """Return an engine's block records, checked to be those ordered, in order.

    Raises
    ------
    BlocksMismatch
        If a record is malformed, missing, additional or out of order.
    """
    try:
        blocks = tuple(
            BlockRecord.model_validate(block, from_attributes=True) for block in answer
        )
    except (ValidationError, TypeError) as error:
        raise BlocksMismatch(
            f"The engine's block records are invalid: {error}"
        ) from None
    keys = [block.key for block in blocks]
    if keys != list(expected):
        raise BlocksMismatch(
            f"The engine reported {len(keys)} blocks that are not the "
            f"{len(expected)} ordered ones"
        )
    return blocks


def check_staged(
    staged: Sequence[BlockRecord], committed: Sequence[BlockRecord]
) -> None:
    """Raise `BlocksMismatch` unless staged blocks equal the manifest's."""
    for found, wanted in zip(staged, committed, strict=True):
        if found != wanted:
            raise BlocksMismatch(
                f"Staged block {wanted.key} has length {found.length}, checksum "
                f"{found.checksum}, generation {found.generation}; the manifest has "
                f"{wanted.length}, {wanted.checksum}, {wanted.generation}"
            )


__all__ = ["BlockRecord", "BlocksMismatch", "Manifest", "check_staged", "parse_blocks"]
