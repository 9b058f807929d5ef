"""Load of the backend servers as one daemon knows it, and the pools by model."""

from dataclasses import dataclass, field

from chivesaddle.core.ids import (
    BackendServerId,
    ModelId,
    RequestId,
    WeightVersion,
    ZoneId,
)
from chivesaddle.core.model import BackendServer, BackendServerRole, BackendServerState

# Prefill rate assumed for a server that has not reported its load yet.
DEFAULT_PREFILL_TOKENS_PER_S = 8_000.0
# Mean duration of a request assumed for a server that has not completed one yet.
DEFAULT_MEAN_SERVICE_S = 1.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an engine reported; ``age_s`` is the report's age on arrival."""

    running: int
    queued: int
    max_running: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    queued_prefill_tokens: int
    draining: bool = False
    age_s: float = 0.0


@dataclass(slots=True)
class InFlightRequest:
    """A request of this daemon that is in flight on a server."""

    started_at: float
    prefill_tokens: int
    interactive: bool
    model_id: ModelId
    is_awaiting_first_token: bool = True
    is_in_report: bool = False


@dataclass(slots=True)
class PooledServer:
    """Load of a server: its last report plus own requests sent since that report."""

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
    mean_service_s: float = DEFAULT_MEAN_SERVICE_S
    versions_by_model_id: dict[ModelId, frozenset[WeightVersion]] | None = None
    in_flight_by_id: dict[RequestId, InFlightRequest] = field(default_factory=dict)

    @classmethod
    def from_config(cls, server: BackendServer) -> "PooledServer":
        """Return the state of a server that has not reported its load."""
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
        """Maximum requests at the server; a few queue there to keep it busy."""
        return self.max_running + max(1, self.max_running // 4)

    def has_version(
        self, model: ModelId, version: WeightVersion, configured: WeightVersion
    ) -> bool:
        """Return whether the server can run ``version``.

        Until the engine reports its versions, assume that it has the configured one.
        An engine refuses a version that it has not loaded, so a wrong assumption never
        runs a request on other weights.
        """
        if self.versions_by_model_id is None:
            return version == configured
        return version in self.versions_by_model_id.get(model, frozenset())

    def queue_s(self, now: float) -> float:
        """Return the predicted seconds until prefill of a new request starts."""
        processed_tokens = self.prefill_tokens_per_s * max(
            0.0, now - self.report_taken_at
        )
        backlog_tokens = max(0.0, self.reported_prefill_tokens - processed_tokens)
        backlog_tokens += self.unreported_prefill_tokens
        wait_s = backlog_tokens / self.prefill_tokens_per_s
        excess_requests = self.load - self.max_running
        if excess_requests >= 0:
            wait_s += (excess_requests + 1) * self.mean_service_s / self.max_running
        return wait_s

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Apply a report, and add own requests that started after it was taken."""
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
            run.is_in_report = run.started_at <= taken_at
            if not run.is_in_report:
                self.load += 1
                if run.is_awaiting_first_token:
                    self.unreported_prefill_tokens += run.prefill_tokens

    def start(self, request_id: RequestId, run: InFlightRequest) -> None:
        """Add a request that is being sent to the load."""
        self.in_flight_by_id[request_id] = run
        self.load += 1
        self.unreported_prefill_tokens += run.prefill_tokens

    def mark_first_token(self, request_id: RequestId) -> None:
        """Remove the prefill of a request from the load."""
        run = self.in_flight_by_id.get(request_id)
        if run is None or not run.is_awaiting_first_token:
            return
        run.is_awaiting_first_token = False
        if not run.is_in_report:
            self.unreported_prefill_tokens -= run.prefill_tokens

    def finish(self, request_id: RequestId, now: float) -> InFlightRequest | None:
        """Remove a request from the load; return None if it was not in flight."""
        self.mark_first_token(request_id)
        run = self.in_flight_by_id.pop(request_id, None)
        if run is not None:
            self.load = max(0, self.load - 1)
            # Exponential average: a weight of 1/8 adapts to a changed workload within
            # about ten requests.
            self.mean_service_s += (now - run.started_at - self.mean_service_s) / 8
        return run


@dataclass(slots=True)
class Pool:
    """Servers of a model that may take new requests; includes ejected servers."""

    model_id: ModelId
    servers: list[PooledServer] = field(default_factory=list)
    weights_by_zone: dict[str, dict[str, float]] = field(default_factory=dict)
    load: int = 0
    slots: int = 0
    batch_in_flight: int = 0

    def add(self, server: PooledServer) -> None:
        """Add a server with its load and slots."""
        self.servers.append(server)
        weights_by_server_id = self.weights_by_zone.setdefault(server.zone, {})
        weights_by_server_id[server.id] = float(server.max_running)
        self.load += server.load
        self.slots += server.slots


__all__ = ["InFlightRequest", "LoadReport", "Pool", "PooledServer"]
