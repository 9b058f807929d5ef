"""Leases and eras of the object API, and an in-memory object API."""

from chivesaddle.objects.era import StoreEra
from chivesaddle.objects.lease import Lease, LeaseState
from chivesaddle.objects.memory import (
    MemoryClient,
    MemoryObjectApi,
    ObjectCopy,
    ObjectFaults,
    WriteFault,
)

__all__ = [
    "Lease",
    "LeaseState",
    "MemoryClient",
    "MemoryObjectApi",
    "ObjectCopy",
    "ObjectFaults",
    "StoreEra",
    "WriteFault",
]
