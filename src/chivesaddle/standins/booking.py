"""HTTP shell of the booking service."""

from typing import Any

from twisted.web.server import Request

from chivesaddle.core.aio import Clock
from chivesaddle.standins.booking_core import BookingCore
from chivesaddle.standins.errors import AnswerLost
from chivesaddle.standins.faults import BookingFaults
from chivesaddle.standins.shell import Answer, Shell, read_json


class BookingShell(Shell):
    """HTTP routes of the booking service; ``name`` prefixes its booking ids."""

    fault_type = BookingFaults
    faults: BookingFaults

    def __init__(self, clock: Clock, name: str) -> None:
        super().__init__(clock)
        self.core = BookingCore(clock, name)
        self.route("/operations/<operation>", "POST", self._operate)
        self._control("/control/log", "GET", self._log)

    def extra_counters(self) -> dict[str, int]:
        """Return the number of runs."""
        return {"runs": len(self.core.log)}

    async def _operate(self, request: Request, operation: str) -> Answer:
        body = read_json(request)

        def run() -> dict[str, Any]:
            return self.core.run(operation, body)

        if self.faults.use("lose_before_run_next"):
            raise AnswerLost
        if self.faults.use("run_late_next"):
            self.run_even_if_caller_leaves(self.faults.late_s, run)
            raise AnswerLost
        return Answer(
            await self.run_even_if_caller_leaves(self.faults.run_delay_s, run)
        )

    async def _log(self, request: Request) -> Answer:
        return Answer({"runs": self.core.log})


__all__ = ["BookingShell"]
