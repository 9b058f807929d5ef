"""How a request may end without a server's answer."""

from chivesaddle.core.errors import ChivesaddleError


class NotRun(ChivesaddleError):
    """No server runs the request, and none will; the caller may come back."""

    code = "not_run"
    status = 503


class MayHaveRun(ChivesaddleError):
    """The request was sent and its answer is missing."""

    code = "may_have_run"
    status = 502


class TimedOut(ChivesaddleError):
    """The request was sent and its time ran out."""

    code = "timed_out"
    status = 504


class NoRoute(ChivesaddleError):
    """No route of the configuration takes the request."""

    code = "no_route"
    status = 404


class UnknownKey(ChivesaddleError):
    """The key belongs to no client account."""

    code = "unknown_key"
    status = 401


__all__ = ["MayHaveRun", "NoRoute", "NotRun", "TimedOut", "UnknownKey"]
