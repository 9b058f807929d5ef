"""State of the booking service: bookings and the log of operation runs."""

import itertools
from typing import Any

from chivesaddle.core.aio import Clock


class BookingCore:
    """Runs operations and logs every run.

    Parameters
    ----------
    name : str
        Prefix of booking ids, which keeps the ids of several instances distinct.
    """

    def __init__(self, clock: Clock, name: str) -> None:
        self._clock = clock
        self._name = name
        self._booking_numbers = itertools.count(1)
        self._bookings: dict[str, dict[str, Any]] = {}
        self.run_log: list[dict[str, Any]] = []

    def booking(self, booking_id: str) -> dict[str, Any] | None:
        """Return a booking made by this instance, or None."""
        return self._bookings.get(booking_id)

    def run(
        self,
        operation: str,
        body: dict[str, Any],
        sibling_booking: dict[str, Any] | None = None,
    ) -> dict[str, Any]:
        """Run an operation once and return its result.

        ``check_reservation`` looks up the booking ``booking_id``, which this instance
        made or the caller passes as ``sibling_booking``; ``status`` counts bookings;
        every other operation makes a booking.
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
                booking_id = f"{self._name}-{next(self._booking_numbers)}"
                self._bookings[booking_id] = {"operation": operation, **body}
                result = {"booking_id": booking_id, "operation": operation}
        self.run_log.append(
            {
                "seq": len(self.run_log) + 1,
                "at": self._clock.seconds(),
                "operation": operation,
                "body": body,
                "result": result,
            }
        )
        return result


__all__ = ["BookingCore"]
