"""Access to the platform's object API."""

from chivesaddle.platform.client import HttpObjectApi
from chivesaddle.platform.lease import Lease, LeaseState
from chivesaddle.platform.memory import Faults, MemoryObjectApi, WriteFault

__all__ = [
    "Faults",
    "HttpObjectApi",
    "Lease",
    "LeaseState",
    "MemoryObjectApi",
    "WriteFault",
]
