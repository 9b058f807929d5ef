"""Writing of JSON and error responses."""

import json
from typing import Any

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.gateway.errors import error_body, retry_after_header


def write_json(request: Any, status: int, json_value: Any, **headers: str) -> None:
    """Send a complete JSON response.

    Keyword arguments are headers; underscores in their names become hyphens.
    """
    request.write(_prepare_json(request, status, json_value, headers))
    request.finish()


def write_error(request: Any, error: ChivesaddleError) -> None:
    """Send an error response in the format of the OpenAI API."""
    request.write(prepare_error(request, error))
    request.finish()


def prepare_error(request: Any, error: ChivesaddleError) -> bytes:
    """Set status and headers for an error; return the body without sending it."""
    headers = {}
    if error.retry_after_s is not None:
        headers["Retry_After"] = retry_after_header(error.retry_after_s)
    if error.status == 401:
        headers["WWW_Authenticate"] = "Bearer"
    return _prepare_json(request, error.status, error_body(error), headers)


def _prepare_json(
    request: Any, status: int, json_value: Any, headers: dict[str, str]
) -> bytes:
    body = json.dumps(json_value).encode()
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    request.setHeader("Content-Length", str(len(body)))
    for name, text in headers.items():
        request.setHeader(name.replace("_", "-"), text)
    return body


__all__ = ["prepare_error", "write_error", "write_json"]
