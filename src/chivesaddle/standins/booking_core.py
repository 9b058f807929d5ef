"""State of the booking service: runs, bookings and the log of runs."""

import itertools
from typing import Any

from chivesaddle.core.aio import Clock


class BookingCore:
    """Runs operations and keeps a log of every run.

    Parameters
    ----------
    name : str
        Prefix of booking ids, so that ids of several instances differ.
    """

    def __init__(self, clock: Clock, name: str) -> None:
        self._clock = clock
        self._name = name
        self._numbers = itertools.count(1)
        self._bookings: dict[str, dict[str, Any]] = {}
        self.log: list[dict[str, Any]] = []

    def booking(self, booking_id: str) -> dict[str, Any] | None:
        """Return a booking made here, or None."""
        return self._bookings.get(booking_id)

    def run(
        self,
        operation: str,
        body: dict[str, Any],
        sibling_booking: dict[str, Any] | None = None,
    ) -> dict[str, Any]:
        """Run an operation once and return its result.

        ``check_reservation`` reads the booking ``booking_id``, made here or given as
        ``sibling_booking``; ``status`` counts bookings; every other operation makes a
        booking.
        """
        match operation:
            case "check_reservation":
                booking = self.booking(str(body.get("booking_id"))) or sibling_booking
                result: dict[str, Any] = {
                    "reserved": booking is not None,
                    "booking": booking,
                }
            case "status":
                result = {"bookings": len(self._bookings)}
            case _:
                booking_id = f"{self._name}-{next(self._numbers)}"
                self._bookings[booking_id] = {"operation": operation, **body}
                result = {"booking_id": booking_id, "operation": operation}
        self.log.append(
            {
                "seq": len(self.log) + 1,
                "at": self._clock.seconds(),
                "operation": operation,
                "body": body,
                "result": result,
            }
        )
        return result


__all__ = ["BookingCore"]
