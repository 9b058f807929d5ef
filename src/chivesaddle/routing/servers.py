"""Backend servers as one daemon sees them, and the pools that they form."""

from dataclasses import dataclass, field

from chivesaddle.core.ids import (
    BackendServerId,
    ModelId,
    RequestId,
    WeightVersion,
    ZoneId,
)
from chivesaddle.core.model import BackendServer, BackendServerRole, BackendServerState

# Rate assumed for a server that has not reported its load yet.
DEFAULT_PREFILL_TOKENS_PER_S = 8_000.0
DEFAULT_SERVICE_S = 1.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an engine reported; ``age_s`` is its age on arrival."""

    running: int
    queued: int
    max_running: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    queued_prefill_tokens: int
    draining: bool = False
    age_s: float = 0.0


@dataclass(slots=True)
class InFlight:
    """One own request on a server."""

    started_at: float
    prefill_tokens: int
    interactive: bool
    model_id: ModelId
    awaits_first_token: bool = True
    in_report: bool = False


@dataclass(slots=True)
class ServerState:
    """Load of a server: its last report plus own work since that report."""

    id: BackendServerId
    zone: ZoneId
    models: tuple[ModelId, ...]
    max_running: int
    draining_by_config: bool = False
    draining_by_report: bool = False
    refuses_connections: bool = False
    load: int = 0
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S
    reported_prefill_tokens: float = 0.0
    report_taken_at: float = float("-inf")
    unreported_prefill_tokens: int = 0
    service_s: float = DEFAULT_SERVICE_S
    versions_by_model_id: dict[ModelId, frozenset[WeightVersion]] | None = None
    in_flight_by_id: dict[RequestId, InFlight] = field(default_factory=dict)

    @classmethod
    def from_config(cls, server: BackendServer) -> "ServerState":
        """Return the state of a server with nothing known about its load."""
        return cls(
            server.id,
            server.zone,
            server.models,
            server.max_running,
            server.state is BackendServerState.DRAINING
            or server.role is BackendServerRole.STANDBY,
        )

    @property
    def slots(self) -> int:
        """Requests that may be at the server; a few queue there to keep it busy."""
        return self.max_running + max(1, self.max_running // 4)

    def has_version(
        self, model: ModelId, version: WeightVersion, configured: WeightVersion
    ) -> bool:
        """Tell whether the server can run ``version``.

        Without a report only the configured version is assumed; the engine refuses a
        version that it has not loaded, so that a wrong guess runs nothing.
        """
        if self.versions_by_model_id is None:
            return version == configured
        return version in self.versions_by_model_id.get(model, frozenset())

    def queue_s(self, now: float) -> float:
        """Return the predicted seconds until prefill of a new request starts."""
        drained = self.prefill_tokens_per_s * max(0.0, now - self.report_taken_at)
        backlog = max(0.0, self.reported_prefill_tokens - drained)
        backlog += self.unreported_prefill_tokens
        wait_s = backlog / self.prefill_tokens_per_s
        excess = self.load - self.max_running
        if excess >= 0:
            wait_s += (excess + 1) * self.service_s / self.max_running
        return wait_s

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Take over a report; own work started after it was taken is added."""
        taken_at = now - report.age_s
        if taken_at < self.report_taken_at:
            return
        self.report_taken_at = taken_at
        self.draining_by_report = report.draining
        self.max_running = max(1, report.max_running)
        if report.prefill_tokens_per_s > 0:
            self.prefill_tokens_per_s = report.prefill_tokens_per_s
        self.reported_prefill_tokens = float(report.queued_prefill_tokens)
        self.load = report.running + report.queued
        self.unreported_prefill_tokens = 0
        for run in self.in_flight_by_id.values():
            run.in_report = run.started_at <= taken_at
            if not run.in_report:
                self.load += 1
                if run.awaits_first_token:
                    self.unreported_prefill_tokens += run.prefill_tokens

    def start(self, request_id: RequestId, run: InFlight) -> None:
        """Count a request that is being sent."""
        self.in_flight_by_id[request_id] = run
        self.load += 1
        self.unreported_prefill_tokens += run.prefill_tokens

    def first_token(self, request_id: RequestId) -> None:
        """Stop counting the prefill of a request."""
        run = self.in_flight_by_id.get(request_id)
        if run is None or not run.awaits_first_token:
            return
        run.awaits_first_token = False
        if not run.in_report:
            self.unreported_prefill_tokens -= run.prefill_tokens

    def finish(self, request_id: RequestId, now: float) -> InFlight | None:
        """Stop counting a request; return it, or None if it was not in flight."""
        self.first_token(request_id)
        run = self.in_flight_by_id.pop(request_id, None)
        if run is not None:
            self.load = max(0, self.load - 1)
            # Weight 1/8 follows a change of the workload within about ten requests.
            self.service_s += (now - run.started_at - self.service_s) / 8
        return run


@dataclass(slots=True)
class Pool:
    """Servers of a model that may take new work, apart from ejection."""

    model_id: ModelId
    servers: list[ServerState] = field(default_factory=list)
    weights_by_zone: dict[str, dict[str, float]] = field(default_factory=dict)
    load: int = 0
    slots: int = 0
    batch_in_flight: int = 0

    def add(self, server: ServerState) -> None:
        """Add a server with its load."""
        self.servers.append(server)
        zone = self.weights_by_zone.setdefault(server.zone, {})
        zone[server.id] = float(server.max_running)
        self.load += server.load
        self.slots += server.slots


__all__ = ["InFlight", "LoadReport", "Pool", "ServerState"]
