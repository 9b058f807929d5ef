"""Lease over the object API, and an object API in memory."""

from chivesaddle.objects.lease import Lease, LeaseState
from chivesaddle.objects.memory import Faults, MemoryObjectApi, WriteFault

__all__ = [
    "Faults",
    "Lease",
    "LeaseState",
    "MemoryObjectApi",
    "WriteFault",
]
