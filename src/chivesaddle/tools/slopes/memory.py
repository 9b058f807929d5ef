"""Measures the memory of this process."""

import resource


def resident_kb() -> float:
    """Return the resident memory of this process in KB (1,000 bytes)."""
    with open("/proc/self/statm") as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize() / 1e3


__all__ = ["resident_kb"]
