"""HTTP shell that all fakes share: control routes, faults, counters, errors."""

import io
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from klein import Klein
from pydantic import ValidationError
from twisted.internet.defer import Deferred
from twisted.web.server import Request, Site

from chivesaddle.core.aio import Clock, Signal, sleep_until, start
from chivesaddle.core.errors import ChivesaddleError, InvalidValue
from chivesaddle.standins.connections import ConnectionFactory, abort
from chivesaddle.standins.errors import AnswerLost, Rejected
from chivesaddle.standins.faults import CommonFaults


class CapturedBody(io.BytesIO):
    """A request's body that stays readable after the connection is lost."""

    def close(self) -> None:
        """Stay open; Twisted closes the body together with the connection."""


@dataclass(frozen=True)
class Answer:
    """An HTTP answer; a body that is not bytes is sent as JSON."""

    body: Any = None
    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[..., Awaitable[Answer | None]]


class Shell:
    """Routes of one fake, wrapped with its common faults.

    Subclasses add routes with `route` in their constructor. A handler returns an
    `Answer`, or None if it wrote to the request itself.

    Attributes
    ----------
    faults : CommonFaults
        Current fault switches.
    counters : collections.Counter
        Requests by method and route; reported with `extra_counters`.
    connections : ConnectionFactory
        Wraps the site; listen with this.
    """

    fault_type: type[CommonFaults] = CommonFaults

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.app = Klein()
        self.faults = self.fault_type()
        self.counters: Counter[str] = Counter()
        self._thawed = Signal()
        self._control("/control/faults", "PUT", self._put_faults)
        self._control("/control/faults", "GET", self._get_faults)
        self._control("/control/counters", "GET", self._get_counters)
        self.connections = ConnectionFactory(Site(self.app.resource()))

    def apply_faults(self) -> None:
        """Pass changed fault switches on to the state machine."""

    def extra_counters(self) -> dict[str, int]:
        """Return counters of the state machine."""
        return {}

    def route(self, path: str, method: str, handler: Handler) -> None:
        """Add a route that is subject to the common faults."""

        async def respond(request: Request, **parts: str) -> bytes:
            self.counters[f"{method} {path}"] += 1
            await self._wait_until_thawed()
            if self.faults.use("refuse_next"):
                raise Rejected(
                    self.faults.refuse_status, "refused", "Refused by a fault switch"
                )
            loses_answer = self.faults.use("lose_answer_next")
            answer = await handler(request, **parts)
            if loses_answer:
                raise AnswerLost
            if self.faults.answer_delay_s:
                await self.sleep(self.faults.answer_delay_s)
            await self._wait_until_thawed()
            return b"" if answer is None else write_answer(request, answer)

        self._add(path, method, respond)

    def sleep(self, seconds: float) -> "Deferred[None]":
        """Return a Deferred that fires after ``seconds``."""
        return sleep_until(self.clock, self.clock.seconds() + seconds)

    def run_even_if_caller_leaves(
        self, delay_s: float, action: Callable[[], Any]
    ) -> "Deferred[Any]":
        """Run ``action`` after a delay; cancelling the result does not prevent it."""
        done: Deferred[Any] = Deferred()

        def run() -> None:
            try:
                result = action()
            except ChivesaddleError as error:
                done.errback(error)
            else:
                done.callback(result)

        if delay_s:
            self.clock.callLater(delay_s, run)
        else:
            run()
        return done

    async def _wait_until_thawed(self) -> None:
        while self.faults.frozen:
            await self._thawed.wait()

    def _control(self, path: str, method: str, handler: Handler) -> None:
        async def respond(request: Request, **parts: str) -> bytes:
            answer = await handler(request, **parts)
            return b"" if answer is None else write_answer(request, answer)

        self._add(path, method, respond)

    def _add(self, path: str, method: str, respond: Callable[..., Any]) -> None:
        def endpoint(request: Request, **parts: str) -> "Deferred[bytes]":
            request.content = CapturedBody(read_body(request))
            # Klein cancels the answer when the caller leaves. The request itself goes
            # on, as it would in a server that does not notice.
            answer: Deferred[bytes] = Deferred()
            work = start(_guarded(request, respond(request, **parts)))
            work.addCallbacks(answer.callback, answer.errback)
            return answer

        endpoint.__name__ = f"{method} {path}"
        self.app.route(path, methods=[method])(endpoint)

    async def _put_faults(self, request: Request) -> Answer:
        try:
            self.faults = self.fault_type.model_validate(read_json(request))
        except ValidationError as error:
            raise InvalidValue(
                f"Fault switches are not valid: {error.errors()[0]['loc']}: "
                f"{error.errors()[0]['msg']}",
                remedy="GET /control/faults lists the switches",
            ) from None
        self.apply_faults()
        if self.faults.silent_connections:
            self.counters["silenced_connections"] += (
                self.connections.silence_open_connections(request.transport)
            )
        if not self.faults.frozen:
            self._thawed.set()
        return Answer(self.faults.model_dump())

    async def _get_faults(self, request: Request) -> Answer:
        return Answer(self.faults.model_dump())

    async def _get_counters(self, request: Request) -> Answer:
        return Answer({**self.counters, **self.extra_counters()})


