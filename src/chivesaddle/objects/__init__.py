"""Leases and eras of the object API."""

from chivesaddle.objects.era import StoreEra
from chivesaddle.objects.lease import Lease, LeaseState

__all__ = [
    "Lease",
    "LeaseState",
    "StoreEra",
]
