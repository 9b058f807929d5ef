"""Writing of JSON and error responses."""

import json
from typing import Any

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.gateway.errors import error_body, retry_after


def write_json(request: Any, status: int, value: Any, **headers: str) -> None:
    """Send a complete JSON response; keyword names become header names."""
    request.write(_prepare(request, status, value, headers))
    request.finish()


def write_error(request: Any, error: ChivesaddleError) -> None:
    """Send a failure in OpenAI's shape with its retry time."""
    request.write(prepare_error(request, error))
    request.finish()


def prepare_error(request: Any, error: ChivesaddleError) -> bytes:
    """Set status and headers for a failure and return the body, still to be sent."""
    headers = {}
    if error.retry_after_s is not None:
        headers["Retry_After"] = retry_after(error.retry_after_s)
    if error.status == 401:
        headers["WWW_Authenticate"] = "Bearer"
    return _prepare(request, error.status, error_body(error), headers)


def _prepare(request: Any, status: int, value: Any, headers: dict[str, str]) -> bytes:
    content = json.dumps(value).encode()
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    request.setHeader("Content-Length", str(len(content)))
    for name, text in headers.items():
        request.setHeader(name.replace("_", "-"), text)
    return content


__all__ = ["prepare_error", "write_error", "write_json"]
