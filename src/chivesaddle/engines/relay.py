"""Relay of an answer from engines to a caller, with resumption and retries."""

import math
from dataclasses import dataclass
from typing import Any, Protocol

from twisted.internet.defer import CancelledError, Deferred

from chivesaddle.core.aio import (
    Clock,
    Task,
    log_failure,
    sleep_until,
    start,
    wait_for_any,
)
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import RequestId
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
    EngineUnreachable,
    StreamInterrupted,
    StreamMismatch,
)
from chivesaddle.engines.server_run import ServerRun, Target
from chivesaddle.engines.stream import TIMER_TOLERANCE_S, EngineStream

MAX_SERVERS_PER_REQUEST = 3
MAX_RESUMES_PER_SERVER = 2
# A continuation has to prefill the prompt and the text generated so far.
CONTINUATION_TIMEOUT_S = 10.0
CANCEL_TIMEOUT_S = 2.0
DEFAULT_RETRY_AFTER_S = 1.0
# Two engines must not work on one answer for 0.4 s; the rest is for the network.
OVERLAP_S = 0.3
PROBE_TIMEOUT_S = 0.5
_TOKEN_LIMIT_FIELDS = ("max_tokens", "max_completion_tokens")
# After these errors the server gets no further requests. The number of retries that it
# causes is limited by its requests in flight, and they must not use up the retry budget
# for the requests of other servers.
_SERVER_UNAVAILABLE_ERRORS = (EngineCrashed, EngineDraining, EngineRefused)
_RESUMABLE_ERRORS = (EngineReset, EngineTimeout, EngineProtocolError, StreamMismatch)
_NO_RESPONSE_ERRORS = (
    EngineCrashed,
    EngineRefused,
    EngineReset,
    EngineTimeout,
    EngineUnreachable,
)
_log = ComponentLogger("engines")


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

    def returned(self, target: Target, after: int) -> None:
        """Handle that the answer stays at a server that was reported as failed.

        No other server took it. What was recorded for another one is void.
        """

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
        relay = _AnswerRelay(
            self._client, self._clock, self._budget, request, target, sink, delegate
        )
        return await relay.run()


