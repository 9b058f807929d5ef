"""Block keys, payloads, checksums and prompt rendering that the fakes share."""

from collections.abc import Sequence
from hashlib import blake2b
from typing import Any

import xxhash

from chivesaddle.core.errors import InvalidValue
from chivesaddle.core.ids import BlockKey

# Prompt bytes and tokens of one block.
BLOCK_BYTES = 1_024
BLOCK_TOKENS = 256
BYTES_PER_TOKEN = 4
# Size of the simulated KV data of one block.
PAYLOAD_BYTES = 64


def block_keys(cache_salt: str, data: bytes) -> list[BlockKey]:
    """Return the keys of all full blocks of ``data``.

    A key is the BLAKE2b-128 of the salt, the previous key (empty for the first block)
    and the block's bytes, all as raw bytes.

    Examples
    --------
    >>> len(block_keys("00ff", b"x" * 2_500))
    2
    """
    try:
        salt = bytes.fromhex(cache_salt)
    except ValueError:
        raise InvalidValue(
            f"cache_salt {cache_salt!r} is not hexadecimal", field="cache_salt"
        ) from None
    keys: list[BlockKey] = []
    previous_digest = b""
    for end in range(BLOCK_BYTES, len(data) + 1, BLOCK_BYTES):
        digest = blake2b(salt + previous_digest, digest_size=16)
        digest.update(data[end - BLOCK_BYTES : end])
        previous_digest = digest.digest()
        keys.append(BlockKey(previous_digest.hex()))
    return keys


def payload(key: BlockKey, weight_version: str) -> bytes:
    """Return the simulated KV data of a block, which depends on the weight version."""
    return blake2b(
        f"{key}/{weight_version}".encode(), digest_size=PAYLOAD_BYTES
    ).digest()


def checksum(data: bytes) -> str:
    """Return the hex XXH3-128 checksum of a payload."""
    return xxhash.xxh3_128_hexdigest(data)


def token_count(text: str) -> int:
    """Return the number of prompt tokens of ``text``: four bytes each, rounded up.

    Examples
    --------
    >>> token_count("abcde")
    2
    """
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


def render_chat(messages: Sequence[dict[str, Any]]) -> str:
    r"""Return the prompt text of chat messages.

    Examples
    --------
    >>> render_chat([{"role": "user", "content": "Hi"}])
    '<|user|>Hi\n'
    """
    return "".join(map(_message_text, messages))


def _message_text(message: Any) -> str:
    if not isinstance(message, dict) or not isinstance(message.get("role"), str):
        raise InvalidValue(f"Message {message!r} has no role", field="messages")
    return f"<|{message['role']}|>{_content_text(message.get('content'))}\n"


def _content_text(content: Any) -> str:
    if isinstance(content, list):
        return "".join(part.get("text", "") for part in content)
    return content or ""


__all__ = [
    "BLOCK_BYTES",
    "BLOCK_TOKENS",
    "PAYLOAD_BYTES",
    "block_keys",
    "checksum",
    "payload",
    "render_chat",
    "token_count",
]
