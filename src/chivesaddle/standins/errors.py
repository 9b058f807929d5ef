"""Errors that the fakes answer."""

from chivesaddle.core.errors import ChivesaddleError


class Rejected(ChivesaddleError):
    """A request is answered with an error status.

    Parameters
    ----------
    status : int
        HTTP status.
    code : str
        Stable error code.
    message : str
        What was wrong, naming the value.
    retry_after_s : float or None
        Sent as ``Retry-After``.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        *,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message, retry_after_s=retry_after_s)
        self.status = status
        self.code = code


class AnswerLost(Exception):
    """The connection is closed without an answer."""


__all__ = ["AnswerLost", "Rejected"]
