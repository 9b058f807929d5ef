"""Ends of requests: the error response, log lines and metrics."""

from collections.abc import Callable

from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import DaemonId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.forwarding.exchange import NoUsableResponse, ServerDidNotRun
from chivesaddle.forwarding.messages import CallerRequest
from chivesaddle.forwarding.request_context import RequestContext
from chivesaddle.http1 import HeaderList, Responder
from chivesaddle.placement import Candidate

log = ComponentLogger("forward")


class ResultReporter:
    """Logs, counts and answers the results of requests.

    Parameters
    ----------
    clock : Clock
        Clock of the durations.
    observe : callable
        Called for each finished request with its result and duration in seconds.
    """

    def __init__(self, clock: Clock, observe: Callable[[str, float], None]) -> None:
        self._clock = clock
        self._observe = observe

    def respond_with_error(
        self,
        error: ChivesaddleError,
        caller_request: CallerRequest,
        context: RequestContext | None,
        received_at: float,
        responder: Responder,
    ) -> None:
        """Log an error and send its response, or abort a response that began."""
        self.log_result(error.code, caller_request, context, received_at, error)
        if responder.started:
            # A partial response must not look complete.
            responder.abort()
            return
        headers: HeaderList = []
        if error.retry_after_s is not None:
            headers.append((b"retry-after", f"{error.retry_after_s:.2f}".encode()))
        responder.answer(error.status, b"", headers)

    def log_retry(
        self,
        context: RequestContext,
        candidate: Candidate,
        error: ServerDidNotRun | NoUsableResponse,
    ) -> None:
        """Log a send that is followed by another one or by an error."""
        log.info(
            "send failed",
            extra={
                "request": context.request.id,
                "server": candidate.server.entry.id,
                "software": candidate.server.entry.software_version,
                "cause": error.message,
                "was_given_up": (
                    isinstance(error, NoUsableResponse) and error.was_given_up
                ),
                "silent_ms": context.silent_ms(self._clock.seconds()),
                "sends": context.sends,
                "runs": context.runs,
                **context.response_fields(),
                **context.break_fields(self._clock.seconds()),
            },
        )

    def log_not_passed_on(
        self, context: RequestContext, peer: DaemonId, error: ChivesaddleError
    ) -> None:
        """Log that another daemon did not get the request, or did not respond."""
        log.info(
            "passing on failed",
            extra={
                "request": context.request.id,
                "peer": peer,
                "passed_to": context.passed_to,
                "cause": error.message,
                "was_given_up": (
                    isinstance(error, NoUsableResponse) and error.was_given_up
                ),
                "runs": context.runs,
            },
        )

    def log_result(
        self,
        result: str,
        caller_request: CallerRequest,
        context: RequestContext | None,
        received_at: float,
        error: ChivesaddleError | None = None,
    ) -> None:
        """Log and count the result of a request, with what decided it."""
        seconds = self._clock.seconds() - received_at
        self._observe(result, seconds)
        fields: dict[str, object] = {
            "request": caller_request.id,
            "ms": round(seconds * 1_000),
        }
        if context is not None:
            fields |= {
                "route": context.route.id,
                "service": context.service,
                "configuration": context.configuration_version,
                "sends": context.sends,
                "runs": context.runs,
                **context.log_fields(self._clock.seconds()),
            }
        if error is not None:
            fields["cause"] = error.message
            fields["retry_after_s"] = error.retry_after_s
        log.info(result, extra=fields)


__all__ = ["ResultReporter"]
