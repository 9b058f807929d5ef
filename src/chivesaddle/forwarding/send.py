"""One exchange with a backend server, and what its end proves."""

from collections.abc import Callable

from chivesaddle.core.aio import Clock, start, with_deadline
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded
from chivesaddle.core.ids import BackendServerId
from chivesaddle.core.serving_model import ServerEntry
from chivesaddle.forwarding.messages import CallerRequest, ServerAnswer
from chivesaddle.http1 import (
    ConnectionPool,
    HeaderList,
    NotSent,
    ResponseBroken,
    ResponseHead,
    ServerConnection,
)
from chivesaddle.placement import Outcome, ServerTable

# A server on the same network accepts within milliseconds. Beyond this its queue of
# new connections is full, or it is gone.
CONNECT_S = 0.35
# A request that must not be repeated is lost if a kept connection turns out to be
# closed, so it uses only one that has just been used.
FRESH_IDLE_S = 0.25
KEPT_IDLE_S = 3.0
# Answers to earlier requests that may stand before the one that is due.
MAX_SURPLUS = 2


class ServerDidNotRun(ChivesaddleError):
    """Proof that this server did not run the request and will not."""

    code = "server_did_not_run"

    def __init__(
        self,
        message: str,
        outcome: Outcome,
        status: int | None = None,
        answered_by: BackendServerId | None = None,
    ) -> None:
        super().__init__(message)
        self.outcome = outcome
        self.answer_status = status
        self.answered_by = answered_by


class ServerBroke(ChivesaddleError):
    """The request was sent and has no usable answer; it may have run."""

    code = "server_broke"

    def __init__(self, message: str, *, is_crash: bool = False) -> None:
        super().__init__(message)
        self.is_crash = is_crash


class Exchange:
    """Sends a request to one server and reads its answer.

    Parameters
    ----------
    clock : Clock
        Clock of all deadlines.
    servers : ServerTable
        Told of what is heard from the server.
    pool : ConnectionPool
        Connections to servers.
    server : ServerEntry
        The server.
    decode_response : callable
        Decodes the head of an answer.
    """

    def __init__(
        self,
        clock: Clock,
        servers: ServerTable,
        pool: ConnectionPool,
        server: ServerEntry,
        decode_response: Callable[[ResponseHead], ServerAnswer],
    ) -> None:
        self._clock = clock
        self._servers = servers
        self._pool = pool
        self._server = server
        self._decode = decode_response
        self._connection: ServerConnection | None = None
        self._serial = 0
        self.was_sent = False

    async def send(
        self,
        request: CallerRequest,
        headers: HeaderList,
        serial: int,
        *,
        is_repeatable: bool,
        answer_deadline: float,
        on_sent: Callable[[], None],
    ) -> ServerAnswer:
        """Send the request and return the head of its own answer.

        Raises
        ------
        ServerDidNotRun
            If the server did not get it or says that it did not run it.
        ServerBroke
            If the answer is missing, malformed or not the server's own.
        """
        self._serial = serial
        now = self._clock.seconds()
        idle_s = KEPT_IDLE_S if is_repeatable else FRESH_IDLE_S
        try:
            self._connection = await self._pool.acquire(
                self._server.address,
                min(answer_deadline, now + CONNECT_S),
                max_idle_s=idle_s,
            )
            self._connection.send(request.method, request.target, headers, request.body)
        except NotSent as error:
            raise ServerDidNotRun(error.message, Outcome.UNREACHABLE) from error
        self.was_sent = True
        on_sent()
        try:
            answer = await with_deadline(
                self._clock, answer_deadline, start(self._own_answer(request)), "answer"
            )
        except ResponseBroken as error:
            raise ServerBroke(error.message, is_crash=True) from error
        except DeadlineExceeded as error:
            raise ServerBroke("Server was silent for too long") from error
        self._servers.record_response_bytes(self._server.id, serial)
        if answer.load is not None:
            self._servers.record_load(
                self._server.id, answer.load.running, answer.load.waiting
            )
        self._check(request, answer)
        return answer

    async def read_chunk(self) -> bytes | None:
        """Read body bytes; raises `ServerBroke`."""
        assert self._connection is not None
        try:
            chunk = await self._connection.read_chunk()
        except ResponseBroken as error:
            raise ServerBroke(error.message, is_crash=True) from error
        self._servers.record_response_bytes(self._server.id, self._serial)
        return chunk

    def finish(self, answer: ServerAnswer) -> None:
        """Keep the connection after a complete answer."""
        if self._connection is not None:
            self._pool.release(
                self._server.address, self._connection, answer.keep_alive_s
            )
            self._connection = None

    def close(self) -> None:
        """Drop the connection of an unfinished exchange, so that the server stops."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _own_answer(self, request: CallerRequest) -> ServerAnswer:
        assert self._connection is not None
        for _ in range(MAX_SURPLUS + 1):
            answer = self._decode(await self._connection.read_head())
            if answer.request_id in (None, request.id):
                return answer
            await self._connection.skip_response()
        raise ResponseBroken("Only answers to other requests arrived")

    def _check(self, request: CallerRequest, answer: ServerAnswer) -> None:
        assert self._connection is not None
        # Without the id, an answer on a kept connection may belong to another request.
        is_own = answer.request_id == request.id or self._connection.exchanges == 1
        if answer.was_not_run and is_own:
            # Another server at the address means that the expected one is gone.
            is_other = answer.server not in (None, self._server.id)
            raise ServerDidNotRun(
                f"Server answered {answer.status} without running the request",
                Outcome.UNREACHABLE if is_other else Outcome.REFUSED,
                answer.status,
                answer.server,
            )
        if not is_own:
            raise ServerBroke("Answer bears no request id")
        is_whole = answer.is_signed and answer.request_id == request.id
        if 200 <= answer.status < 300 and not is_whole:
            raise ServerBroke("Success without the server's signature or id")


__all__ = ["Exchange", "ServerBroke", "ServerDidNotRun"]
