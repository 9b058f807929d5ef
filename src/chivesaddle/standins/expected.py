"""Expected text of a correct response, for tests and the demo."""

from chivesaddle.standins.blocks import render_chat
from chivesaddle.standins.text import TextSource, count_generated_tokens


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
        Weights that the text is generated with.
    prompt : str
        Completion prompt, or chat messages rendered by `render_chat`.
    max_tokens : int
        Tokens of the whole response, including those of ``resume_text``.
    resume_text : str
        Part of the response that was already generated; not part of the result.

    Examples
    --------
    >>> whole = expected_text("m", "v1", "Hello", 6)
    >>> start = expected_text("m", "v1", "Hello", 2)
    >>> start + expected_text("m", "v1", "Hello", 6, resume_text=start) == whole
    True
    """
    source = TextSource(model, weight_version, adapter, prompt + resume_text)
    return "".join(
        source.next_token()
        for _ in range(max_tokens - count_generated_tokens(resume_text))
    )


__all__ = ["expected_text", "render_chat"]
