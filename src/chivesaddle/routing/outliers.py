"""Outlier ejection by consecutive failures."""

from collections.abc import Mapping
from dataclasses import dataclass

from chivesaddle.core.ids import BackendServerId, ModelId

FAILURES_TO_EJECT = 5
BASE_EJECTION_S = 5.0
MAX_EJECTION_S = 300.0
# A server without failures for this long starts again from the base time.
FORGET_AFTER_S = 600.0
# Ranks a server that failed just now behind all others, where the pool is too small
# for ejection.
FAILURE_PENALTY_S = 1.0


@dataclass(slots=True)
class _Record:
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    last_failure_at: float = float("-inf")


class Outliers:
    """Ejected servers: at most a third of each pool, rounded down.

    Holds at most one record per server of the current pools.
    """

    def __init__(self) -> None:
        self._records_by_id: dict[BackendServerId, _Record] = {}
        self._pools: Mapping[ModelId, frozenset[BackendServerId]] = {}

    def set_pools(
        self, pools: Mapping[ModelId, frozenset[BackendServerId]], now: float
    ) -> None:
        """Replace the pools; return servers to pools that became too small."""
        self._pools = pools
        known = frozenset().union(*pools.values())
        for server in self._records_by_id.keys() - known:
            del self._records_by_id[server]
        for members in pools.values():
            ejected = [s for s in members if self.is_ejected(s, now)]
            ejected.sort(key=lambda s: (self._records_by_id[s].ejected_until, s))
            for server in ejected[: max(0, len(ejected) - len(members) // 3)]:
                self._records_by_id[server].ejected_until = now

    def is_ejected(self, server: BackendServerId, now: float) -> bool:
        """Tell whether ``server`` gets no new work for now."""
        record = self._records_by_id.get(server)
        return record is not None and now < record.ejected_until

    def penalty_s(self, server: BackendServerId, now: float) -> float:
        """Return seconds to add when ranking a server that failed recently."""
        record = self._records_by_id.get(server)
        if record is None or now - record.last_failure_at > BASE_EJECTION_S:
            return 0.0
        return FAILURE_PENALTY_S * record.failures

    def record_success(self, server: BackendServerId) -> None:
        """Reset the consecutive failures."""
        record = self._records_by_id.get(server)
        if record is not None:
            record.failures = 0

    def record_failure(
        self, server: BackendServerId, now: float, *, crashed: bool = False
    ) -> bool:
        """Count a failure; return whether the server is ejected now.

        A crash ejects at once. The ejection time doubles each time.
        """
        if not any(server in members for members in self._pools.values()):
            return False
        record = self._records_by_id.setdefault(server, _Record())
        if now - record.last_failure_at > FORGET_AFTER_S:
            record.ejections = 0
        record.failures += 1
        record.last_failure_at = now
        if self.is_ejected(server, now):
            return True
        if record.failures < FAILURES_TO_EJECT and not crashed:
            return False
        if not self._may_eject(server, now):
            return False
        record.ejections += 1
        doublings = min(record.ejections - 1, 16)
        record.ejected_until = now + min(MAX_EJECTION_S, BASE_EJECTION_S * 2**doublings)
        record.failures = 0
        return True

    def _may_eject(self, server: BackendServerId, now: float) -> bool:
        return all(
            sum(self.is_ejected(s, now) for s in members) < len(members) // 3
            for members in self._pools.values()
            if server in members
        )


__all__ = ["Outliers"]
