"""Relay of an answer from engines to a caller, with resumption and retries."""

from dataclasses import dataclass
from typing import Any, Protocol

from twisted.internet.defer import CancelledError

from chivesaddle.core.aio import Clock, log_failure, start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import BackendServerId, RequestId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.engines.answer import RelayedAnswer
from chivesaddle.engines.chunks import DONE, ApiStyle, length_limit_chunk
from chivesaddle.engines.client import MAX_TOKEN_GAP_S, EngineClient
from chivesaddle.engines.errors import (
    EngineCrashed,
    EngineDraining,
    EngineError,
    EngineNotFound,
    EngineProtocolError,
    EngineRefused,
    EngineReset,
    EngineTimeout,
    StreamInterrupted,
    StreamMismatch,
)
from chivesaddle.engines.stream import EngineStream

MAX_SERVERS_PER_REQUEST = 3
MAX_RESUMES_PER_SERVER = 2
# A continuation has to prefill the prompt and the text generated so far.
CONTINUATION_TIMEOUT_S = 10.0
CANCEL_TIMEOUT_S = 2.0
DEFAULT_RETRY_AFTER_S = 1.0
_TOKEN_LIMIT_FIELDS = ("max_tokens", "max_completion_tokens")
# After these errors the server gets no further requests. The number of retries that it
# causes is limited by its requests in flight, and they must not use up the retry budget
# for the requests of other servers.
_SERVER_UNAVAILABLE_ERRORS = (EngineCrashed, EngineDraining, EngineRefused)
_RESUMABLE_ERRORS = (EngineReset, EngineTimeout, EngineProtocolError, StreamMismatch)
_log = ComponentLogger("engines")


@dataclass(frozen=True)
class Target:
    """A backend server and its base URL."""

    server_id: BackendServerId
    url: str


@dataclass(frozen=True)
class RelayRequest:
    """A request as it is sent to engines.

    ``deadline`` is the time by which the first token must arrive, in seconds on the
    relay's clock. If ``body`` is None, the relay only resumes a running stream, after
    its first ``tokens`` tokens. ``max_tokens`` is None if the caller set no limit.
    """

    request_id: RequestId
    path: str
    body: dict[str, Any] | None
    cache_salt: str
    style: ApiStyle
    deadline: float
    max_tokens: int | None = None
    tokens: int = 0


class RetryBudget(Protocol):
    """Limits retries to a fraction of the requests."""

    def try_spend(self, now: float) -> bool:
        """Consume one retry; return whether the budget allowed it."""


class CallerSink(Protocol):
    """Receives an answer for the caller, with back pressure."""

    @property
    def paused(self) -> bool:
        """Whether the caller reads too slowly and writing must wait."""

    async def resumed(self) -> None:
        """Wait until writing may continue."""

    def write(self, events: bytes) -> None:
        """Write one or more complete events."""

    def finish(self) -> None:
        """End an answer that is complete."""

    def fail(self, error: ChivesaddleError) -> None:
        """End an incomplete answer with an error."""


class RelayDelegate(Protocol):
    """Receives the progress of a request and selects servers for retries."""

    def started(self, target: Target) -> None:
        """Handle that the request is about to be sent to a server."""

    def first_token(self, target: Target) -> None:
        """Handle the arrival of the first token of the answer."""

    def resumed(self, target: Target, after: int) -> None:
        """Handle that the stream was resumed on the same server."""

    def finished(self, target: Target, answer: RelayedAnswer) -> None:
        """Handle the completion of the answer."""

    def cancelled(self, target: Target) -> None:
        """Handle that the caller disconnected."""

    async def failed(self, target: Target, error: EngineError) -> None:
        """Handle a failure; returns after a crash has been announced to the peers."""

    async def next_target(self, error: EngineError) -> Target:
        """Return another server; raises a `ChivesaddleError` if none is left."""


