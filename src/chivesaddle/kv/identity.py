"""Identity of KV blocks.

The scope keeps accounts, models, weight versions and adapters apart: blocks of two
scopes never share a key.
"""

import hashlib
import json

from chivesaddle.core.ids import (
    AccountId,
    AdapterId,
    BlockKey,
    ModelId,
    WeightVersion,
)

BLOCK_BYTES = 1_024
TOKENS_PER_BLOCK = 256
DIGEST_BYTES = 16
# Prompts that share their first blocks have the same home stores, as in routing.
HOME_DEPTH_BLOCKS = 4


def scope(
    account: AccountId,
    model: ModelId,
    version: WeightVersion,
    adapter: AdapterId | None,
) -> str:
    """Return the hex BLAKE2b-128 digest of the four names.

    The names are hashed as a JSON array, so that no two lists of names coincide.

    Examples
    --------
    >>> scope("a", "bc", "1", None) == scope("ab", "c", "1", None)
    False
    """
    names = json.dumps([account, model, version, adapter]).encode()
    return hashlib.blake2b(names, digest_size=DIGEST_BYTES).hexdigest()


def block_keys(scope: str, data: bytes) -> list[BlockKey]:
    """Return the key of each full block of ``data``, in order.

    Each key covers the scope, the key before it and the block's bytes, hashed as raw
    bytes without separators: the first two have fixed lengths, and the first block has
    no key before it.

    Examples
    --------
    >>> len(block_keys("00" * 16, b"x" * 2_500))
    2
    """
    seed, previous = bytes.fromhex(scope), b""
    keys = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = data[start : start + BLOCK_BYTES]
        digest = hashlib.blake2b(seed + previous + block, digest_size=DIGEST_BYTES)
        previous = digest.digest()
        keys.append(BlockKey(previous.hex()))
    return keys


def home_key(keys: list[BlockKey] | tuple[BlockKey, ...]) -> BlockKey:
    """Return the key that decides the home stores of a prompt."""
    return keys[min(len(keys), HOME_DEPTH_BLOCKS) - 1]


def checkpoint_depths(blocks: int) -> list[int]:
    """Return the depths at which a prefix of ``blocks`` blocks gets a manifest.

    A prompt that returns with another ending has another last key, so manifests also
    exist at depths that grow by an eighth: at most a ninth of a shared prefix, or one
    block, is not found.

    Examples
    --------
    >>> checkpoint_depths(20)
    [4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 18, 20]
    >>> checkpoint_depths(3)
    [3]
    """
    depths, depth = [], HOME_DEPTH_BLOCKS
    while depth < blocks:
        depths.append(depth)
        depth += max(1, depth // 8)
    return [*depths, blocks] if blocks else []


__all__ = [
    "BLOCK_BYTES",
    "TOKENS_PER_BLOCK",
    "block_keys",
    "checkpoint_depths",
    "home_key",
    "scope",
]
