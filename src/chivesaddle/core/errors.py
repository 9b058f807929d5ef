"""Base classes of the errors that chivesaddle reports."""


class ChivesaddleError(Exception):
    """An error with a stable code, an HTTP status and a remedy.

    Parameters
    ----------
    message : str
        Description of the error, including the invalid value.
    remedy : str
        Action by which the caller or operator can correct it.
    retry_after_s : float or None
        Seconds after which the caller may retry; None if a retry will not help.
    """

    code = "internal_error"
    status = 500

    def __init__(
        self, message: str, *, remedy: str = "", retry_after_s: float | None = None
    ) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy
        self.retry_after_s = retry_after_s

    def __str__(self) -> str:
        return f"{self.message}. {self.remedy}" if self.remedy else self.message


class InvalidValue(ChivesaddleError):
    """A field of a request, intent or setting has an invalid value."""

    code = "invalid_value"
    status = 400

    def __init__(self, message: str, *, field: str = "", remedy: str = "") -> None:
        super().__init__(message, remedy=remedy)
        self.field = field


class DeadlineExceeded(ChivesaddleError):
    """An operation did not finish before its deadline."""

    code = "deadline_exceeded"
    status = 504


class ListenFailed(ChivesaddleError):
    """An address to listen on is in use or does not belong to this instance."""

    code = "listen_failed"


__all__ = ["ChivesaddleError", "DeadlineExceeded", "InvalidValue", "ListenFailed"]
