"""Rendezvous hashing, by which all daemons put the same ids first for a key."""

import functools
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


@functools.lru_cache(maxsize=1_024)
def first_in_order(key: str, ids: tuple[Id, ...]) -> Id:
    """Return the first id of `rendezvous_order`, remembered for recent arguments."""
    return rendezvous_order(key, ids)[0]


__all__ = ["first_in_order", "rendezvous_order"]