class StreamRelay:
    """Relays answers; a caller receives its complete answer or an error.

    Parameters
    ----------
    client : EngineClient
        Client for the engines.
    clock : Clock
        Clock, in seconds, on which all deadlines are expressed.
    budget : RetryBudget
        Limits the retries of answers that have not started yet. Retries after a crash,
        a refused connection or a 503 from a draining server need no budget. An answer
        that has started is always continued, on up to ``MAX_SERVERS_PER_REQUEST``
        servers, because if the caller repeated the request, its whole prompt would have
        to be computed again.
    """

    def __init__(self, client: EngineClient, clock: Clock, budget: RetryBudget) -> None:
        self._client = client
        self._clock = clock
        self._budget = budget

    async def run(
        self,
        request: RelayRequest,
        target: Target,
        sink: CallerSink,
        delegate: RelayDelegate,
    ) -> RelayedAnswer:
        """Relay the answer of ``request``, starting at ``target``.

        Cancelling the Deferred of this coroutine cancels the run at the engine.

        Raises
        ------
        ChivesaddleError
            The error that was passed to ``sink.fail``.
        """
        answer = RelayedAnswer(request.request_id, request.style, tokens=request.tokens)
        servers_tried = 1
        try:
            while True:
                try:
                    delegate.started(target)
                    await self._relay_from(answer, request, target, sink, delegate)
                    break
                except EngineError as error:
                    self._cancel_abandoned_run(request, target, error)
                    await delegate.failed(target, error)
                    if self._reached_token_limit(answer, request):
                        sink.write(
                            length_limit_chunk(answer.events[-1], answer.style) + DONE
                        )
                        break
                    self._check_retry(error, servers_tried, started=answer.tokens > 0)
                    if request.body is not None:
                        answer.prepare_continuation()
                    target = await delegate.next_target(error)
                    servers_tried += 1
        except CancelledError:
            self._cancel(request, target)
            delegate.cancelled(target)
            raise
        except ChivesaddleError as error:
            caller_error = _error_for_caller(error, started=bool(answer.events))
            sink.fail(caller_error)
            raise caller_error from error
        except Exception:
            self._cancel(request, target)
            raise
        delegate.finished(target, answer)
        sink.finish()
        return answer

    async def _relay_from(
        self,
        answer: RelayedAnswer,
        request: RelayRequest,
        target: Target,
        sink: CallerSink,
        delegate: RelayDelegate,
    ) -> None:
        stream = await self._open_stream(answer, request, target)
        resumes = 0
        while True:
            try:
                await self._relay_events(answer, stream, target, sink, delegate)
                return
            except _RESUMABLE_ERRORS as error:
                # The run continues at the server, so that resuming its stream causes
                # no additional computation and needs no retry budget.
                if resumes == MAX_RESUMES_PER_SERVER:
                    raise
                resumes += 1
                stream = await self._resume_stream(answer, request, target, error)
                delegate.resumed(target, answer.tokens)

    async def _open_stream(
        self, answer: RelayedAnswer, request: RelayRequest, target: Target
    ) -> EngineStream:
        if request.body is None:
            return await self._client.resume(
                target.url,
                request.request_id,
                answer.tokens,
                request.cache_salt,
                self._clock.seconds() + MAX_TOKEN_GAP_S,
            )
        body, deadline = request.body, request.deadline
        if answer.tokens:
            body = {**body, "resume_text": answer.resume_text}
            if request.max_tokens is not None:
                remaining_tokens = request.max_tokens - answer.tokens
                body |= {
                    name: remaining_tokens
                    for name in _TOKEN_LIMIT_FIELDS
                    if name in body
                }
            deadline = self._clock.seconds() + CONTINUATION_TIMEOUT_S
        return await self._client.open_stream(target.url, request.path, body, deadline)

    async def _resume_stream(
        self,
        answer: RelayedAnswer,
        request: RelayRequest,
        target: Target,
        error: EngineError,
    ) -> EngineStream:
        try:
            return await self._client.resume(
                target.url,
                request.request_id,
                answer.resume_position(),
                request.cache_salt,
                self._clock.seconds() + MAX_TOKEN_GAP_S,
            )
        except EngineRefused:
            if isinstance(error, EngineReset):
                raise EngineCrashed(
                    f"Backend server {target.server_id} dropped the connection and "
                    "refused a new one"
                ) from error
            raise
        except EngineCrashed:
            raise
        except EngineError:
            raise error from None

    async def _relay_events(
        self,
        answer: RelayedAnswer,
        stream: EngineStream,
        target: Target,
        sink: CallerSink,
        delegate: RelayDelegate,
    ) -> None:
        first_token_seen = answer.tokens > 0
        try:
            while True:
                events = await stream.next_events()
                ended = not events or events[-1] == DONE
                relayed, error = _accept_batch(answer, events)
                if relayed:
                    if not first_token_seen and answer.tokens:
                        first_token_seen = True
                        delegate.first_token(target)
                    sink.write(relayed)
                if error is not None:
                    raise error
                if ended:
                    break
                if sink.paused:
                    await sink.resumed()
        except EngineError:
            if not answer.complete:
                raise
        finally:
            if answer.complete:
                stream.release()
            else:
                stream.close()
        if not answer.complete:
            raise EngineReset("Engine stream ended before its last chunk")
        sink.write(DONE)

    def _reached_token_limit(
        self, answer: RelayedAnswer, request: RelayRequest
    ) -> bool:
        return (
            request.max_tokens is not None
            and bool(answer.events)
            and answer.tokens >= request.max_tokens
        )

    def _check_retry(
        self, error: EngineError, servers_tried: int, *, started: bool
    ) -> None:
        if not error.retry_on_other_server or servers_tried >= MAX_SERVERS_PER_REQUEST:
            raise error
        if started or isinstance(error, _SERVER_UNAVAILABLE_ERRORS):
            return
        if not self._budget.try_spend(self._clock.seconds()):
            raise error

    def _cancel_abandoned_run(
        self, request: RelayRequest, target: Target, error: EngineError
    ) -> None:
        if isinstance(error, _RESUMABLE_ERRORS):
            self._cancel(request, target)

    def _cancel(self, request: RelayRequest, target: Target) -> None:
        deadline = self._clock.seconds() + CANCEL_TIMEOUT_S
        start(
            self._client.cancel(
                target.url, request.request_id, request.cache_salt, deadline
            )
        ).addErrback(
            log_failure(_log, f"failed to cancel {request.request_id} at the engine")
        )


def _accept_batch(
    answer: RelayedAnswer, events: list[bytes]
) -> tuple[bytes, EngineError | None]:
    """Return the accepted events of a batch and the error that ended it, if any."""
    relayed: list[bytes] = []
    for event in events:
        if event == DONE:
            break
        try:
            accepted = answer.accept(event)
        except EngineError as error:
            return b"".join(relayed), error
        if accepted is not None:
            relayed.append(accepted)
    return b"".join(relayed), None


def _error_for_caller(error: ChivesaddleError, *, started: bool) -> ChivesaddleError:
    if started:
        return StreamInterrupted(
            f"The answer was interrupted and could not be continued: {error.message}",
            remedy="Send the request again",
            retry_after_s=error.retry_after_s or DEFAULT_RETRY_AFTER_S,
        )
    if (
        error.retry_after_s is None
        and isinstance(error, EngineError)
        and error.retry_on_other_server
        and not isinstance(error, EngineNotFound)
    ):
        error.retry_after_s = DEFAULT_RETRY_AFTER_S
    return error


__all__ = [
    "CallerSink",
    "RelayDelegate",
    "RelayRequest",
    "RetryBudget",
    "StreamRelay",
    "Target",
]
