"""Reports why requests of a benchmark day were lost, from its report and logs."""

from chivesaddle.tools.worth.causes import Cause, loss_cause
from chivesaddle.tools.worth.records import (
    Day,
    EndedRequest,
    read_log,
    read_report,
)
from chivesaddle.tools.worth.summary import Loss, losses_by_cause

__all__ = [
    "Cause",
    "Day",
    "EndedRequest",
    "Loss",
    "loss_cause",
    "losses_by_cause",
    "read_log",
    "read_report",
]
