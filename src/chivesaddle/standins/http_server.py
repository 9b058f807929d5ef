"""HTTP server that all fakes share: control routes, faults, counters, errors."""

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
from chivesaddle.standins.errors import NoResponse, Rejected
from chivesaddle.standins.faults import CommonFaults


class UnclosableBody(io.BytesIO):
    """A request's body that stays readable after the connection is lost."""

    def close(self) -> None:
        """Do nothing, as Twisted closes the body together with the connection."""


@dataclass(frozen=True)
class HttpResponse:
    """An HTTP response; a body that is not bytes is sent as JSON."""

    body: Any = None
    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[..., Awaitable[HttpResponse | None]]


class FakeServer:
    """HTTP server of one fake, whose routes are subject to the common faults.

    Subclasses add routes with `add_route` in their constructor. A handler returns an
    `HttpResponse`, or None if it wrote to the request itself.

    Attributes
    ----------
    faults : CommonFaults
        Current fault switches.
    counters : collections.Counter
        Requests by method and route; reported together with `extra_counters`.
    connections : ConnectionFactory
        Factory to listen with; wraps the site.
    """

    fault_type: type[CommonFaults] = CommonFaults

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.app = Klein()
        self.faults = self.fault_type()
        self.counters: Counter[str] = Counter()
        self._unfrozen = Signal()
        self._add_control_route("/control/faults", "PUT", self._put_faults)
        self._add_control_route("/control/faults", "GET", self._get_faults)
        self._add_control_route("/control/counters", "GET", self._get_counters)
        self.connections = ConnectionFactory(Site(self.app.resource()))

    def apply_faults(self) -> None:
        """Pass changed fault switches to the state machine."""

    def extra_counters(self) -> dict[str, int]:
        """Return counters of the state machine."""
        return {}

    def add_route(self, path: str, method: str, handler: Handler) -> None:
        """Add a route that is subject to the common faults."""

        async def respond(request: Request, **path_variables: str) -> bytes:
            self.counters[f"{method} {path}"] += 1
            await self._wait_while_frozen()
            if self.faults.consume("refuse_next"):
                raise Rejected(
                    self.faults.refuse_status, "refused", "Refused by a fault switch"
                )
            drops_response = self.faults.consume("lose_answer_next")
            response = await handler(request, **path_variables)
            if drops_response:
                raise NoResponse
            if self.faults.answer_delay_s:
                await self.sleep(self.faults.answer_delay_s)
            await self._wait_while_frozen()
            return b"" if response is None else write_response(request, response)

        self._register(path, method, respond)

    def sleep(self, seconds: float) -> "Deferred[None]":
        """Return a Deferred that fires after ``seconds``."""
        return sleep_until(self.clock, self.clock.seconds() + seconds)

    def run_despite_disconnect(
        self, delay_s: float, action: Callable[[], Any]
    ) -> "Deferred[Any]":
        """Run ``action`` after a delay, even if the returned Deferred is cancelled."""
        completed: Deferred[Any] = Deferred()

        def run() -> None:
            try:
                result = action()
            except ChivesaddleError as error:
                completed.errback(error)
            else:
                completed.callback(result)

        if delay_s:
            self.clock.callLater(delay_s, run)
        else:
            run()
        return completed

    async def _wait_while_frozen(self) -> None:
        while self.faults.frozen:
            await self._unfrozen.wait()

    def _add_control_route(self, path: str, method: str, handler: Handler) -> None:
        async def respond(request: Request, **path_variables: str) -> bytes:
            response = await handler(request, **path_variables)
            return b"" if response is None else write_response(request, response)

        self._register(path, method, respond)

    def _register(self, path: str, method: str, respond: Callable[..., Any]) -> None:
        def endpoint(request: Request, **path_variables: str) -> "Deferred[bytes]":
            request.content = UnclosableBody(read_body(request))
            # Klein cancels this Deferred when the client disconnects. The request is
            # still processed, as in a server that does not detect the disconnect.
            response: Deferred[bytes] = Deferred()
            work = start(_handle_errors(request, respond(request, **path_variables)))
            work.addCallbacks(response.callback, response.errback)
            return response

        endpoint.__name__ = f"{method} {path}"
        self.app.route(path, methods=[method])(endpoint)

    async def _put_faults(self, request: Request) -> HttpResponse:
        try:
            self.faults = self.fault_type.model_validate(read_json(request))
        except ValidationError as error:
            raise InvalidValue(
                f"Invalid fault switches: {error.errors()[0]['loc']}: "
                f"{error.errors()[0]['msg']}",
                remedy="GET /control/faults lists the switches",
            ) from None
        self.apply_faults()
        if self.faults.silent_connections:
            self.counters["silenced_connections"] += (
                self.connections.silence_open_connections(request.transport)
            )
        if not self.faults.frozen:
            self._unfrozen.set()
        return HttpResponse(self.faults.model_dump())

    async def _get_faults(self, request: Request) -> HttpResponse:
        return HttpResponse(self.faults.model_dump())

    async def _get_counters(self, request: Request) -> HttpResponse:
        return HttpResponse({**self.counters, **self.extra_counters()})


async def _handle_errors(request: Request, response: Awaitable[bytes]) -> bytes:
    try:
        return await response
    except NoResponse:
        abort(request.transport)
        # No response can be sent on a closed connection.
        await Deferred()
        raise
    except ChivesaddleError as error:
        return write_error_response(request, error)


def write_response(request: Request, response: HttpResponse) -> bytes:
    """Set status and headers and return the body to send."""
    request.setResponseCode(response.status)
    for name, value in response.headers.items():
        request.setHeader(name, value)
    if isinstance(response.body, bytes):
        return response.body
    request.setHeader("Content-Type", "application/json")
    return json.dumps(response.body).encode()


def write_error_response(request: Request, error: ChivesaddleError) -> bytes:
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
    return write_response(request, HttpResponse(body, error.status, headers))


def read_body(request: Request) -> bytes:
    """Return the request's body."""
    content: Any = request.content
    return content.read()


def read_json(request: Request) -> dict[str, Any]:
    """Return the request's body as a JSON object, ``{}`` if it is empty.

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


def required_field(body: dict[str, Any], name: str, expected_type: type) -> Any:
    """Return a required field of a body; raises `InvalidValue`."""
    value = body.get(name)
    if not isinstance(value, expected_type):
        raise InvalidValue(
            f"Field {name} is {value!r}, not {expected_type.__name__}", field=name
        )
    return value


def query_parameter(request: Request, name: str, default: str = "") -> str:
    """Return a query parameter."""
    values = request.args.get(name.encode())
    return values[0].decode() if values else default


def query_integer(request: Request, name: str, default: int) -> int:
    """Return an integer query parameter; raises `InvalidValue`."""
    value = query_parameter(request, name, str(default))
    try:
        return int(value)
    except ValueError:
        raise InvalidValue(f"{name}={value!r} is not an integer", field=name) from None


def header(request: Request, name: str) -> str:
    """Return a request header, empty if absent."""
    return request.getHeader(name) or ""


__all__ = [
    "FakeServer",
    "HttpResponse",
    "header",
    "query_integer",
    "query_parameter",
    "read_body",
    "read_json",
    "required_field",
    "write_error_response",
    "write_response",
]
