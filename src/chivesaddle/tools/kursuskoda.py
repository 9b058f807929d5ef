"""Layout of the Kursuskoda deployment: zones, accounts, models and instances."""

from dataclasses import dataclass

ZONES = ("tallinn-a", "tallinn-b", "tartu-a")
REGION = "region-1"
ENGINE_ZONES = ("tallinn-a", "tallinn-a", "tallinn-b", "tallinn-b", "tartu-a")
BOOKING_ZONES = ZONES
STORE_ZONES = ("tallinn-a", "tartu-a")

MODEL = "assistant"
WEIGHT_VERSION = "v1"
ADAPTER = "enquiries"
SERVICE = "booking"
REPEATABLE_BY_OPERATION = {"reserve_seat": False, "check_reservation": True}

# Fair-share weights: the two teams and the federation send most of the requests.
FAIR_SHARE_WEIGHTS_BY_ACCOUNT = {
    "tallinn-team": 4.0,
    "tartu-team": 4.0,
    "federation": 3.0,
    "teachers": 1.0,
    "nurses": 1.0,
    "drivers": 1.0,
    "builders": 1.0,
    "seafarers": 1.0,
    "librarians": 1.0,
    "cooks": 1.0,
}


@dataclass(frozen=True)
class Speeds:
    """Simulated speeds of the fakes.

    Attributes
    ----------
    prefill_tokens_per_s, decode_tokens_per_s : float
        Prefill and decode rates of each engine, in tokens a second.
    memory_bytes_per_s, disk_bytes_per_s : float
        Bandwidth of each store's memory link and disk link.
    bytes_per_block : int
        Bytes that a KV block of 256 tokens takes on those links.
    instances_lag_s : float
        Lag of the platform's list of instances behind writes.
    """

    prefill_tokens_per_s: float = 20_000.0
    decode_tokens_per_s: float = 100.0
    memory_bytes_per_s: float = 2e9
    disk_bytes_per_s: float = 5e8
    bytes_per_block: int = 1 << 20
    instances_lag_s: float = 1.0


__all__ = [
    "ADAPTER",
    "BOOKING_ZONES",
    "ENGINE_ZONES",
    "FAIR_SHARE_WEIGHTS_BY_ACCOUNT",
    "MODEL",
    "REGION",
    "REPEATABLE_BY_OPERATION",
    "SERVICE",
    "STORE_ZONES",
    "WEIGHT_VERSION",
    "ZONES",
    "Speeds",
]
