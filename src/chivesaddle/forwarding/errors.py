"""Errors for requests that end without a server's response."""

from chivesaddle.core.errors import ChivesaddleError


class NotRun(ChivesaddleError):
    """No server has run the request or will run it; the caller may retry."""

    code = "not_run"
    status = 503


class MayHaveRun(ChivesaddleError):
    """The request was sent and its response is missing."""

    code = "may_have_run"
    status = 502


class TimedOut(ChivesaddleError):
    """The request was sent and its deadline passed."""

    code = "timed_out"
    status = 504


class CallerLeft(ChivesaddleError):
    """The caller closed its connection, so that nobody waits for a response."""

    code = "caller_left"


class DaemonEnded(ChivesaddleError):
    """The daemon ended before the response of a request that may have run."""

    code = "cut_by_shutdown"
    status = 502


class NoRoute(ChivesaddleError):
    """No route of the configuration matches the request."""

    code = "no_route"
    status = 404


class UnknownKey(ChivesaddleError):
    """The key belongs to no client account."""

    code = "unknown_key"
    status = 401


__all__ = [
    "CallerLeft",
    "DaemonEnded",
    "MayHaveRun",
    "NoRoute",
    "NotRun",
    "TimedOut",
    "UnknownKey",
]
