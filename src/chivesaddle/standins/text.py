"""Deterministic text generation; wrong context or KV data changes the text."""

import json
from hashlib import blake2b

_CONSONANTS = "bdfghklmnprstvzj"
_VOWELS = ["a", "e", "i", "o", "u", "ai", "ei", "uu"]


class TextSource:
    """Generates the tokens that follow a context.

    Each token is a word derived from the hash of the model, weight version, adapter and
    the whole text before it. Appending generated text to the context and starting again
    continues with the same tokens.

    Parameters
    ----------
    model, weight_version, adapter : str
        Weights to generate with; ``adapter`` is empty if none is used.
    context : str
        Prompt and the part of the response that was already generated.
    wrong_payload : bytes
        Concatenated wrong KV data that was read from the cache; empty if all data was
        correct.

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
        self._context_hash = blake2b(digest_size=8)
        self._context_hash.update(json.dumps([model, weight_version, adapter]).encode())
        self._context_hash.update(wrong_payload)
        self._context_hash.update(context.encode())

    def next_token(self) -> str:
        """Return the next token, a word with a leading space."""
        number = int.from_bytes(self._context_hash.digest(), "big")
        word = ""
        for _ in range(2 + number % 2):
            number, consonant_index = divmod(number, len(_CONSONANTS))
            number, vowel_index = divmod(number, len(_VOWELS))
            word += _CONSONANTS[consonant_index] + _VOWELS[vowel_index]
        token = f" {word}"
        self._context_hash.update(token.encode())
        return token


def count_generated_tokens(text: str) -> int:
    """Return the number of generated tokens in ``text``.

    Examples
    --------
    >>> count_generated_tokens(" bado kuu")
    2
    """
    return text.count(" ")


__all__ = ["TextSource", "count_generated_tokens"]
