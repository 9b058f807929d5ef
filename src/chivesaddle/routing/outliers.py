"""Outlier detection: ejects servers after consecutive failures."""

from collections.abc import Mapping
from dataclasses import dataclass

from chivesaddle.core.ids import BackendServerId, ModelId

FAILURES_TO_EJECT = 5
BASE_EJECTION_S = 5.0
MAX_EJECTION_S = 300.0
# A server without failures for this long starts again from the base ejection time.
EJECTION_COUNT_RESET_S = 600.0
# Added to the score per failure, so that a server that failed just now ranks last where
# the pool is too small for ejection.
FAILURE_PENALTY_S = 1.0


@dataclass(slots=True)
class _FailureRecord:
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    last_failure_at: float = float("-inf")


class OutlierDetector:
    """Ejects failing servers: at most a third of each pool, rounded down.

    Holds at most one record per server of the current pools.
    """

    def __init__(self) -> None:
        self._records_by_id: dict[BackendServerId, _FailureRecord] = {}
        self._pools: Mapping[ModelId, frozenset[BackendServerId]] = {}

    def set_pools(
        self, pools: Mapping[ModelId, frozenset[BackendServerId]], now: float
    ) -> None:
        """Replace the pools; readmit servers of pools that became too small."""
        self._pools = pools
        server_ids = frozenset().union(*pools.values())
        for server_id in self._records_by_id.keys() - server_ids:
            del self._records_by_id[server_id]
        for pool_server_ids in pools.values():
            ejected = [
                member_id
                for member_id in pool_server_ids
                if self.is_ejected(member_id, now)
            ]
            ejected.sort(
                key=lambda member_id: (
                    self._records_by_id[member_id].ejected_until,
                    member_id,
                )
            )
            for server_id in ejected[
                : max(0, len(ejected) - len(pool_server_ids) // 3)
            ]:
                self._records_by_id[server_id].ejected_until = now

    def is_ejected(self, server_id: BackendServerId, now: float) -> bool:
        """Return whether the server is ejected and gets no new requests."""
        record = self._records_by_id.get(server_id)
        return record is not None and now < record.ejected_until

    def penalty_s(self, server_id: BackendServerId, now: float) -> float:
        """Return the seconds to add to the score of a server that failed recently."""
        record = self._records_by_id.get(server_id)
        if record is None or now - record.last_failure_at > BASE_EJECTION_S:
            return 0.0
        return FAILURE_PENALTY_S * record.failures

    def record_success(self, server_id: BackendServerId) -> None:
        """Reset the count of consecutive failures."""
        record = self._records_by_id.get(server_id)
        if record is not None:
            record.failures = 0

    def record_failure(
        self, server_id: BackendServerId, now: float, *, crashed: bool = False
    ) -> bool:
        """Count a failure; return whether the server is ejected now.

        A crash ejects at once. The ejection time doubles with each ejection.
        """
        if not any(
            server_id in pool_server_ids for pool_server_ids in self._pools.values()
        ):
            return False
        record = self._records_by_id.setdefault(server_id, _FailureRecord())
        if now - record.last_failure_at > EJECTION_COUNT_RESET_S:
            record.ejections = 0
        record.failures += 1
        record.last_failure_at = now
        if self.is_ejected(server_id, now):
            return True
        if record.failures < FAILURES_TO_EJECT and not crashed:
            return False
        if not self._may_eject(server_id, now):
            return False
        record.ejections += 1
        doublings = min(record.ejections - 1, 16)
        record.ejected_until = now + min(MAX_EJECTION_S, BASE_EJECTION_S * 2**doublings)
        record.failures = 0
        return True

    def _may_eject(self, server_id: BackendServerId, now: float) -> bool:
        return all(
            sum(self.is_ejected(member_id, now) for member_id in pool_server_ids)
            < len(pool_server_ids) // 3
            for pool_server_ids in self._pools.values()
            if server_id in pool_server_ids
        )


__all__ = ["OutlierDetector"]