class _AnswerRelay:
    """Relays one answer, from one server after another.

    A silent server may go on at any time, and no other one has promised anything before
    it has the request. So the connection to a silent server stays open, and its run is
    not cancelled, until another server has taken the answer.
    """

    def __init__(
        self,
        client: EngineClient,
        clock: Clock,
        budget: RetryBudget,
        request: RelayRequest,
        target: Target,
        sink: CallerSink,
        delegate: RelayDelegate,
    ) -> None:
        self._client = client
        self._clock = clock
        self._budget = budget
        self._request = request
        self._sink = sink
        self._delegate = delegate
        self._answer = RelayedAnswer(
            request.request_id, request.style, tokens=request.tokens
        )
        # The run that the answer is read from, or was read from last.
        self._run = ServerRun(target)
        # The server that the request was sent to last.
        self._last_target = target
        self._servers_tried = 1

    async def run(self) -> RelayedAnswer:
        """Relay the answer; raises the `ChivesaddleError` that the caller gets."""
        try:
            await self._relay_from_servers()
        except CancelledError:
            self._cancel(self._last_target)
            self._delegate.cancelled(self._last_target)
            raise
        except ChivesaddleError as error:
            caller_error = _error_for_caller(error, started=bool(self._answer.events))
            self._sink.fail(caller_error)
            raise caller_error from error
        except Exception:
            self._cancel(self._last_target)
            raise
        finally:
            self._run.close()
        self._delegate.finished(self._run.target, self._answer)
        self._sink.finish()
        return self._answer

    async def _relay_from_servers(self) -> None:
        answer = self._answer
        self._delegate.started(self._run.target)
        self._run.opening = self._start_opening(self._run.target)
        while True:
            try:
                await self._relay_from(self._run)
                return
            except EngineError as error:
                self._keep_pending(self._run, error)
                await self._delegate.failed(self._run.target, error)
                if self._reached_token_limit():
                    self._give_up_failed(self._run, error)
                    self._give_up(self._run)
                    end = length_limit_chunk(answer.events[-1], answer.style)
                    self._sink.write(end + DONE)
                    return
                await self._hand_over(error)

    async def _relay_from(self, run: ServerRun) -> None:
        await run.open()
        resumes = 0
        while True:
            try:
                await self._relay_events(run)
                return
            except _RESUMABLE_ERRORS as error:
                # The run continues at the server, so that resuming its stream causes
                # no additional computation and needs no retry budget.
                if resumes == MAX_RESUMES_PER_SERVER:
                    raise
                resumes += 1
                run.replace_stream(await self._resume_stream(run, error))
                self._delegate.resumed(run.target, self._answer.tokens)

    async def _hand_over(self, error: EngineError) -> None:
        """Let another server go on with the answer, or leave it to a silent one.

        Raises
        ------
        ChivesaddleError
            If neither another server nor the one that failed can go on.
        """
        silent = self._run
        if self._request.body is None and isinstance(error, EngineTimeout):
            self._ask_again(silent)
        self._give_up_failed(silent, error)
        try:
            while True:
                if silent.goes_on:
                    raise _SilentServerGoesOn
                self._check_retry(error)
                if self._request.body is not None:
                    self._answer.prepare_continuation()
                successor = ServerRun(await self._select(silent, error))
                self._last_target = successor.target
                self._servers_tried += 1
                self._delegate.started(successor.target)
                try:
                    successor.stream = await self._open_beside(silent, successor.target)
                    break
                except EngineError as failure:
                    error = failure
                self._keep_pending(successor, error)
                await self._delegate.failed(successor.target, error)
                if successor.is_waiting and not silent.is_waiting:
                    self._give_up(silent)
                    silent = successor
                else:
                    if successor.is_waiting:
                        self._give_up(successor)
                    self._give_up_failed(successor, error)
        except _SilentServerGoesOn:
            self._stay_at(silent, "It goes on")
        except ChivesaddleError as refusal:
            if not self._may_stay_at(silent):
                self._give_up(silent)
                if self._has_stayed_at(silent):
                    # The caller learns how the server failed that had the answer last.
                    raise error from refusal
                raise
            self._stay_at(silent, refusal.message)
        except BaseException:
            silent.close()
            if silent.target is not self._last_target:
                self._give_up(silent)
            raise
        else:
            self._give_up(silent)
            self._switch_to(successor)

    async def _select(self, silent: ServerRun, error: EngineError) -> Target:
        """Return the next server, unless the silent one goes on while this waits."""
        selecting = Task(self._delegate.next_target(error))
        try:
            if silent.is_waiting:
                await wait_for_any(
                    self._clock, math.inf, selecting.ended(), silent.when_ready()
                )
                if silent.goes_on:
                    raise _SilentServerGoesOn
        except BaseException:
            selecting.cancel()
            raise
        return await selecting.outcome()

    async def _open_beside(self, silent: ServerRun, target: Target) -> EngineStream:
        """Return the stream of another server; give the silent one up if it works.

        The other server has taken the answer once it responds, or if it had the request
        for `OVERLAP_S` without refusing it and answers other requests.
        """
        opening = self._start_opening(target)
        life = Task(self._await_life(target, silent))
        overlap_until = self._clock.seconds() + OVERLAP_S
        try:
            while silent.is_waiting and not opening.is_done:
                overlaps = self._clock.seconds() < overlap_until - TIMER_TOLERANCE_S
                if life.is_done and not overlaps:
                    life.result()
                    self._give_up(silent)
                    break
                ready = [opening.ended(), silent.when_ready()]
                if overlaps:
                    await wait_for_any(self._clock, overlap_until, *ready)
                else:
                    await wait_for_any(self._clock, math.inf, *ready, life.ended())
                if silent.goes_on and not opening.is_done:
                    self._cancel(target)
                    raise _SilentServerGoesOn
        except BaseException:
            opening.cancel()
            raise
        finally:
            life.cancel()
        return await opening.outcome()

    def _start_opening(self, target: Target) -> Task[EngineStream]:
        return Task(self._open_stream(target), EngineStream.close)

    async def _await_life(self, target: Target, silent: ServerRun) -> None:
        """Return once a server has answered another request than this one."""
        if self._request.body is None or not silent.is_waiting:
            # No run is created at a server that is only asked for a stream, so that the
            # silent one need not be given up before the answer.
            await Deferred()
        while True:
            now = self._clock.seconds()
            try:
                await self._client.load(target.url, now + PROBE_TIMEOUT_S)
                return
            except _NO_RESPONSE_ERRORS as error:
                _log.debug("no sign of life of %s: %s", target.server_id, error)
            except EngineError:
                return
            await sleep_until(self._clock, now + PROBE_TIMEOUT_S)

    async def _open_stream(self, target: Target) -> EngineStream:
        answer, request = self._answer, self._request
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

    async def _resume_stream(self, run: ServerRun, error: EngineError) -> EngineStream:
        try:
            return await self._client.resume(
                run.target.url,
                self._request.request_id,
                self._answer.resume_position(),
                self._request.cache_salt,
                self._clock.seconds() + MAX_TOKEN_GAP_S,
            )
        except EngineRefused:
            if isinstance(error, EngineReset):
                raise EngineCrashed(
                    f"Backend server {run.target.server_id} dropped the connection and "
                    "refused a new one"
                ) from error
            raise
        except EngineCrashed:
            raise
        except EngineNotFound:
            # The engine works and has no such run, so that nothing more can arrive.
            run.close()
            raise error from None
        except EngineError:
            raise error from None

    async def _relay_events(self, run: ServerRun) -> None:
        answer, stream = self._answer, run.stream
        assert stream is not None
        first_token_seen = answer.tokens > 0
        is_silent = False
        try:
            while True:
                events = await stream.next_events()
                ended = not events or events[-1] == DONE
                relayed, error = _accept_batch(answer, events)
                if relayed:
                    if not first_token_seen and answer.tokens:
                        first_token_seen = True
                        self._delegate.first_token(run.target)
                    self._sink.write(relayed)
                if error is not None:
                    raise error
                if ended:
                    break
                if self._sink.paused:
                    await self._sink.resumed()
        except EngineError as error:
            is_silent = isinstance(error, EngineTimeout)
            if not answer.complete:
                raise
        finally:
            if answer.complete:
                run.stream = None
                stream.release()
            elif not is_silent:
                stream.close()
        if not answer.complete:
            raise EngineReset("Engine stream ended before its last chunk")
        self._sink.write(DONE)

    def _reached_token_limit(self) -> bool:
        return (
            self._request.max_tokens is not None
            and bool(self._answer.events)
            and self._answer.tokens >= self._request.max_tokens
        )

    def _check_retry(self, error: EngineError) -> None:
        if (
            not error.retry_on_other_server
            or self._servers_tried >= MAX_SERVERS_PER_REQUEST
        ):
            raise error
        if self._answer.tokens > 0 or isinstance(error, _SERVER_UNAVAILABLE_ERRORS):
            return
        if not self._budget.try_spend(self._clock.seconds()):
            raise error

    def _keep_pending(self, run: ServerRun, error: EngineError) -> None:
        """Keep what may arrive from a server one of whose connections failed."""
        pending, error.pending = error.pending, None
        if pending is not None:
            run.opening = pending
        if isinstance(error, EngineCrashed):
            run.close()

    def _ask_again(self, silent: ServerRun) -> None:
        """Ask a silent server for its stream once more, which no other one may have."""
        if silent.is_waiting or self._has_stayed_at(silent):
            return
        silent.opening = Task(
            self._client.resume(
                silent.target.url,
                self._request.request_id,
                self._answer.resume_position(),
                self._request.cache_salt,
                self._clock.seconds() + CONTINUATION_TIMEOUT_S,
            ),
            EngineStream.close,
        )

    def _patience_ends_at(self) -> float:
        """Return until when the answer may stay at a silent server.

        The caller would wait as long for another server to continue it.
        """
        if not self._answer.tokens:
            return self._request.deadline
        return max(
            self._request.deadline, self._clock.seconds() + CONTINUATION_TIMEOUT_S
        )

    def _has_stayed_at(self, run: ServerRun) -> bool:
        """Return whether the answer stayed at a server that sent no token since."""
        return run.tokens_at_return == self._answer.tokens

    def _may_stay_at(self, run: ServerRun) -> bool:
        return (
            run.is_waiting
            and not self._has_stayed_at(run)
            and self._clock.seconds() < self._patience_ends_at()
        )

    def _stay_at(self, run: ServerRun, cause: str) -> None:
        """Leave the answer to a server that is silent or goes on again."""
        _log.info(
            "request %s stays at %s, which was silent: %s",
            self._request.request_id,
            run.target.server_id,
            cause,
        )
        run.tokens_at_return = self._answer.tokens
        if run.stream is not None:
            run.stream.wait_until(self._patience_ends_at())
        self._last_target = run.target
        self._switch_to(run)
        self._delegate.returned(run.target, self._answer.tokens)

    def _switch_to(self, run: ServerRun) -> None:
        """Read the answer from a server."""
        if run is not self._run and self._request.body is not None:
            self._answer.switch_server()
        self._run = run

    def _give_up_failed(self, run: ServerRun, error: EngineError) -> None:
        """Give up a run after an error, unless its server is silent and may go on."""
        if run.is_waiting:
            return
        # Only the server that has a run can go on with it if there is no body. It keeps
        # the run if it is silent, for callers that ask for the stream later.
        is_kept = self._request.body is None and isinstance(error, EngineTimeout)
        if isinstance(error, _RESUMABLE_ERRORS) and not is_kept:
            self._cancel(run.target)
        run.is_given_up = True

    def _give_up(self, run: ServerRun) -> None:
        """Close the connection to a server, and end its run there."""
        run.close()
        if not run.is_given_up and self._request.body is not None:
            self._cancel(run.target)
        run.is_given_up = True

    def _cancel(self, target: Target) -> None:
        deadline = self._clock.seconds() + CANCEL_TIMEOUT_S
        request = self._request
        start(
            self._client.cancel(
                target.url, request.request_id, request.cache_salt, deadline
            )
        ).addErrback(
            log_failure(_log, f"failed to cancel {request.request_id} at the engine")
        )


class _SilentServerGoesOn(Exception):
    """The silent server sent something before another one took the answer."""


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
