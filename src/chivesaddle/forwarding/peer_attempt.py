"""One send of a request to one other daemon."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import DaemonId
from chivesaddle.forwarding.attempts import Attempts
from chivesaddle.forwarding.errors import CallerLeft, NotRun
from chivesaddle.forwarding.exchange import NoUsableResponse
from chivesaddle.forwarding.handover import Turn
from chivesaddle.forwarding.messages import (
    CallerRequest,
    PassOptions,
    RetryAfter,
    ServerResponse,
)
from chivesaddle.forwarding.preview import read_ahead
from chivesaddle.forwarding.relay import ReadChunk, Relay
from chivesaddle.forwarding.request_context import RequestContext
from chivesaddle.forwarding.response_progress import ResponseProgress
from chivesaddle.forwarding.results import ResultReporter
from chivesaddle.http1 import (
    ConnectionPool,
    HeaderList,
    NotSent,
    ResponseBroken,
    ResponseHead,
    ServerConnection,
)

# Daemons are on the same network and accept connections within milliseconds.
CONNECT_TIMEOUT_S = 0.35
# A daemon closes idle connections of callers, and itself when it restarts.
MAX_IDLE_S = 0.25
# Statuses by which a daemon states that no server has run the request.
NOT_RUN_STATUSES = frozenset({400, 401, 403, 404, 408, 413, 421, 429, 431, 503})


@dataclass(frozen=True, slots=True)
class PeerDaemon:
    """A daemon to which requests can be passed on.

    Attributes
    ----------
    address : str
        Where it accepts callers, ``ip:port``.
    """

    id: DaemonId
    address: str


class NotPassedOn(ChivesaddleError):
    """The other daemon did not get the request."""

    code = "not_passed_on"
    status = 503


@dataclass(slots=True)
class PeerActivity:
    """The requests that one daemon has from this one.

    Attributes
    ----------
    last_byte_at : float
        When it last sent a part of a response, in seconds on the daemon's clock.
    """

    in_flight: int = 0
    last_byte_at: float = -math.inf


@dataclass(frozen=True, slots=True)
class PeerAccess:
    """What all attempts of a daemon at other daemons use.

    Attributes
    ----------
    pool : ConnectionPool
        Connections to other daemons.
    encode_headers : callable
        Encodes the headers of a request that is passed on.
    last_beacon_at : callable
        Returns when a daemon's last beacon arrived, in seconds on the clock.
    activity_by_peer : dict
        Only of the daemons that have a request.
    """

    clock: Clock
    pool: ConnectionPool
    encode_headers: Callable[[CallerRequest, PassOptions], HeaderList]
    decode_response: Callable[[ResponseHead], ServerResponse]
    last_beacon_at: Callable[[DaemonId], float]
    attempts: Attempts
    activity_by_peer: dict[DaemonId, PeerActivity] = field(default_factory=dict)


class PeerAttempt:
    """Passes a request on to one daemon and forwards its response.

    Parameters
    ----------
    access : PeerAccess
        What it uses.
    context : RequestContext
        The request.
    relay : Relay
        The caller's side.
    peer : PeerDaemon
        The daemon.

    Attributes
    ----------
    was_given_up : bool
        Whether another attempt has the request.
    """

    def __init__(
        self,
        access: PeerAccess,
        context: RequestContext,
        relay: Relay,
        peer: PeerDaemon,
    ) -> None:
        self._access = access
        self._clock = access.clock
        self._context = context
        self._relay = relay
        self.peer = peer
        self.was_given_up = False
        self._sent_at = math.inf
        self._has_head = False
        self._first_deadline = access.attempts.response_deadline(context)
        self._activity = PeerActivity()
        self._progress = ResponseProgress()

    def record_taken(self) -> None:
        """Record that the request is the attempt's."""
        self._context.response = self._progress

    def silent_at(self) -> float:
        """Return when the daemon is silent for too long, infinite if never.

        Once the response has begun, the other daemon watches its server itself.
        """
        if (
            self._has_head
            or self._sent_at == math.inf
            or not self._access.attempts.may_retry(self._context)
        ):
            return math.inf
        return self._first_deadline

    def shows_life(self) -> bool:
        """Return whether the daemon has sent anything since it got the request.

        Its beacons count, as its servers may read long prompts of all its requests. In
        large fleets they are rare, so one that has only this request counts as well.
        """
        return (
            self._activity.last_byte_at >= self._sent_at
            or self._access.last_beacon_at(self.peer.id) >= self._sent_at
            or self._activity.in_flight <= 1
        )

    def record_failure(self, reporter: ResultReporter, error: ChivesaddleError) -> None:
        """Log that the daemon failed or was given up."""
        if isinstance(error, NotPassedOn | NotRun | NoUsableResponse):
            reporter.log_not_passed_on(self._context, self.peer.id, error)

    async def run(self, turn: Turn) -> None:
        """Send, take the turn once the response can be passed on, and pass it on.

        Raises
        ------
        NotPassedOn
            If the daemon did not get the request.
        NotRun
            If the daemon states that no server has run or will run the request.
        NoUsableResponse
            If the response is missing, incomplete or not to be passed on, so that the
            request may have run.
        """
        context, peer, pool = self._context, self.peer, self._access.pool
        connection = await self._send()
        self._record_sent(turn)
        is_complete = False
        try:
            response = self._access.decode_response(await connection.read_head())
            await self._forward(turn, connection, response)
            context.first_event_at = self._relay.started_at
            is_complete = True
        except ResponseBroken as error:
            raise NoUsableResponse(f"Daemon {peer.id}: {error.message}") from error
        finally:
            if turn.is_taken:
                self._progress.unfinished_bytes = self._relay.unfinished_bytes
            if is_complete:
                pool.release(peer.address, connection, response.keep_alive_s)
            else:
                connection.abort()
            self._record_end()

    async def _send(self) -> ServerConnection:
        """Write the request on a connection; raises `NotPassedOn`, `CallerLeft`."""
        context, request = self._context, self._context.request
        headers = self._access.encode_headers(request, self._options())
        now = self._clock.seconds()
        try:
            connection = await self._access.pool.acquire(
                self.peer.address,
                min(self._first_deadline, now + CONNECT_TIMEOUT_S),
                max_idle_s=MAX_IDLE_S,
            )
            try:
                context.check_caller_waits()
            except CallerLeft:
                connection.abort()
                raise
            connection.send(request.method, request.target, headers, request.body)
        except NotSent as error:
            raise NotPassedOn(f"Daemon {self.peer.id}: {error.message}") from error
        return connection

    def _options(self) -> PassOptions:
        context = self._context
        time_left_s = context.deadline - self._clock.seconds()
        last_event_id = self._relay.last_event_id
        if last_event_id is None:
            return PassOptions(time_left_s, context.runs)
        return PassOptions(time_left_s, context.runs, last_event_id, context.began_as)

    def _record_sent(self, turn: Turn) -> None:
        self._activity = self._access.activity_by_peer.setdefault(
            self.peer.id, self._activity
        )
        self._activity.in_flight += 1
        self._sent_at = self._clock.seconds()
        self._context.runs += 1
        turn.record_sent()

    def _record_end(self) -> None:
        self._activity.in_flight -= 1
        if not self._activity.in_flight:
            del self._access.activity_by_peer[self.peer.id]

    async def _forward(
        self, turn: Turn, connection: ServerConnection, response: ServerResponse
    ) -> None:
        """Take the turn as soon as the response may replace the one so far."""
        relay = self._relay
        self._record_bytes()
        self._progress.framing = response.framing
        self._check(response)
        self._has_head = True

        async def read_from_peer() -> bytes | None:
            chunk = await connection.read_chunk()
            self._record_bytes()
            return chunk

        read_chunk: ReadChunk = read_from_peer
        if not turn.is_taken:
            read_chunk = await read_ahead(relay, response, read_from_peer, _is_alive)
            turn.take()
        # Servers of other daemons are not observed here.
        await relay.forward(
            response, read_chunk, _is_alive, self._progress, turn.record_progress
        )

    def _record_bytes(self) -> None:
        self._activity.last_byte_at = self._clock.seconds()

    def _check(self, response: ServerResponse) -> None:
        """Raise the error of a response that is not a server's."""
        context, peer = self._context, self.peer
        is_success = 200 <= response.status < 300
        is_servers = response.request_id == context.request.id
        if is_servers and (response.is_signed or not is_success):
            return
        # A daemon's own responses have no request id.
        if response.request_id is None and response.status in NOT_RUN_STATUSES:
            context.runs -= 1
            match response.retry_after:
                case RetryAfter(seconds):
                    retry_after_s: float | None = seconds
                case _:
                    retry_after_s = None
            raise NotRun(
                f"Daemon {peer.id} answered {response.status}",
                retry_after_s=retry_after_s,
            )
        raise NoUsableResponse(f"Daemon {peer.id} answered {response.status}")


async def _is_alive() -> bool:
    """Return False: a daemon frames its responses, so one without is not whole."""
    return False


__all__ = ["NotPassedOn", "PeerAccess", "PeerAttempt", "PeerDaemon"]
