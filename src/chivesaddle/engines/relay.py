"""Relay of one answer from engines to a caller, complete or with a typed error."""

from dataclasses import dataclass
from typing import Any, Protocol

from twisted.internet.defer import CancelledError

from chivesaddle.core.aio import Clock, log_failure, start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import BackendServerId, RequestId
from chivesaddle.core.logs import PartLogger
from chivesaddle.engines.answer import RelayedAnswer
from chivesaddle.engines.chunks import DONE, ApiStyle, length_chunk
from chivesaddle.engines.client import TOKEN_GAP_S, EngineClient
from chivesaddle.engines.errors import (
    EngineCrashed,
    EngineDraining,
    EngineError,
    EngineNotFound,
    EngineProtocolError,
    EngineRefused,
    EngineReset,
    EngineSilent,
    StreamInterrupted,
    StreamMismatch,
)
from chivesaddle.engines.stream import EngineStream

MAX_SERVERS = 3
MAX_RESUMES_PER_SERVER = 2
# A continuation has to prefill prompt and text again.
CONTINUE_DEADLINE_S = 10.0
CANCEL_DEADLINE_S = 2.0
RETRY_AFTER_S = 1.0
_LIMITS = ("max_tokens", "max_completion_tokens")
# These servers get no further request, so the retries that they cause are bounded by
# what was in flight on them and must not use up the budget of others.
_GONE = (EngineCrashed, EngineDraining, EngineRefused)
_RESUMABLE = (EngineReset, EngineSilent, EngineProtocolError, StreamMismatch)
_log = PartLogger("engines")


@dataclass(frozen=True)
class Target:
    """A backend server and its base URL."""

    server_id: BackendServerId
    url: str


