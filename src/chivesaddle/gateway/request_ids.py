"""Request ids from which any daemon can find the backend server of a running stream.

The part before the dot is the request name: random, and used in events. The part after
the dot encodes server, model, weight version and adapter. It is neither secret nor
signed. An engine finds a stream only under its cache salt, which is computed from the
encoded parts and the authenticated account, so a caller cannot read another account's
stream.
"""

import json
import re
import secrets
from base64 import urlsafe_b64decode, urlsafe_b64encode
from dataclasses import dataclass

from chivesaddle.core.ids import (
    AdapterId,
    BackendServerId,
    ModelId,
    RequestId,
    WeightVersion,
)
from chivesaddle.gateway.errors import NotFound

_REQUEST_NAME = re.compile("req_[0-9a-f]{32}")


@dataclass(frozen=True)
class RunLocation:
    """Where a request was first sent, and the model that it runs on."""

    server_id: BackendServerId
    model_id: ModelId
    weight_version: WeightVersion
    adapter: AdapterId | None

    def request_id(self, name: str) -> RequestId:
        """Return the id of the request with the given request name.

        Examples
        --------
        >>> location = RunLocation("a", "m", "v1", None)
        >>> request_id = location.request_id(generate_request_name())
        >>> RunLocation.from_request_id(request_id) == location
        True
        """
        parts = [self.server_id, self.model_id, self.weight_version, self.adapter]
        encoded = json.dumps(parts, separators=(",", ":")).encode()
        return RequestId(f"{name}.{urlsafe_b64encode(encoded).decode().rstrip('=')}")

    @classmethod
    def from_request_id(cls, request_id: RequestId) -> "RunLocation":
        """Decode the location from a request id; raises `NotFound` if malformed."""
        encoded = request_id.partition(".")[2]
        try:
            if not _REQUEST_NAME.fullmatch(parse_request_name(request_id)):
                raise ValueError("malformed request name")
            parts = json.loads(urlsafe_b64decode(encoded + "=" * (-len(encoded) % 4)))
            server, model, version, adapter = parts
            if not all(isinstance(p, str) for p in (server, model, version)):
                raise ValueError("server, model or version is not a string")
        except (ValueError, TypeError):
            raise NotFound(
                f"Request {request_id[:80]} does not exist",
                remedy="Use the X-Request-Id header of the response",
            ) from None
        return cls(server, model, version, adapter)


def generate_request_name() -> str:
    """Return a random request name with 128 bits of entropy."""
    return f"req_{secrets.token_hex(16)}"


def parse_request_name(request_id: RequestId) -> str:
    """Return the request name, which events use, from a request id."""
    return request_id.partition(".")[0]


__all__ = ["RunLocation", "generate_request_name", "parse_request_name"]
