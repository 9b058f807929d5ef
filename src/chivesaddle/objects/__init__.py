"""Leases stored in the object API, and an in-memory object API."""

from chivesaddle.objects.lease import Lease, LeaseState
from chivesaddle.objects.memory import Faults, MemoryObjectApi, WriteFault

__all__ = [
    "Faults",
    "Lease",
    "LeaseState",
    "MemoryObjectApi",
    "WriteFault",
]
