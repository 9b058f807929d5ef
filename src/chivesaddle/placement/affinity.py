"""Rendezvous hashing, by which all daemons put the same ids first for a key."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

Id = TypeVar("Id", bound=str)


def rendezvous_order(key: str, ids: Iterable[Id]) -> list[Id]:
    """Return ids, of servers or daemons, in order of preference for ``key``.

    Removing one moves only the keys that were assigned to it.

    Examples
    --------
    >>> order = rendezvous_order("part", ["a", "b", "c"])
    >>> order == [s for s in rendezvous_order("part", "abcd") if s != "d"]
    True
    """
    return sorted(ids, key=lambda id: xxhash.xxh3_64_intdigest(f"{key}|{id}".encode()))


__all__ = ["rendezvous_order"]
