"""What the operators' API needs from the rest of the daemon."""

from dataclasses import dataclass, field
from typing import Any, Protocol

from chivesaddle.core.events import Event, EventFilter
from chivesaddle.core.ids import AccountId, Fingerprint, IdempotencyKey


@dataclass(frozen=True)
class FleetStatus:
    """Status of all daemons that answered, as plain JSON values."""

    daemons: list[dict[str, Any]] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class FleetEvents:
    """Events of all daemons that answered; ``missing`` names the others."""

    events: list[Event] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)


class Fleet(Protocol):
    """All daemons, asked through the peers; deadlines are seconds on the clock."""

    async def collect_status(self, deadline: float) -> FleetStatus:
        """Return the status of this daemon and its peers."""

    async def collect_events(self, wanted: EventFilter, deadline: float) -> FleetEvents:
        """Return matching events of this daemon and its peers."""

    async def clear_suspect(self, fingerprint: Fingerprint, operator: str) -> None:
        """Reset the crash count of a request on all daemons."""


class ResolvedAction(Protocol):
    """Result of a resolved action, as `actions.ActionResult`."""

    @property
    def state(self) -> Any:
        """State of the action, an `Enum`."""

    @property
    def status(self) -> int:
        """HTTP status that its caller now gets."""


class Actions(Protocol):
    """The part of `actions.ActionService` that operators use."""

    async def resolve(
        self, account_id: AccountId, key: IdempotencyKey, outcome: str, operator: str
    ) -> ResolvedAction:
        """Decide an action in doubt as ``done`` or ``not_run``."""


__all__ = ["Actions", "Fleet", "FleetEvents", "FleetStatus", "ResolvedAction"]
