"""Computes the keys under which KV blocks are stored.

Keys are derived from a scope, which identifies the account, model, weight version and
adapter, so that blocks of two scopes never share a key.
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

# Length of the part of a prompt that a block covers, in bytes and in tokens.
BLOCK_BYTES = 1_024
TOKENS_PER_BLOCK = 256
DIGEST_BYTES = 16
# The home stores depend on at most this many leading blocks, as the home servers in
# routing do: prompts that share these blocks have the same home stores.
HOME_PREFIX_BLOCKS = 4


def scope(
    account: AccountId,
    model: ModelId,
    version: WeightVersion,
    adapter: AdapterId | None,
) -> str:
    """Return the hex BLAKE2b-128 digest of account, model, version and adapter.

    They are hashed as a JSON array, so that different values cannot give the same
    input, as concatenated strings could.

    Examples
    --------
    >>> scope("a", "bc", "1", None) == scope("ab", "c", "1", None)
    False
    """
    names = json.dumps([account, model, version, adapter]).encode()
    return hashlib.blake2b(names, digest_size=DIGEST_BYTES).hexdigest()


def block_keys(scope: str, data: bytes) -> list[BlockKey]:
    """Return the key of each full block of the prompt ``data``, in order.

    A key is the hash of the scope, the previous block's key and the block's bytes. They
    are concatenated without separators because the scope and the key have fixed
    lengths; the first block has no previous key.

    Examples
    --------
    >>> len(block_keys("00" * 16, b"x" * 2_500))
    2
    """
    scope_digest, previous = bytes.fromhex(scope), b""
    keys = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = data[start : start + BLOCK_BYTES]
        digest = hashlib.blake2b(
            scope_digest + previous + block, digest_size=DIGEST_BYTES
        )
        previous = digest.digest()
        keys.append(BlockKey(previous.hex()))
    return keys


def home_key(keys: list[BlockKey] | tuple[BlockKey, ...]) -> BlockKey:
    """Return the key that determines the home stores of a prompt."""
    return keys[min(len(keys), HOME_PREFIX_BLOCKS) - 1]


def checkpoint_depths(blocks: int) -> list[int]:
    """Return the depths, in blocks, at which a prefix of ``blocks`` gets a manifest.

    A prompt that shares only its beginning with a stored one has another last key, so
    manifests are also written at depths that grow by an eighth. At most a ninth of a
    shared prefix, or one block, is then not found.

    Examples
    --------
    >>> checkpoint_depths(20)
    [4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 18, 20]
    >>> checkpoint_depths(3)
    [3]
    """
    depths, depth = [], HOME_PREFIX_BLOCKS
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