async def _guarded(request: Request, response: Awaitable[bytes]) -> bytes:
    try:
        return await response
    except AnswerLost:
        abort(request.transport)
        # There is nothing to answer on a closed connection.
        await Deferred()
        raise
    except ChivesaddleError as error:
        return write_error(request, error)


def write_answer(request: Request, answer: Answer) -> bytes:
    """Set status and headers and return the body to send."""
    request.setResponseCode(answer.status)
    for name, value in answer.headers.items():
        request.setHeader(name, value)
    if isinstance(answer.body, bytes):
        return answer.body
    request.setHeader("Content-Type", "application/json")
    return json.dumps(answer.body).encode()


def write_error(request: Request, error: ChivesaddleError) -> bytes:
    """Set status and headers of an error and return its JSON body."""
    headers = {}
    if error.retry_after_s is not None:
        headers["Retry-After"] = f"{error.retry_after_s:g}"
    body = {
        "error": {
            "message": error.message,
            "type": "invalid_request_error" if error.status < 500 else "server_error",
            "code": error.code,
            "param": None,
        }
    }
    return write_answer(request, Answer(body, error.status, headers))


def read_body(request: Request) -> bytes:
    """Return the request's body."""
    content: Any = request.content
    return content.read()


def read_json(request: Request) -> dict[str, Any]:
    """Return the request's body as a JSON object; an empty body is an empty one.

    Raises
    ------
    InvalidValue
        If the body is not a JSON object.
    """
    data = read_body(request)
    try:
        value = json.loads(data or b"{}")
    except ValueError as error:
        raise InvalidValue(f"Body is not JSON: {error}") from None
    if not isinstance(value, dict):
        raise InvalidValue("Body is not a JSON object")
    return value


def field_of(body: dict[str, Any], name: str, kind: type) -> Any:
    """Return a required field of a body; raises `InvalidValue`."""
    value = body.get(name)
    if not isinstance(value, kind):
        raise InvalidValue(
            f"Field {name} is {value!r}, not {kind.__name__}", field=name
        )
    return value


def query(request: Request, name: str, default: str = "") -> str:
    """Return a query parameter."""
    values = request.args.get(name.encode())
    return values[0].decode() if values else default


def query_number(request: Request, name: str, default: int) -> int:
    """Return an integer query parameter; raises `InvalidValue`."""
    value = query(request, name, str(default))
    try:
        return int(value)
    except ValueError:
        raise InvalidValue(f"{name}={value!r} is not a number", field=name) from None


def header(request: Request, name: str) -> str:
    """Return a request header, empty if absent."""
    return request.getHeader(name) or ""


__all__ = [
    "Answer",
    "Shell",
    "field_of",
    "header",
    "query",
    "query_number",
    "read_body",
    "read_json",
    "write_answer",
    "write_error",
]
