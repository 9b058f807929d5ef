"""One run of a request on a server, as evidence of what crashes servers."""

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import RequestId
from chivesaddle.core.serving_model import ServerEntry
from chivesaddle.forwarding.crashes import CrashRecord
from chivesaddle.forwarding.suspects import CrashSuspects

# A server that still answers this long after its first event does not crash because it
# begins to answer.
ANSWERED_AFTER_S = 0.2
# Bytes that were received together, such as after a pause of this process, prove only
# once that the server was alive.
MIN_GAP_S = 0.1


class Run:
    """Observes one run and tells `CrashRecord` what it shows.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    crashes : CrashRecord
        Gets the evidence.
    suspects : CrashSuspects
        The request and its parts.
    server : ServerEntry
        The server that runs it.
    request_id : RequestId
        Id of the request, for the log.

    Attributes
    ----------
    first_event_at : float or None
        When the server's first event, or other body, arrived.
    """

    def __init__(
        self,
        clock: Clock,
        crashes: CrashRecord,
        suspects: CrashSuspects,
        server: ServerEntry,
        request_id: RequestId,
    ) -> None:
        self._clock = clock
        self._crashes = crashes
        self._suspects = suspects
        self._server = server
        self._request_id = request_id
        self._is_answered = False
        self._bytes_at: float | None = None
        self.first_event_at: float | None = None
        crashes.start_run(suspects.request, *suspects.parts)

    def record_bytes(self, connected_at: float, now: float) -> None:
        """Record that response bytes arrived on a connection of that age."""
        if self._bytes_at is not None and now - self._bytes_at >= MIN_GAP_S:
            self._crashes.disprove(self._server, connected_at, self._bytes_at)
        self._bytes_at = now

    def record_events(self) -> None:
        """Record that complete events, or the begin of another body, arrived."""
        if self._is_answered and self.first_event_at is not None:
            return
        now = self._clock.seconds()
        if self.first_event_at is None:
            self.first_event_at = now
        elif now - self.first_event_at >= ANSWERED_AFTER_S:
            self._record_answered()

    def record_complete(self, status: int) -> None:
        """Record that the response is complete."""
        if status < 500:
            self._crashes.record_completed(self._suspects.request)
        if 200 <= status < 300:
            self._record_answered()

    def record_break(self) -> None:
        """Record that the connection broke, which may be a crash of the server."""
        parts = () if self._is_answered else self._suspects.parts
        self._crashes.suspect(
            self._suspects.request, self._server, self._request_id, parts
        )

    def end(self) -> None:
        """Record that the run ended."""
        running = () if self._is_answered else self._suspects.parts
        self._crashes.end_run(self._suspects.request, *running)

    def _record_answered(self) -> None:
        if self._is_answered:
            return
        self._is_answered = True
        self._crashes.end_run(*self._suspects.parts)
        self._crashes.record_answered(self._suspects.parts)


__all__ = ["Run"]
