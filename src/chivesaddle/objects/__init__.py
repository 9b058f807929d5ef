"""Leases stored in the object API, and an in-memory object API."""

from chivesaddle.objects.lease import Lease, LeaseState
from chivesaddle.objects.memory import MemoryObjectApi, ObjectFaults, WriteFault

__all__ = [
    "Lease",
    "LeaseState",
    "MemoryObjectApi",
    "ObjectFaults",
    "WriteFault",
]
