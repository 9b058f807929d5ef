"""Where a day's worth was lost, from the bench's report and the daemons' logs."""

from chivesaddle.tools.worth.causes import Cause, cause_of
from chivesaddle.tools.worth.records import (
    Day,
    RequestEnd,
    read_log,
    read_report,
)
from chivesaddle.tools.worth.summary import Loss, losses

__all__ = [
    "Cause",
    "Day",
    "Loss",
    "RequestEnd",
    "cause_of",
    "losses",
    "read_log",
    "read_report",
]
