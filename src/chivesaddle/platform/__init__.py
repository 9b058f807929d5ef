"""Access to the platform's object API."""

from chivesaddle.platform.memory import Faults, MemoryObjectApi, WriteFault

__all__ = ["Faults", "MemoryObjectApi", "WriteFault"]
