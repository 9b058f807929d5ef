"""Interfaces to the parts of the daemon that the operator API calls."""

from dataclasses import dataclass, field
from typing import Any, Protocol

from chivesaddle.core.events import Event, EventFilter
from chivesaddle.core.ids import AccountId, Fingerprint, IdempotencyKey


@dataclass(frozen=True)
class FleetStatus:
    """Status of the daemons that responded, as JSON values, and ids of the others."""

    daemons: list[dict[str, Any]] = field(default_factory=list)
    missing_daemons: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class FleetEvents:
    """Events of the daemons that responded, and ids of the others."""

    events: list[Event] = field(default_factory=list)
    missing_daemons: list[str] = field(default_factory=list)


class FleetClient(Protocol):
    """Access to all daemons of the fleet.

    Deadlines are seconds on the daemon's monotonic clock.
    """

    async def collect_status(self, deadline: float) -> FleetStatus:
        """Return the status of this daemon and its peers."""

    async def collect_events(
        self, event_filter: EventFilter, deadline: float
    ) -> FleetEvents:
        """Return the events of this daemon and its peers that match the filter."""

    async def clear_suspect(self, fingerprint: Fingerprint, operator: str) -> None:
        """Reset the crash count of requests with this fingerprint on all daemons."""


class ResolvedAction(Protocol):
    """Result of a resolved action; `actions.ActionResult` implements it."""

    @property
    def state(self) -> Any:
        """State of the action, a member of an `Enum`."""

    @property
    def status(self) -> int:
        """HTTP status that the action's client receives from now on."""


class ActionResolver(Protocol):
    """Resolves actions whose outcome is unknown."""

    async def resolve(
        self, account_id: AccountId, key: IdempotencyKey, outcome: str, operator: str
    ) -> ResolvedAction:
        """Record the outcome of an action in doubt, ``done`` or ``not_run``."""


__all__ = [
    "ActionResolver",
    "FleetClient",
    "FleetEvents",
    "FleetStatus",
    "ResolvedAction",
]
