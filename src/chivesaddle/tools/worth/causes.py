"""Why a request was late or failed, from what its daemon logged."""

from enum import Enum

from chivesaddle.cachemap.transfers import PREFILL_TOKENS_PER_MS
from chivesaddle.tools.worth.records import RequestEnd

# A cause explains a late request if it took at least this share of its time.
EXPLAINS_SHARE = 0.4


class Cause(Enum):
    """What a request's loss is counted under."""

    REFUSED_ON_ARRIVAL = "refused on arrival"
    REFUSED_AFTER_WAIT = "refused after a wait for room"
    BROKEN_OFF = "broken off or without an answer"
    TIME_RAN_OUT = "time ran out at a server"
    CALLER_LEFT = "caller left"
    RETRIED = "late: sent more than once"
    WAITED = "late: waited for room"
    PROMPT_READ = "late: shared parts were read"
    TRANSFERRED = "late: parts were transferred"
    SLOW_SERVER = "late: slow at the server"


def cause_of(ended: RequestEnd) -> Cause | None:
    """Return the cause of a loss; None for an answer in time or a proper refusal."""
    match ended.result:
        case "answered":
            return _cause_of_lateness(ended) if ended.is_late else None
        case "not_run":
            if ended.waited_ms:
                return Cause.REFUSED_AFTER_WAIT
            return Cause.REFUSED_ON_ARRIVAL
        case "may_have_run":
            return Cause.BROKEN_OFF
        case "timed_out":
            return Cause.TIME_RAN_OUT
        case "caller_left":
            return Cause.CALLER_LEFT
        case _:
            return None


def _cause_of_lateness(ended: RequestEnd) -> Cause:
    if ended.sends > 1:
        return Cause.RETRIED
    reached_ms = ended.total_ms if ended.first_ms is None else ended.first_ms
    times_ms = {
        Cause.WAITED: float(ended.waited_ms),
        Cause.PROMPT_READ: ended.shared_read_tokens / PREFILL_TOKENS_PER_MS,
        Cause.TRANSFERRED: float(ended.transfer_ms),
    }
    cause = max(times_ms, key=lambda found: times_ms[found])
    if times_ms[cause] >= EXPLAINS_SHARE * reached_ms:
        return cause
    return Cause.SLOW_SERVER


__all__ = ["Cause", "cause_of"]
