"""Passes a request on to a daemon that reaches servers which this one does not.

The other daemon handles the request as one of its own callers' and never passes it on
again, so that a request takes one more hop at most. It authenticates the caller again
and applies all limits and budgets.
"""

from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import DaemonId, ServiceId
from chivesaddle.forwarding.attempts import Attempts
from chivesaddle.forwarding.budget import RetryBudget
from chivesaddle.forwarding.errors import NotRun
from chivesaddle.forwarding.exchange import NoUsableResponse, ServerDidNotRun
from chivesaddle.forwarding.messages import (
    CallerRequest,
    PassOptions,
    ServerResponse,
)
from chivesaddle.forwarding.peer_attempt import (
    NotPassedOn,
    PeerAccess,
    PeerAttempt,
    PeerDaemon,
)
from chivesaddle.forwarding.relay import Relay
from chivesaddle.forwarding.request_context import RequestContext
from chivesaddle.http1 import ConnectionPool, HeaderList, ResponseHead

# Daemons to which one request is passed on.
MAX_PEERS = 3


class PeerPaths(Protocol):
    """Knows which daemons reach the servers."""

    def reaching(self, service: ServiceId) -> Sequence[PeerDaemon]:
        """Return the daemons to pass on requests for a service to, best first.

        Empty if this daemon reaches a server of the service itself.
        """

    def last_beacon_at(self, daemon: DaemonId) -> float:
        """Return when a daemon's last beacon arrived, in seconds on the clock.

        Minus infinity without any.
        """

    def is_member(self, host: str) -> bool:
        """Return whether an IP address is that of a daemon of the fleet."""


class NoPath(ChivesaddleError):
    """Only other daemons reach servers of the service."""

    code = "no_path"
    status = 503


class RequestPasser:
    """Sends requests to other daemons and forwards their responses.

    Parameters
    ----------
    clock : Clock
        Clock of all deadlines.
    pool : ConnectionPool
        Connections to other daemons.
    encode_headers : callable
        Encodes the headers of a request that is passed on.
    decode_response : callable
        Decodes the head of a response.
    paths : PeerPaths
        Which other daemons reach servers.
    attempts : Attempts
        Rules for further attempts.
    budget : RetryBudget
        Limits retries.
    check_may_send : callable
        Raises the error of a request that must not be sent any more.
    run : callable
        Runs an attempt, and its successors if it is silent. Raises the error of the
        last one that had the request.
    """

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        encode_headers: Callable[[CallerRequest, PassOptions], HeaderList],
        decode_response: Callable[[ResponseHead], ServerResponse],
        paths: PeerPaths,
        attempts: Attempts,
        budget: RetryBudget,
        check_may_send: Callable[[RequestContext], None],
        run: Callable[[RequestContext, Relay, PeerAttempt], Awaitable[None]],
    ) -> None:
        self._access = PeerAccess(
            clock,
            pool,
            encode_headers,
            decode_response,
            paths.last_beacon_at,
            attempts,
        )
        self._paths = paths
        self._attempts = attempts
        self._budget = budget
        self._check_may_send = check_may_send
        self._run = run

    def peers(self, context: RequestContext) -> Sequence[PeerDaemon]:
        """Return the daemons to pass the request on to; none if servers are reached."""
        if context.request.earlier_runs is not None:
            return ()
        return self._paths.reaching(context.service)

    async def pass_on(
        self, context: RequestContext, relay: Relay, peers: Sequence[PeerDaemon]
    ) -> None:
        """Pass the request on to the first daemon that handles it.

        Raises the error of a failed request.
        """
        error: ChivesaddleError = NotPassedOn("No daemon reaches a server")
        while (peer := self._next_peer(context, peers)) is not None:
            self._check_may_send(context)
            if self._attempts.has_timed_out(context):
                break
            # The other daemon counts the first attempt as one of its own requests.
            is_repeat = bool(context.runs) or isinstance(error, NotRun)
            if is_repeat and not self._budget.try_acquire(context.service):
                break
            try:
                await self._run(context, relay, self._open(context, relay, peer))
                return
            except (NotPassedOn, NotRun, ServerDidNotRun, NoUsableResponse) as failure:
                error = failure
            if not relay.can_go_on:
                break
            if context.runs and not self._attempts.may_retry(context):
                break
        if isinstance(error, NotRun) and not context.runs and not relay.has_started:
            raise error
        raise self._attempts.final_error(context, relay, error.message) from error

    def open_successor(self, context: RequestContext, relay: Relay) -> PeerAttempt:
        """Return the attempt that may go on with a request that another one has.

        Raises
        ------
        ChivesaddleError
            If no other daemon can get the request now.
        """
        peer = self._next_peer(context, self.peers(context))
        if peer is None:
            raise NotPassedOn("No other daemon reaches a server")
        self._check_may_send(context)
        if not self._budget.try_acquire(context.service):
            raise NotPassedOn("The retry budget is used up")
        return self._open(context, relay, peer)

    def _next_peer(
        self, context: RequestContext, peers: Sequence[PeerDaemon]
    ) -> PeerDaemon | None:
        """Return the best daemon that has not had the request, if one may get it."""
        if len(context.passed_to) >= MAX_PEERS:
            return None
        return next((peer for peer in peers if peer.id not in context.passed_to), None)

    def _open(
        self, context: RequestContext, relay: Relay, peer: PeerDaemon
    ) -> PeerAttempt:
        context.passed_to.append(peer.id)
        return PeerAttempt(self._access, context, relay, peer)


__all__ = [
    "NoPath",
    "NotPassedOn",
    "PeerAttempt",
    "PeerDaemon",
    "PeerPaths",
    "RequestPasser",
]
