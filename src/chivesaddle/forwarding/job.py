"""A caller's request on its way, and what its log line says."""

from dataclasses import asdict, dataclass, field

from chivesaddle.core.ids import BackendServerId, Fingerprint, ServiceId
from chivesaddle.core.serving_model import Account, Route
from chivesaddle.forwarding.messages import CallerRequest
from chivesaddle.placement import Candidate


@dataclass(slots=True)
class Job:
    """A caller's request on its way; times in seconds of the daemon's clock.

    Attributes
    ----------
    waited_s : float
        Time in which it waited for a server with room.
    """

    request: CallerRequest
    route: Route
    service: ServiceId
    account: Account | None
    configuration_version: int
    received_at: float
    deadline: float
    caller_deadline: float | None
    fingerprint: Fingerprint
    sends: int = 0
    runs: int = 0
    excluded: set[BackendServerId] = field(default_factory=set)
    first_event_at: float | None = None
    waited_s: float = 0.0
    last_candidate: Candidate | None = None

    def describe_send(self, now: float) -> dict[str, object]:
        """Return the inputs of the last choice of a server, for the log."""
        fields: dict[str, object] = {
            "target_ms": round(self.route.target_s * 1_000),
            "waited_ms": round(self.waited_s * 1_000),
        }
        found = self.last_candidate
        if found is None:
            return fields
        load_age_s = min(now - found.server.load_at, 1e6)
        fields |= {
            "server": found.server.entry.id,
            "predicted_ms": round(found.predicted_ms),
            "known": asdict(found.load),
            "load_age_ms": round(load_age_s * 1_000),
        }
        if self.first_event_at is not None:
            fields["first_ms"] = round((self.first_event_at - self.received_at) * 1_000)
        if found.plan is not None:
            fields |= {
                "weights": found.version,
                "part": self.request.shared_part,
                "read_tokens": found.plan.read_tokens,
                "shared_read_tokens": found.plan.shared_read_tokens,
                "transfer_ms": round(found.plan.transfer_ms),
            }
        return fields


__all__ = ["Job"]