@dataclass(frozen=True)
class RelayRequest:
    """One request as sent to engines.

    ``deadline`` is when the first token is due, in seconds on the relay's clock.
    ``body`` is None when only a running stream may be resumed, after ``tokens`` tokens.
    ``max_tokens`` is None if the caller set no limit.
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
    """Bounds retries to a share of the requests."""

    def try_spend(self, now: float) -> bool:
        """Take one retry if the budget allows it."""


class CallerSink(Protocol):
    """Where an answer goes; bounded by pausing."""

    @property
    def paused(self) -> bool:
        """Whether the caller is behind and nothing should be written now."""

    async def resumed(self) -> None:
        """Wait until the caller has caught up."""

    def write(self, events: bytes) -> None:
        """Take whole events."""

    def finish(self) -> None:
        """End the complete answer."""

    def fail(self, error: ChivesaddleError) -> None:
        """End an incomplete answer with a typed error."""


class RelayGuide(Protocol):
    """Learns what happens to a request and names servers for retries."""

    def started(self, target: Target) -> None:
        """Note that the request is sent to a server."""

    def first_token(self, target: Target) -> None:
        """Note the first token of the answer."""

    def resumed(self, target: Target, after: int) -> None:
        """Note that the stream was resumed at the same server."""

    def finished(self, target: Target, answer: RelayedAnswer) -> None:
        """Note a complete answer."""

    def cancelled(self, target: Target) -> None:
        """Note that the caller went away."""

    async def failed(self, target: Target, error: EngineError) -> None:
        """Note a failure; a crash is announced before this returns."""

    async def next_target(self, error: EngineError) -> Target:
        """Return another server, or raise a `ChivesaddleError`."""


class StreamRelay:
    """Relays answers; a caller gets all of its own answer or a typed error.

    Parameters
    ----------
    client : EngineClient
        Access to the engines.
    clock : Clock
        Clock of all deadlines, in seconds.
    budget : RetryBudget
        Asked before an answer that has not begun is retried on another server, unless
        the first server is gone. A begun answer is always continued, within
        ``MAX_SERVERS``: the caller could not repeat it without its whole prompt being
        computed again.
    """

    def __init__(self, client: EngineClient, clock: Clock, budget: RetryBudget) -> None:
        self._client = client
        self._clock = clock
        self._budget = budget

    async def run(
        self, request: RelayRequest, target: Target, sink: CallerSink, guide: RelayGuide
    ) -> RelayedAnswer:
        """Relay the answer of ``request``, starting at ``target``.

        Cancelling the Deferred of this coroutine cancels the run at the engine.

        Raises
        ------
        ChivesaddleError
            The failure that ``sink.fail`` was told.
        """
        answer = RelayedAnswer(request.request_id, request.style, tokens=request.tokens)
        servers = 1
        try:
            while True:
                try:
                    guide.started(target)
                    await self._serve(answer, request, target, sink, guide)
                    break
                except EngineError as error:
                    self._abandon(request, target, error)
                    await guide.failed(target, error)
                    if self._ends_at_limit(answer, request):
                        sink.write(length_chunk(answer.events[-1], answer.style) + DONE)
                        break
                    self._check_retry(error, servers, started=answer.tokens > 0)
                    if request.body is not None:
                        answer.continue_elsewhere()
                    target = await guide.next_target(error)
                    servers += 1
        except CancelledError:
            self._cancel(request, target)
            guide.cancelled(target)
            raise
        except ChivesaddleError as error:
            final = _final_error(error, started=bool(answer.events))
            sink.fail(final)
            raise final from error
        except Exception:
            self._cancel(request, target)
            raise
        guide.finished(target, answer)
        sink.finish()
        return answer

    async def _serve(
        self,
        answer: RelayedAnswer,
        request: RelayRequest,
        target: Target,
        sink: CallerSink,
        guide: RelayGuide,
    ) -> None:
        stream = await self._open(answer, request, target)
        resumes = 0
        while True:
            try:
                await self._pump(answer, stream, target, sink, guide)
                return
            except _RESUMABLE as error:
                # Reading on from a run that goes on there adds no work to the server.
                if resumes == MAX_RESUMES_PER_SERVER:
                    raise
                resumes += 1
                stream = await self._resume(answer, request, target, error)
                guide.resumed(target, answer.tokens)

    async def _open(
        self, answer: RelayedAnswer, request: RelayRequest, target: Target
    ) -> EngineStream:
        if request.body is None:
            return await self._client.resume(
                target.url,
                request.request_id,
                answer.tokens,
                request.cache_salt,
                self._clock.seconds() + TOKEN_GAP_S,
            )
        body, deadline = request.body, request.deadline
        if answer.tokens:
            body = {**body, "resume_text": answer.resume_text}
            if request.max_tokens is not None:
                left = request.max_tokens - answer.tokens
                body |= {name: left for name in _LIMITS if name in body}
            deadline = self._clock.seconds() + CONTINUE_DEADLINE_S
        return await self._client.open_stream(target.url, request.path, body, deadline)

    async def _resume(
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
                self._clock.seconds() + TOKEN_GAP_S,
            )
        except EngineRefused:
            if isinstance(error, EngineReset):
                raise EngineCrashed(
                    f"Backend server {target.server_id} broke the connection and "
                    "refused a new one"
                ) from error
            raise
        except EngineCrashed:
            raise
        except EngineError:
            raise error from None

    async def _pump(
        self,
        answer: RelayedAnswer,
        stream: EngineStream,
        target: Target,
        sink: CallerSink,
        guide: RelayGuide,
    ) -> None:
        had_tokens = answer.tokens > 0
        try:
            while True:
                events = await stream.next_events()
                ended = not events or events[-1] == DONE
                relayed, error = _accept_all(answer, events)
                if relayed:
                    if not had_tokens and answer.tokens:
                        had_tokens = True
                        guide.first_token(target)
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
            raise EngineReset("The engine's answer ended before its last chunk")
        sink.write(DONE)

    def _ends_at_limit(self, answer: RelayedAnswer, request: RelayRequest) -> bool:
        return (
            request.max_tokens is not None
            and bool(answer.events)
            and answer.tokens >= request.max_tokens
        )

    def _check_retry(self, error: EngineError, servers: int, *, started: bool) -> None:
        if not error.elsewhere or servers >= MAX_SERVERS:
            raise error
        if started or isinstance(error, _GONE):
            return
        if not self._budget.try_spend(self._clock.seconds()):
            raise error

    def _abandon(
        self, request: RelayRequest, target: Target, error: EngineError
    ) -> None:
        if isinstance(error, _RESUMABLE):
            self._cancel(request, target)

    def _cancel(self, request: RelayRequest, target: Target) -> None:
        deadline = self._clock.seconds() + CANCEL_DEADLINE_S
        start(
            self._client.cancel(
                target.url, request.request_id, request.cache_salt, deadline
            )
        ).addErrback(log_failure(_log, f"cancelling {request.request_id} failed"))


def _accept_all(
    answer: RelayedAnswer, events: list[bytes]
) -> tuple[bytes, EngineError | None]:
    """Return what to relay of a batch and the failure that ended it, if any."""
    relayed: list[bytes] = []
    for event in events:
        if event == DONE:
            break
        try:
            kept = answer.accept(event)
        except EngineError as error:
            return b"".join(relayed), error
        if kept is not None:
            relayed.append(kept)
    return b"".join(relayed), None


def _final_error(error: ChivesaddleError, *, started: bool) -> ChivesaddleError:
    if started:
        return StreamInterrupted(
            f"The answer broke off and could not be continued: {error.message}",
            remedy="Send the request again",
            retry_after_s=error.retry_after_s or RETRY_AFTER_S,
        )
    if (
        error.retry_after_s is None
        and isinstance(error, EngineError)
        and error.elsewhere
        and not isinstance(error, EngineNotFound)
    ):
        error.retry_after_s = RETRY_AFTER_S
    return error


__all__ = [
    "CallerSink",
    "RelayGuide",
    "RelayRequest",
    "RetryBudget",
    "StreamRelay",
    "Target",
]
