"""Rendezvous hashing, by which all daemons prefer the same server for a shared part."""

from collections.abc import Iterable

import xxhash

from chivesaddle.core.ids import BackendServerId


def preferred_servers(
    key: str, server_ids: Iterable[BackendServerId]
) -> list[BackendServerId]:
    """Return the servers in order of preference for ``key``.

    Removing a server moves only the keys that were assigned to it.

    Examples
    --------
    >>> order = preferred_servers("part", ["a", "b", "c"])
    >>> order == [s for s in preferred_servers("part", "abcd") if s != "d"]
    True
    """
    return sorted(
        server_ids,
        key=lambda server: xxhash.xxh3_64_intdigest(f"{key}|{server}".encode()),
    )


__all__ = ["preferred_servers"]
