"""Request ids that tell any daemon where the run is.

The part before the dot is random and names the request in events. The part after it
holds server, model, version and adapter. It is not secret and not signed: the cache
salt is computed from it and the account of the key, so another account's stream is
never found.
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

_NAME = re.compile("req_[0-9a-f]{32}")


@dataclass(frozen=True)
class RunLocation:
    """Where a request was first sent and what it runs on."""

    server_id: BackendServerId
    model_id: ModelId
    weight_version: WeightVersion
    adapter: AdapterId | None

    def request_id(self, name: str) -> RequestId:
        """Return the id of the request called ``name``.

        Examples
        --------
        >>> location = RunLocation("a", "m", "v1", None)
        >>> RunLocation.from_request_id(location.request_id(new_name())) == location
        True
        """
        parts = [self.server_id, self.model_id, self.weight_version, self.adapter]
        packed = json.dumps(parts, separators=(",", ":")).encode()
        return RequestId(f"{name}.{urlsafe_b64encode(packed).decode().rstrip('=')}")

    @classmethod
    def from_request_id(cls, request_id: RequestId) -> "RunLocation":
        """Return the location in a request id; raises `NotFound`."""
        packed = request_id.partition(".")[2]
        try:
            if not _NAME.fullmatch(name_of(request_id)):
                raise ValueError("not a request name")
            parts = json.loads(urlsafe_b64decode(packed + "=" * (-len(packed) % 4)))
            server, model, version, adapter = parts
            if not all(isinstance(p, str) for p in (server, model, version)):
                raise ValueError("not a string")
        except (ValueError, TypeError):
            raise NotFound(
                f"Request {request_id[:80]} does not exist",
                remedy="Use the X-Request-Id header of the answer",
            ) from None
        return cls(server, model, version, adapter)


def new_name() -> str:
    """Return a random request name of 128 bits."""
    return f"req_{secrets.token_hex(16)}"


def name_of(request_id: RequestId) -> str:
    """Return the name that events use for a request id."""
    return request_id.partition(".")[0]


__all__ = ["RunLocation", "name_of", "new_name"]
