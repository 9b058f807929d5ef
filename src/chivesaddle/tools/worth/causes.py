"""Determines why a request was late or failed, from what its daemon logged."""

from enum import Enum

from chivesaddle.cachemap.transfers import PREFILL_TOKENS_PER_MS
from chivesaddle.tools.worth.records import EndedRequest

# A delay is the cause of a late response if it took at least this share of its latency.
MIN_EXPLAINED_SHARE = 0.4


class Cause(Enum):
    """Causes by which lost requests are counted."""

    REFUSED_ON_ARRIVAL = "refused on arrival"
    REFUSED_AFTER_WAIT = "refused after waiting for capacity"
    INTERRUPTED = "interrupted or without a response"
    TIMED_OUT = "timed out at a server"
    CALLER_DISCONNECTED = "caller disconnected"
    RETRIED = "late: sent more than once"
    QUEUED = "late: waited for capacity"
    PREFILLED = "late: shared prompt parts were prefilled"
    TRANSFERRED = "late: prompt parts were transferred"
    SLOW_SERVER = "late: slow at the server"


def loss_cause(request: EndedRequest) -> Cause | None:
    """Return why a request was lost; None if on time or correctly rejected."""
    match request.result:
        case "answered":
            return _late_cause(request) if request.is_late else None
        case "not_run":
            if request.waited_ms:
                return Cause.REFUSED_AFTER_WAIT
            return Cause.REFUSED_ON_ARRIVAL
        case "may_have_run":
            return Cause.INTERRUPTED
        case "timed_out":
            return Cause.TIMED_OUT
        case "caller_left":
            return Cause.CALLER_DISCONNECTED
        case _:
            return None


def _late_cause(request: EndedRequest) -> Cause:
    if request.sends > 1:
        return Cause.RETRIED
    latency_ms = request.total_ms if request.first_ms is None else request.first_ms
    times_ms = {
        Cause.QUEUED: float(request.waited_ms),
        Cause.PREFILLED: request.shared_read_tokens / PREFILL_TOKENS_PER_MS,
        Cause.TRANSFERRED: float(request.transfer_ms),
    }
    cause = max(times_ms, key=lambda candidate: times_ms[candidate])
    if times_ms[cause] >= MIN_EXPLAINED_SHARE * latency_ms:
        return cause
    return Cause.SLOW_SERVER


__all__ = ["Cause", "loss_cause"]
