"""The calls with which callers find daemons and the platform checks them."""

from collections.abc import Sequence

import msgspec

READY_PATH = b"/readiness"
RESOLVE_PATH = b"/resolve"


def address_answer(addresses: Sequence[str], valid_s: float) -> bytes:
    """Encode the addresses that a caller may use for ``valid_s`` seconds."""
    return msgspec.json.encode({"addresses": list(addresses), "ttl_s": valid_s})


__all__ = ["READY_PATH", "RESOLVE_PATH", "address_answer"]
