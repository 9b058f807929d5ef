"""Deterministic autoregressive text, so that wrong context or KV data is visible."""

import json
from hashlib import blake2b

_ONSETS = "bdfghklmnprstvzj"
_VOWELS = ["a", "e", "i", "o", "u", "ai", "ei", "uu"]


class TextSource:
    """Generates the tokens that follow a context.

    Each token is a word derived from the hash of the model, weight version, adapter and
    the whole text before it. Appending generated text to the context and starting again
    continues with the same tokens.

    Parameters
    ----------
    model, weight_version, adapter : str
        Weights that generate the text; ``adapter`` is empty without one.
    context : str
        Prompt and the part of the answer that exists already.
    wrong_payload : bytes
        Concatenated wrong KV data that was read from the cache; empty if none was.

    Examples
    --------
    >>> source = TextSource("m", "v1", "", "Hello")
    >>> first = source.next_token()
    >>> source.next_token() == TextSource("m", "v1", "", "Hello" + first).next_token()
    True
    """

    def __init__(
        self,
        model: str,
        weight_version: str,
        adapter: str,
        context: str,
        wrong_payload: bytes = b"",
    ) -> None:
        self._hash = blake2b(digest_size=8)
        self._hash.update(json.dumps([model, weight_version, adapter]).encode())
        self._hash.update(wrong_payload)
        self._hash.update(context.encode())

    def next_token(self) -> str:
        """Return the next token, a word with a leading space."""
        number = int.from_bytes(self._hash.digest(), "big")
        word = ""
        for _ in range(2 + number % 2):
            number, onset = divmod(number, len(_ONSETS))
            number, vowel = divmod(number, len(_VOWELS))
            word += _ONSETS[onset] + _VOWELS[vowel]
        token = f" {word}"
        self._hash.update(token.encode())
        return token


def generated_count(text: str) -> int:
    """Return how many generated tokens ``text`` consists of.

    Examples
    --------
    >>> generated_count(" bado kuu")
    2
    """
    return text.count(" ")


__all__ = ["TextSource", "generated_count"]
