"""HTTP server of the fake booking service."""

from collections.abc import Sequence
from contextlib import suppress
from typing import Any

from twisted.web.server import Request

from chivesaddle.core.aio import Clock
from chivesaddle.standins.booking_core import BookingCore
from chivesaddle.standins.errors import NoResponse, Rejected
from chivesaddle.standins.faults import BookingFaults
from chivesaddle.standins.http_client import send
from chivesaddle.standins.http_server import FakeServer, HttpResponse, read_json


class FakeBookingService(FakeServer):
    """HTTP server of one instance of the booking service.

    Parameters
    ----------
    name : str
        Prefix of booking ids.
    siblings : sequence of str
        Base URLs of the service's other instances, which are queried for bookings that
        this instance did not make.
    """

    fault_type = BookingFaults
    faults: BookingFaults

    def __init__(self, clock: Clock, name: str, siblings: Sequence[str] = ()) -> None:
        super().__init__(clock)
        self.core = BookingCore(clock, name)
        self.add_route("/operations/<operation>", "POST", self._run_operation)
        self._sibling_urls = siblings
        self._add_control_route("/control/log", "GET", self._get_log)
        self._add_control_route(
            "/control/bookings/<booking_id>", "GET", self._get_booking
        )

    def extra_counters(self) -> dict[str, int]:
        """Return the number of operations run."""
        return {"runs": len(self.core.run_log)}

    async def _run_operation(self, request: Request, operation: str) -> HttpResponse:
        body = read_json(request)
        booking_id = str(body.get("booking_id"))
        sibling_booking: dict[str, Any] | None = None
        if operation == "check_reservation" and self.core.booking(booking_id) is None:
            sibling_booking = await self._find_at_siblings(booking_id)

        def run() -> dict[str, Any]:
            return self.core.run(operation, body, sibling_booking)

        if self.faults.consume("lose_before_run_next"):
            raise NoResponse
        if self.faults.consume("run_late_next"):
            self.run_despite_disconnect(self.faults.late_s, run)
            raise NoResponse
        return HttpResponse(
            await self.run_despite_disconnect(self.faults.run_delay_s, run)
        )

    async def _find_at_siblings(self, booking_id: str) -> dict[str, Any] | None:
        for url in self._sibling_urls:
            # An unreachable instance is skipped; the others are still queried.
            with suppress(OSError):
                response = await send("GET", f"{url}/control/bookings/{booking_id}")
                if response.status == 200:
                    return response.json()
        return None

    async def _get_booking(self, request: Request, booking_id: str) -> HttpResponse:
        booking = self.core.booking(booking_id)
        if booking is None:
            raise Rejected(
                404, "unknown_booking", f"No booking {booking_id} at this instance"
            )
        return HttpResponse(booking)

    async def _get_log(self, request: Request) -> HttpResponse:
        return HttpResponse({"runs": self.core.run_log})


__all__ = ["FakeBookingService"]
