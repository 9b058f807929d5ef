"""One request to a backend server, and whether the server may have run it."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

from chivesaddle.core.aio import Clock, start, with_deadline
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded
from chivesaddle.core.ids import BackendServerId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.serving_model import ServerEntry, ServerState
from chivesaddle.forwarding.messages import (
    CallerRequest,
    ColdTime,
    InvalidValue,
    RequestLimit,
    RetryAfter,
    ServerResponse,
)
from chivesaddle.forwarding.response_end import has_body
from chivesaddle.forwarding.server_liveness import SEEN_OPEN_MARGIN_S, ServerLiveness
from chivesaddle.http1 import (
    ConnectionPool,
    Framing,
    HeaderList,
    NotSent,
    ResponseBroken,
    ResponseHead,
    ServerConnection,
    has_queued_bytes,
)
from chivesaddle.placement import ExchangeOutcome, RateLimits, ServerTable

# Reads when the process at a server's address was started, by a deadline in seconds; in
# Unix milliseconds, None if that is not known.
ReadStart = Callable[[ServerEntry, float], Awaitable[int | None]]

# A server on the same network accepts connections within milliseconds. One that takes
# longer than this has a full accept queue or is down.
CONNECT_TIMEOUT_S = 0.35
# A request that must not be retried fails if the server has closed the pooled
# connection, so it uses only a connection with a short idle time.
MAX_IDLE_NON_REPEATABLE_S = 0.25
MAX_IDLE_REPEATABLE_S = 3.0
# A server on the same network reports its start within milliseconds.
REPORT_TIMEOUT_S = 0.25
# Maximum number of responses to earlier requests that are skipped while waiting for the
# expected one.
MAX_STALE_RESPONSES = 2
# The response behind one without an id is awaited for this long.
EXTRA_RESPONSE_WAIT_S = 0.5

log = ComponentLogger("forward")


class ServerDidNotRun(ChivesaddleError):
    """The server has not run the request and will not run it."""

    code = "server_did_not_run"

    def __init__(
        self,
        message: str,
        outcome: ExchangeOutcome,
        status: int | None = None,
        responding_server: BackendServerId | None = None,
    ) -> None:
        super().__init__(message)
        self.outcome = outcome
        self.response_status = status
        self.responding_server = responding_server


class NoUsableResponse(ChivesaddleError):
    """The request was sent without a usable response and may have run.

    Attributes
    ----------
    may_be_crash : bool
        Whether the server may have crashed.
    was_given_up : bool
        Whether the server was still connected and could have gone on.
    outcome : ExchangeOutcome
        What the failure says about the server.
    """

    code = "server_broke"

    def __init__(
        self,
        message: str,
        *,
        may_be_crash: bool = False,
        was_given_up: bool = False,
        outcome: ExchangeOutcome = ExchangeOutcome.BROKEN,
    ) -> None:
        super().__init__(message)
        self.outcome = outcome
        self.may_be_crash = may_be_crash
        self.was_given_up = was_given_up


class ServerExchange:
    """Sends a request to one server and reads the response.

    Parameters
    ----------
    clock : Clock
        Clock of all deadlines.
    servers : ServerTable
        Records responses and load reports of the server.
    limits : RateLimits
        Records the limits that responses name.
    pool : ConnectionPool
        Connections to servers.
    server : ServerEntry
        The server.
    decode_response : callable
        Decodes the head of a response.
    liveness : ServerLiveness
        Other connections to the server.
    read_start : callable or None
        Reads when the process at the server's address was started; None if the server
        does not report it.

    Attributes
    ----------
    on_bytes : callable
        Called after body bytes, or the end of the body, with the times at which the
        connection was opened and at which they arrived.
    """

    def __init__(
        self,
        clock: Clock,
        servers: ServerTable,
        limits: RateLimits,
        pool: ConnectionPool,
        server: ServerEntry,
        decode_response: Callable[[ResponseHead], ServerResponse],
        liveness: ServerLiveness,
        read_start: ReadStart | None = None,
    ) -> None:
        self._clock = clock
        self._servers = servers
        self._limits = limits
        self._pool = pool
        self._server = server
        self._decode = decode_response
        self._liveness = liveness
        self._read_start = read_start
        self._is_unframed = False
        # When the process that runs the request was certainly alive and listening.
        self._alive_at = 0.0
        self._connection: ServerConnection | None = None
        self._serial = 0
        self._is_first_response = False
        self.was_sent = False
        self.on_bytes: Callable[[float, float], None] = lambda connected_at, now: None

    async def send(
        self,
        request: CallerRequest,
        headers: HeaderList,
        serial: int,
        *,
        is_repeatable: bool,
        response_deadline: float,
        check_may_send: Callable[[], None],
        on_sent: Callable[[], None],
    ) -> ServerResponse:
        """Send the request and return the head of the response to it.

        ``check_may_send`` is called after a connection has been opened and raises the
        error of a request that must not be sent any more.

        Raises
        ------
        ServerDidNotRun
            If the server was not reached or states that it did not run the request.
        NoUsableResponse
            If the response is missing, malformed or not verifiably the server's own.
        """
        self._serial = serial
        now = self._clock.seconds()
        max_idle_s = (
            MAX_IDLE_REPEATABLE_S if is_repeatable else MAX_IDLE_NON_REPEATABLE_S
        )
        connect_deadline = min(response_deadline, now + CONNECT_TIMEOUT_S)
        try:
            self._connection = await self._acquire(connect_deadline, max_idle_s)
            if self._connection.requests_sent == 0:
                check_may_send()
            self._alive_at = self._clock.seconds()
            self._connection.send(request.method, request.target, headers, request.body)
        except NotSent as error:
            # Running out of the request's time says nothing about the server.
            was_cut_short = self._clock.seconds() >= response_deadline
            if not was_cut_short:
                self._servers.record_connection_failure(self._server.id, error.message)
            raise ServerDidNotRun(error.message, ExchangeOutcome.UNREACHABLE) from error
        if self._connection.requests_sent == 1:
            self._servers.record_connected(self._server.id)
        self.was_sent = True
        on_sent()
        try:
            response = await with_deadline(
                self._clock,
                response_deadline,
                start(self._read_own_response(request, is_repeatable)),
                "response",
            )
        except ResponseBroken as error:
            raise NoUsableResponse(error.message, may_be_crash=True) from error
        except DeadlineExceeded as error:
            raise NoUsableResponse(
                "Server did not respond in time", was_given_up=True
            ) from error
        self._servers.record_response_bytes(
            self._server.id, serial, self._connection.connected_at
        )
        if response.load is not None:
            self._servers.record_load(
                self._server.id,
                response.load.running,
                response.load.waiting,
                work_time_percent=response.load.work_time_percent,
            )
        self._check_response(request, response)
        if not has_body(request.method, response.status):
            return replace(response, framing=Framing.LENGTH, content_length=0)
        if response.framing is Framing.CONNECTION:
            self._is_unframed = True
            self._liveness.start_response(self._server.address)
        return response

    async def _acquire(self, deadline: float, max_idle_s: float) -> ServerConnection:
        """Return a connection to the server; raises `NotSent`.

        If the server sends unframed responses, another one is open before the request
        is sent.
        """
        address = self._server.address
        connection = await self._pool.acquire(address, deadline, max_idle_s=max_idle_s)
        if not self._liveness.needs_preparation(address):
            return connection
        try:
            await self._liveness.prepare(address)
        except BaseException:
            connection.abort()
            raise
        if connection.lost:
            connection = await self._pool.open(address, deadline)
        return connection

    async def read_chunk(self) -> bytes | None:
        """Read body bytes; raises `NoUsableResponse`."""
        connection = self._connection
        assert connection is not None
        try:
            chunk = await connection.read_chunk()
        except ResponseBroken as error:
            raise NoUsableResponse(error.message, may_be_crash=True) from error
        connected_at, now = connection.connected_at, self._clock.seconds()
        self._servers.record_response_bytes(
            self._server.id, self._serial, connected_at, now
        )
        self.on_bytes(connected_at, now)
        if self._is_unframed and chunk is not None:
            self._keep_other_connection(connection, now)
        return chunk

    def _keep_other_connection(self, connection: ServerConnection, now: float) -> None:
        """Keep another connection to the process, while it runs the request.

        Once the server leaves or is replaced, its address may be another process's.
        """
        tracked = self._servers.get(self._server.id)
        if (
            tracked is None
            or tracked.entry.state is not ServerState.READY
            or tracked.entry.started_ms != self._server.started_ms
            or tracked.entry.address != self._server.address
        ):
            return
        if connection.is_seen_open:
            self._alive_at = max(self._alive_at, now - SEEN_OPEN_MARGIN_S)
        self._liveness.keep(self._server.address)

    async def is_server_alive(self) -> bool:
        """Return whether the process that ran the request is known to live on.

        That its address accepts connections does not show it: the process may have
        been started again, or another server may have taken the address. Nor does it
        matter if the response ended while the request was still being sent, since the
        server then closes without what it has not read, and may cut its response.
        """
        assert self._connection is not None
        if self._connection.has_unsent_request:
            log.info(
                "response ended before its request was sent",
                extra={"server": self._server.id},
            )
            return False
        address = self._server.address
        if await self._liveness.has_outlived(address, self._connection, self._alive_at):
            return True
        if self._read_start is None or not self._server.started_ms:
            return False
        deadline = self._clock.seconds() + REPORT_TIMEOUT_S
        return await self._read_start(self._server, deadline) == self._server.started_ms

    def finish(self, response: ServerResponse) -> None:
        """Return the connection to the pool after a complete response."""
        if self._connection is not None:
            self._pool.release(
                self._server.address, self._connection, response.keep_alive_s
            )
            self._connection = None

    def close(self) -> None:
        """End the exchange; abort the connection if the response is not complete."""
        if self._is_unframed:
            self._is_unframed = False
            self._liveness.end_response(self._server.address)
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    def _record_limit(self, response: ServerResponse) -> None:
        match response.limit:
            case RequestLimit(per_s):
                self._limits.record_response(self._server, per_s)
            case InvalidValue(text):
                self._servers.record_invalid_header(self._server.id, text)
            case None if response.is_signed:
                self._limits.record_response(self._server, None)

    def _record_cold(self, response: ServerResponse) -> None:
        match response.cold:
            case ColdTime(seconds):
                self._limits.on_cold_response(self._server, seconds)
            case InvalidValue(text):
                self._servers.record_invalid_header(self._server.id, text)

    def _record_refusal(self, response: ServerResponse) -> None:
        match response.retry_after:
            case RetryAfter(seconds):
                self._servers.record_refusal(self._server.id, seconds)
            case InvalidValue(text):
                self._servers.record_invalid_header(self._server.id, text)

    async def _read_own_response(
        self, request: CallerRequest, is_repeatable: bool
    ) -> ServerResponse:
        assert self._connection is not None
        self._is_first_response = self._connection.requests_sent == 1
        for _ in range(MAX_STALE_RESPONSES + 1):
            response = self._decode(await self._connection.read_head())
            if response.request_id == request.id:
                return response
            if response.request_id is None:
                if has_queued_bytes(self._connection.transport):
                    raise NoUsableResponse(
                        "Response without a request id arrived before the request was "
                        "written"
                    )
                if self._is_first_response or is_repeatable:
                    return response
                return await self._read_behind(response, request)
            self._is_first_response = False
            await self._connection.skip_response()
        raise ResponseBroken("Only responses to other requests arrived")

    async def _read_behind(
        self, extra: ServerResponse, request: CallerRequest
    ) -> ServerResponse:
        """Return the response behind one without an id, or that one if none follows.

        A server may send an extra response to the previous request, which belongs to no
        request, after it has got the next one. One that may be repeated is sent to
        another server instead.
        """
        deadline = self._clock.seconds() + EXTRA_RESPONSE_WAIT_S
        try:
            response = await with_deadline(
                self._clock, deadline, start(self._skip_to_own(request)), "response"
            )
        except (ResponseBroken, DeadlineExceeded) as error:
            outcome, response = error.message, extra
        else:
            outcome = "skipped"
        log.info(
            "response without a request id",
            extra={
                "request": request.id,
                "server": self._server.id,
                "status": extra.status,
                "outcome": outcome,
            },
        )
        return response

    async def _skip_to_own(self, request: CallerRequest) -> ServerResponse:
        assert self._connection is not None
        for _ in range(MAX_STALE_RESPONSES):
            await self._connection.skip_response()
            response = self._decode(await self._connection.read_head())
            if response.request_id == request.id:
                return response
        raise ResponseBroken("Only responses to other requests arrived")

    def _check_response(self, request: CallerRequest, response: ServerResponse) -> None:
        # A response without an id that follows another one on its connection may belong
        # to another request.
        is_own = response.request_id == request.id or self._is_first_response
        if is_own and response.server in (None, self._server.id):
            self._record_limit(response)
            self._record_cold(response)
            if response.is_leaving:
                self._servers.record_leaving(
                    self._server.id, self._server.started_ms, "response"
                )
            if response.status == 503:
                self._record_refusal(response)
        if response.was_not_executed and is_own:
            # If another server uses the address, the expected one no longer exists.
            is_other_server = response.server not in (None, self._server.id)
            if is_other_server:
                self._servers.record_replaced(self._server.id)
            raise ServerDidNotRun(
                f"Server answered {response.status} without running the request",
                ExchangeOutcome.UNREACHABLE
                if is_other_server
                else ExchangeOutcome.REFUSED,
                response.status,
                response.server,
            )
        if not is_own:
            raise NoUsableResponse("Response has no request id")
        is_verified = response.is_signed and response.request_id == request.id
        if 200 <= response.status < 300 and not is_verified:
            raise NoUsableResponse("Success without the server's signature or id")


__all__ = ["NoUsableResponse", "ReadStart", "ServerDidNotRun", "ServerExchange"]
