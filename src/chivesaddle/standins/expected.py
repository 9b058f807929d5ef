"""The text that a correct answer has, for tests and the demo."""

from chivesaddle.standins.blocks import render_chat
from chivesaddle.standins.text import TextSource, generated_count


def expected_text(
    model: str,
    weight_version: str,
    prompt: str,
    max_tokens: int,
    *,
    adapter: str = "",
    resume_text: str = "",
) -> str:
    """Return the text that an engine generates from correct KV data.

    Parameters
    ----------
    model, weight_version, adapter : str
        Weights that generate the text.
    prompt : str
        Completion prompt, or chat messages rendered by `render_chat`.
    max_tokens : int
        Tokens of the whole answer, those of ``resume_text`` included.
    resume_text : str
        Part of the answer that exists already; not repeated in the result.

    Examples
    --------
    >>> whole = expected_text("m", "v1", "Hello", 6)
    >>> start = expected_text("m", "v1", "Hello", 2)
    >>> start + expected_text("m", "v1", "Hello", 6, resume_text=start) == whole
    True
    """
    source = TextSource(model, weight_version, adapter, prompt + resume_text)
    return "".join(
        source.next_token() for _ in range(max_tokens - generated_count(resume_text))
    )


__all__ = ["expected_text", "render_chat"]
