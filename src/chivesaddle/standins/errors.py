"""Errors that handlers of the fakes raise."""

from chivesaddle.core.errors import ChivesaddleError


class Rejected(ChivesaddleError):
    """The request gets a response with an error status.

    Parameters
    ----------
    status : int
        HTTP status.
    code : str
        Stable error code.
    message : str
        Description of the error, with the invalid value.
    retry_after_s : float or None
        Sent in the ``Retry-After`` header.
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


class NoResponse(Exception):
    """The connection is closed without a response."""


__all__ = ["NoResponse", "Rejected"]
