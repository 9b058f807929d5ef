"""Home stores of a prompt."""

from collections.abc import Iterable

from chivesaddle.core.ids import BlockKey
from chivesaddle.core.model import Store
from chivesaddle.routing.placement import ranked

REPLICAS = 2


def home_stores(key: BlockKey, stores: Iterable[Store]) -> tuple[Store, ...]:
    """Return the two home stores of ``key``, in different zones where possible.

    Zones are ranked by rendezvous hashing, then the stores of each zone. With stores in
    a single zone, its best two are used.
    """
    stores_by_zone: dict[str, dict[str, Store]] = {}
    for store in stores:
        stores_by_zone.setdefault(store.zone, {})[store.id] = store
    zones = ranked(key, dict.fromkeys(stores_by_zone, 1.0), REPLICAS)
    per_zone = REPLICAS if len(zones) == 1 else 1
    return tuple(
        stores_by_zone[zone][store_id]
        for zone in zones
        for store_id in ranked(key, dict.fromkeys(stores_by_zone[zone], 1.0), per_zone)
    )


__all__ = ["REPLICAS", "home_stores"]
