"""Deadline check: refuses a request whose first token would be late."""

from chivesaddle.routing.cost import Prediction
from chivesaddle.routing.decisions import DeadlineUnreachable, RouteRequest


def check_deadline(
    request: RouteRequest, prediction: Prediction, now: float, wait_s: float = 0.0
) -> DeadlineUnreachable | None:
    """Return the error if the first token would miss the deadline, else None.

    ``wait_s`` is the expected queueing time in this daemon. The error's
    ``retry_after_s`` is the time after which the queues will be short enough. It is
    None if the work alone takes longer than the deadline allows: a retry cannot help.
    """
    allowed_s = request.deadline - now
    late_s = wait_s + prediction.first_token_s - allowed_s
    if late_s <= 0:
        return None
    can_never_meet = prediction.work_s > allowed_s
    return DeadlineUnreachable(
        f"The first token is predicted {late_s:.3f} s after the deadline",
        remedy=(
            "Allow more time or shorten the prompt"
            if can_never_meet
            else "Retry after the given time"
        ),
        retry_after_s=None if can_never_meet else late_s,
    )


__all__ = ["check_deadline"]
