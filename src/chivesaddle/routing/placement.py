"""Two-level weighted rendezvous hashing: zones first, then servers in each zone.

The score is ``-weight / ln(u)`` with u the hash scaled to (0, 1) (Schindelhauer and
Schomaker, "Weighted Distributed Hash Tables", 2005). Removing a node moves only the
keys that were placed on it. A key's home servers are the best of its best zones.
"""

import heapq
import math
from collections.abc import Iterable, Mapping

import xxhash

HOME_ZONES = 2
HOMES_PER_ZONE = 3


def rendezvous_score(key: str, node: str, weight: float = 1.0) -> float:
    """Return the score of ``node`` for ``key``; the highest score wins."""
    digest = xxhash.xxh3_64_intdigest(f"{node}/{key}".encode())
    return -weight / math.log((digest + 0.5) / 2**64)


def ranked(key: str, weights: Mapping[str, float], count: int) -> list[str]:
    """Return the ``count`` best nodes for ``key``, best first.

    Examples
    --------
    >>> order = ranked("prompt", {"a": 1.0, "b": 1.0, "c": 1.0}, 3)
    >>> ranked("prompt", {n: 1.0 for n in order[1:]}, 2) == order[1:]
    True
    """
    return heapq.nlargest(
        count, weights, key=lambda node: rendezvous_score(key, node, weights[node])
    )


def home_servers(
    key: str, weights_by_zone: Mapping[str, Mapping[str, float]]
) -> tuple[str, ...]:
    """Return the home servers of ``key``: the best of its best zones, in order."""
    zones = {zone: sum(servers.values()) for zone, servers in weights_by_zone.items()}
    homes: list[str] = []
    for zone in ranked(key, zones, HOME_ZONES):
        homes += ranked(key, weights_by_zone[zone], HOMES_PER_ZONE)
    return tuple(homes)


def rendezvous_order(key: str, servers: Iterable[str]) -> list[str]:
    """Return all servers in rendezvous order, ignoring zones and weights."""
    return sorted(servers, key=lambda s: rendezvous_score(key, s), reverse=True)


__all__ = ["home_servers", "ranked", "rendezvous_order", "rendezvous_score"]
