"""Rendezvous hashing: all daemons send requests that share a part to one server."""

from collections.abc import Iterable

import xxhash

from chivesaddle.core.ids import BackendServerId


def preferred_servers(
    key: str, server_ids: Iterable[BackendServerId]
) -> list[BackendServerId]:
    """Return the servers in the order in which they are preferred for ``key``.

    A server that leaves moves only its own keys.

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
