"""HTTP shell of the booking service."""

from collections.abc import Sequence
from contextlib import suppress
from typing import Any

from twisted.web.server import Request

from chivesaddle.core.aio import Clock
from chivesaddle.standins.booking_core import BookingCore
from chivesaddle.standins.errors import AnswerLost, Rejected
from chivesaddle.standins.faults import BookingFaults
from chivesaddle.standins.http_client import send
from chivesaddle.standins.shell import Answer, Shell, read_json


class BookingShell(Shell):
    """HTTP routes of one instance of the booking service.

    Parameters
    ----------
    name : str
        Prefix of booking ids.
    siblings : sequence of str
        Base URLs of the service's other instances, asked for bookings made there.
    """

    fault_type = BookingFaults
    faults: BookingFaults

    def __init__(self, clock: Clock, name: str, siblings: Sequence[str] = ()) -> None:
        super().__init__(clock)
        self.core = BookingCore(clock, name)
        self.route("/operations/<operation>", "POST", self._operate)
        self._siblings = siblings
        self._control("/control/log", "GET", self._log)
        self._control("/control/bookings/<booking_id>", "GET", self._booking)

    def extra_counters(self) -> dict[str, int]:
        """Return the number of runs."""
        return {"runs": len(self.core.log)}

    async def _operate(self, request: Request, operation: str) -> Answer:
        body = read_json(request)
        booking_id = str(body.get("booking_id"))
        elsewhere: dict[str, Any] | None = None
        if operation == "check_reservation" and self.core.booking(booking_id) is None:
            elsewhere = await self._ask_siblings(booking_id)

        def run() -> dict[str, Any]:
            return self.core.run(operation, body, elsewhere)

        if self.faults.use("lose_before_run_next"):
            raise AnswerLost
        if self.faults.use("run_late_next"):
            self.run_even_if_caller_leaves(self.faults.late_s, run)
            raise AnswerLost
        return Answer(
            await self.run_even_if_caller_leaves(self.faults.run_delay_s, run)
        )

    async def _ask_siblings(self, booking_id: str) -> dict[str, Any] | None:
        for url in self._siblings:
            # An instance that is down does not keep the others from answering.
            with suppress(OSError):
                found = await send("GET", f"{url}/control/bookings/{booking_id}")
                if found.status == 200:
                    return found.json()
        return None

    async def _booking(self, request: Request, booking_id: str) -> Answer:
        booking = self.core.booking(booking_id)
        if booking is None:
            raise Rejected(404, "unknown_booking", f"No booking {booking_id} here")
        return Answer(booking)

    async def _log(self, request: Request) -> Answer:
        return Answer({"runs": self.core.log})


__all__ = ["BookingShell"]
