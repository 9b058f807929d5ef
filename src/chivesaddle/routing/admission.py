"""Whether a request's deadline can still be met."""

from chivesaddle.routing.cost import Prediction
from chivesaddle.routing.decisions import DeadlineUnreachable, RouteRequest


def check_deadline(
    request: RouteRequest, prediction: Prediction, now: float, wait_s: float = 0.0
) -> DeadlineUnreachable | None:
    """Return the refusal if the first token would miss the deadline, else None.

    ``wait_s`` is the expected wait in this daemon. ``retry_after_s`` is the time after
    which the queues will have shortened enough; None if the work alone takes longer
    than the caller allows, so that a retry does not help.
    """
    allowed_s = request.deadline - now
    late_s = wait_s + prediction.first_token_s - allowed_s
    if late_s <= 0:
        return None
    hopeless = prediction.work_s > allowed_s
    return DeadlineUnreachable(
        f"The first token is predicted {late_s:.3f} s after the deadline",
        remedy=(
            "Allow more time or shorten the prompt"
            if hopeless
            else "Retry after the given time"
        ),
        retry_after_s=None if hopeless else late_s,
    )


__all__ = ["check_deadline"]
