"""Selects the stores that hold the replicas of a prompt's KV blocks."""

from collections.abc import Iterable

from chivesaddle.core.ids import BlockKey
from chivesaddle.core.model import Store
from chivesaddle.routing.placement import ranked

REPLICAS = 2


def home_stores(key: BlockKey, stores: Iterable[Store]) -> tuple[Store, ...]:
    """Return the two home stores of ``key``, in different zones where possible.

    The home stores are those that hold the replicas. Zones are ranked by rendezvous
    hashing, then the stores of each selected zone. If all stores are in one zone, the
    two stores ranked first there are returned.
    """
    stores_by_zone: dict[str, dict[str, Store]] = {}
    for store in stores:
        stores_by_zone.setdefault(store.zone, {})[store.id] = store
    zones = ranked(key, dict.fromkeys(stores_by_zone, 1.0), REPLICAS)
    stores_per_zone = REPLICAS if len(zones) == 1 else 1
    return tuple(
        stores_by_zone[zone][store_id]
        for zone in zones
        for store_id in ranked(
            key, dict.fromkeys(stores_by_zone[zone], 1.0), stores_per_zone
        )
    )


__all__ = ["REPLICAS", "home_stores"]
