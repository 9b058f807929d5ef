"""JSON requests, answers and errors of the operators' API."""

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
from chivesaddle.core.logs import PartLogger
from chivesaddle.operators.auth import Operator, OperatorKeys, Role, require

MAX_BODY_BYTES = 4 * 1_024 * 1_024

log = PartLogger("operators")


class BodyTooLarge(ChivesaddleError):
    """The request body is over the limit."""

    code = "body_too_large"
    status = 413


def endpoint(role: Role) -> Callable[..., Any]:
    """Authenticate, check the role, and turn results and failures into JSON.

    The wrapped method receives ``(request, operator, **path)`` and returns JSON values,
    or a pair of HTTP status and JSON values. Its object has a ``keys`` attribute.
    """

    def decorate(method: Callable[..., Coroutine[Any, Any, Any]]) -> Any:
        @wraps(method)
        async def handle(self: Any, request: Request, **path: str) -> bytes:
            try:
                operator = _operator(self.keys, request, role)
                result = await detached(method(self, request, operator, **path))
            except ChivesaddleError as error:
                return error_answer(request, error)
            except Exception:
                # The traceback stays in the log; it may contain values.
                log.exception("%s failed", method.__name__)
                return error_answer(request, ChivesaddleError("Internal error"))
            status, data = result if isinstance(result, tuple) else (200, result)
            return _answer(request, status, data)

        return handle

    return decorate


def detached(coroutine: Coroutine[Any, Any, Any]) -> "Deferred[Any]":
    """Run a coroutine to its end even if the returned Deferred is cancelled.

    klein cancels a handler whose client disconnects. A confirm must still be carried
    out as a whole and be recorded.
    """
    answer: Deferred[Any] = Deferred(lambda _: None)

    def finish(result: Any) -> None:
        if not answer.called:
            answer.callback(result)
        elif isinstance(result, Failure):
            log.info("failed after its client left: %s", result.getErrorMessage())

    start(coroutine).addBoth(finish)
    return answer


def _operator(keys: OperatorKeys, request: Request, role: Role) -> Operator:
    operator = keys.authenticate(request.getHeader("Authorization"))
    require(operator, role)
    return operator


def error_answer(request: Request, error: ChivesaddleError) -> bytes:
    """Write an error as JSON with its status and ``Retry-After``."""
    body: dict[str, Any] = {
        "code": error.code,
        "message": error.message,
        "remedy": error.remedy,
    }
    if isinstance(error, InvalidValue):
        body["field"] = error.field
    if error.retry_after_s is not None:
        request.setHeader("Retry-After", str(math.ceil(error.retry_after_s)))
    return _answer(request, error.status, {"error": body})


def http_error_answer(request: Request, error: HTTPException) -> bytes:
    """Write an unknown route or method as JSON."""
    body = {
        "code": "unknown_route",
        "message": f"{error.name}: {request.method.decode()} {request.path.decode()}",
        "remedy": "See the routes in docs/design.md",
    }
    return _answer(request, error.code or 500, {"error": body})


def json_body(request: Request) -> Any:
    """Read the request's JSON body.

    Raises
    ------
    BodyTooLarge, InvalidValue
        The body is over 4 MiB, or not JSON.
    """
    content = request.content.read(MAX_BODY_BYTES + 1) if request.content else b""
    if len(content) > MAX_BODY_BYTES:
        raise BodyTooLarge(
            f"The body is over {MAX_BODY_BYTES} bytes", remedy="Send less at once"
        )
    try:
        return json.loads(content)
    except ValueError:
        raise InvalidValue("The body is not valid JSON", remedy="Send JSON") from None


def query(request: Request, name: str, default: str = "") -> str:
    """Return the first value of a query parameter."""
    return request.args.get(name.encode(), [default.encode()])[0].decode(
        "utf-8", "replace"
    )


def _answer(request: Request, status: int, data: Any) -> bytes:
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    # Answers can contain a new account key, which must not stay in any cache.
    request.setHeader("Cache-Control", "no-store")
    return json.dumps(data).encode()


__all__ = [
    "MAX_BODY_BYTES",
    "BodyTooLarge",
    "detached",
    "endpoint",
    "error_answer",
    "http_error_answer",
    "json_body",
    "query",
]
