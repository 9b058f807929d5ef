"""Endpoints where callers look up daemons and the platform checks readiness."""

from collections.abc import Sequence

import msgspec

READINESS_PATH = b"/readiness"
RESOLVE_PATH = b"/resolve"


def encode_addresses(addresses: Sequence[str], valid_s: float) -> bytes:
    """Encode the response with addresses that a caller may use for ``valid_s`` s."""
    return msgspec.json.encode({"addresses": list(addresses), "ttl_s": valid_s})


__all__ = ["READINESS_PATH", "RESOLVE_PATH", "encode_addresses"]
