"""JSON request bodies, responses and errors of the operator API."""

import json
import math
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.server import Request
from werkzeug.exceptions import HTTPException

from chivesaddle.core.aio import start
from chivesaddle.core.errors import ChivesaddleError, InvalidValue
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.operators.auth import Operator, OperatorKeys, Role, require_role

MAX_BODY_BYTES = 4 * 1_024 * 1_024

log = ComponentLogger("operators")


class BodyTooLarge(ChivesaddleError):
    """The request body exceeds the limit."""

    code = "body_too_large"
    status = 413


def endpoint(role: Role) -> Callable[..., Any]:
    """Return a decorator for request handlers that require a role.

    The decorated handler authenticates the operator, checks the role, and sends the
    result or the error as JSON. The method receives ``(request, operator, **path)`` and
    returns JSON values, or a pair of HTTP status and JSON values. Its object must have
    an attribute ``keys`` of type `OperatorKeys`.
    """

    def decorate(method: Callable[..., Coroutine[Any, Any, Any]]) -> Any:
        @wraps(method)
        async def handle(self: Any, request: Request, **path: str) -> bytes:
            try:
                operator = _authorize(self.keys, request, role)
                result = await shield_from_cancellation(
                    method(self, request, operator, **path)
                )
            except ChivesaddleError as error:
                return error_response(request, error)
            except Exception:
                # The traceback is only logged: it may contain values that the operator
                # must not receive.
                log.exception("unexpected error in handler %s", method.__name__)
                return error_response(request, ChivesaddleError("Internal error"))
            status, data = result if isinstance(result, tuple) else (200, result)
            return _json_response(request, status, data)

        return handle

    return decorate


def shield_from_cancellation(coroutine: Coroutine[Any, Any, Any]) -> "Deferred[Any]":
    """Start a coroutine that keeps running if the returned Deferred is cancelled.

    klein cancels a handler when its client disconnects. Confirming a plan must still
    finish and record its event.
    """
    shielded: Deferred[Any] = Deferred(lambda _: None)

    def forward_result(result: Any) -> None:
        if not shielded.called:
            shielded.callback(result)
        elif isinstance(result, Failure):
            log.info(
                "request failed after its client disconnected: %s",
                result.getErrorMessage(),
            )

    start(coroutine).addBoth(forward_result)
    return shielded


def _authorize(keys: OperatorKeys, request: Request, role: Role) -> Operator:
    operator = keys.authenticate(request.getHeader("Authorization"))
    require_role(operator, role)
    return operator


def error_response(request: Request, error: ChivesaddleError) -> bytes:
    """Set the status and ``Retry-After`` of an error; return its JSON body."""
    body: dict[str, Any] = {
        "code": error.code,
        "message": error.message,
        "remedy": error.remedy,
    }
    if isinstance(error, InvalidValue):
        body["field"] = error.field
    if error.retry_after_s is not None:
        request.setHeader("Retry-After", str(math.ceil(error.retry_after_s)))
    return _json_response(request, error.status, {"error": body})


def http_error_response(request: Request, error: HTTPException) -> bytes:
    """Set the status of a routing error of klein; return its JSON body."""
    body = {
        "code": "unknown_route",
        "message": f"{error.name}: {request.method.decode()} {request.path.decode()}",
        "remedy": "See the routes in docs/design.md",
    }
    return _json_response(request, error.code or 500, {"error": body})


def json_body(request: Request) -> Any:
    """Read the request's JSON body.

    Raises
    ------
    BodyTooLarge, InvalidValue
        The body exceeds 4 MiB, or is not valid JSON.
    """
    content = request.content.read(MAX_BODY_BYTES + 1) if request.content else b""
    if len(content) > MAX_BODY_BYTES:
        raise BodyTooLarge(
            f"The request body exceeds {MAX_BODY_BYTES} bytes",
            remedy="Split the request into smaller ones",
        )
    try:
        return json.loads(content)
    except (ValueError, RecursionError):
        raise InvalidValue(
            "The request body is not valid JSON", remedy="Send a JSON body"
        ) from None


def query_parameter(request: Request, name: str, default: str = "") -> str:
    """Return the first value of a parameter in the query string."""
    return request.args.get(name.encode(), [default.encode()])[0].decode(
        "utf-8", "replace"
    )


def _json_response(request: Request, status: int, data: Any) -> bytes:
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    # A response can contain a new account key, which no cache may store.
    request.setHeader("Cache-Control", "no-store")
    return json.dumps(data).encode()


__all__ = [
    "MAX_BODY_BYTES",
    "BodyTooLarge",
    "endpoint",
    "error_response",
    "http_error_response",
    "json_body",
    "query_parameter",
    "shield_from_cancellation",
]
