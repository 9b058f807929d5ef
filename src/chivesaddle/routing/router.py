"""The router of a daemon, which combines the modules of this package."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import (
    AccountId,
    BackendServerId,
    BlockKey,
    DaemonId,
    Fingerprint,
    ModelId,
    RequestId,
    WeightVersion,
)
from chivesaddle.core.model import ConfigState
from chivesaddle.routing.decisions import (
    AccountLimited,
    Decision,
    Refuse,
    RequestCrashesBackend,
    RouteRequest,
    Send,
    UnknownModel,
)
from chivesaddle.routing.eligibility import ServerEligibility
from chivesaddle.routing.fair_scheduler import FairScheduler
from chivesaddle.routing.isolation import IsolatedScheduler
from chivesaddle.routing.limits import AccountLimits
from chivesaddle.routing.outliers import OutlierDetector
from chivesaddle.routing.pools import Pools
from chivesaddle.routing.request_tracker import RequestTracker
from chivesaddle.routing.retry_budget import RetryBudget
from chivesaddle.routing.servers import LoadReport
from chivesaddle.routing.suspects import Announcement, SuspectRegistry, Verdict

MAX_CHARGED_REQUESTS = 16_384


class Router:
    """Routing decisions of one daemon.

    Synchronous and without I/O; ``now`` is in seconds on one monotonic clock. After a
    `Send`, call `record_start` before anything else is awaited, so that the next
    decision includes the load. The announcements that a method returns must reach the
    peers before the request is sent, retried or answered.

    Holds one entry per server, account and own request in flight, and at most 65,536
    holders of 32,768 blocks, 4,096 sets of home servers, 16,384 charged requests, 8,192
    leaving servers, and 1,000 waiting requests per model; for the other bounds see
    `SuspectRegistry`.
    """

    def __init__(
        self, daemon_id: DaemonId, *, incarnation: int = 0, seed: int = 0
    ) -> None:
        self.limits = AccountLimits()
        self.outliers = OutlierDetector()
        self.suspects = SuspectRegistry(daemon_id, incarnation)
        self.retry_budget = RetryBudget()
        self.pools = Pools(self.outliers)
        self._fair_scheduler = FairScheduler(self.pools, seed)
        self._isolated_scheduler = IsolatedScheduler(self.pools, self.suspects)
        self._request_tracker = RequestTracker(self.pools, self.suspects)
        # Charged requests; the value is whether the request was ever sent.
        self._charged_requests: OrderedDict[RequestId, bool] = OrderedDict()

    # Decisions

    def choose(
        self,
        request: RouteRequest,
        now: float,
        excluded: frozenset[BackendServerId] = frozenset(),
    ) -> Decision:
        """Decide whether, when and where the request runs.

        ``excluded`` names servers that already failed this request.
        """
        self.pools.record_time(now)
        model = self.pools.config.models_by_id.get(request.model_id)
        if model is None:
            return Refuse(
                UnknownModel(
                    f"Model {request.model_id!r} is not configured",
                    remedy="GET /v1/models lists the models",
                )
            )
        verdict = self.suspects.verdict(request.fingerprint, now)
        if verdict is Verdict.REJECTED:
            return self._refuse(request, self._crash_error(request, now))
        limit_error = self._charge_once(request, now)
        if limit_error is not None:
            return Refuse(limit_error)
        eligible = ServerEligibility(self.pools, request, model, excluded, now)
        if verdict is Verdict.ISOLATED:
            decision = self._isolated_scheduler.choose(request, eligible, now)
        else:
            decision = self._fair_scheduler.choose(request, eligible, now)
        if isinstance(decision, Refuse):
            return self._refuse(request, decision.error)
        return decision

    def admit(self, request: RouteRequest, now: float) -> Refuse | None:
        """Refuse a request that may not run, before any other work is done for it.

        Charges the account's limits once per request; `choose` charges a request that
        did not pass through here.
        """
        if self.suspects.verdict(request.fingerprint, now) is Verdict.REJECTED:
            return self._refuse(request, self._crash_error(request, now))
        limit_error = self._charge_once(request, now)
        return None if limit_error is None else Refuse(limit_error)

    def take_retry(self, now: float) -> bool:
        """Take one retry from the budget; return False if it is exhausted."""
        return self.retry_budget.try_spend(now)

    def set_grant_listener(self, listener: Callable[[RequestId], None]) -> None:
        """Call ``listener`` when a waiting request is granted a slot before it polls.

        Otherwise the slot would stay free until the request polls, up to 0.25 s later.
        The listener must not call the router.
        """
        self.pools.grant_listener = listener

    def cancel(self, request_id: RequestId) -> None:
        """Remove a waiting request whose caller disconnected."""
        self.stop_waiting(request_id)
        self._charged_requests.pop(request_id, None)

    def stop_waiting(self, request_id: RequestId) -> None:
        """Remove a request that needs no server now; it is not charged again later."""
        for queue in self.pools.queues_by_model_id.values():
            queue.remove(request_id)

    def _charge_once(self, request: RouteRequest, now: float) -> AccountLimited | None:
        """Charge the account once per request, however often the request polls."""
        if request.request_id in self._charged_requests:
            return None
        wait_s = self.limits.admit(request.account_id, request.cost_tokens, now)
        if wait_s > 0:
            return AccountLimited(
                f"Account {request.account_id!r} is over its limit",
                remedy="Retry after the given time or ask for a higher limit",
                retry_after_s=wait_s,
            )
        self.retry_budget.record_request(now)
        self._charged_requests[request.request_id] = False
        if len(self._charged_requests) > MAX_CHARGED_REQUESTS:
            self._charged_requests.popitem(last=False)
        return None

    def _refuse(self, request: RouteRequest, error: ChivesaddleError) -> Refuse:
        queue = self.pools.queues_by_model_id.get(request.model_id)
        if queue is not None:
            queue.remove(request.request_id)
        if self._charged_requests.pop(request.request_id, None) is False:
            self.limits.refund(request.account_id, request.cost_tokens)
        return Refuse(error)

    def _crash_error(self, request: RouteRequest, now: float) -> ChivesaddleError:
        until = self.suspects.rejection_ends_at(request.fingerprint)
        return RequestCrashesBackend(
            "Two backend servers crashed while they ran this request",
            remedy=(
                f"Change the request, or ask an operator to clear {request.fingerprint}"
            ),
            retry_after_s=until - now,
        )

    # Tracking of own requests

    def record_start(
        self, request: RouteRequest, sent: Send, now: float
    ) -> tuple[Announcement, ...]:
        """Record that a request is about to be sent.

        The returned announcements must reach the peers before it is sent.
        """
        known = sent.server_id in self.pools.servers_by_id
        if known and request.request_id in self._charged_requests:
            self._charged_requests[request.request_id] = True
        return self._request_tracker.record_start(request, sent, now)

    def record_first_token(self, request_id: RequestId, now: float) -> None:
        """Record that the prefill of a request is complete."""
        self._request_tracker.record_first_token(request_id, now)

    def record_finish(
        self,
        request_id: RequestId,
        now: float,
        prefix_keys: Iterable[BlockKey] = (),
    ) -> tuple[Announcement, ...]:
        """Record a complete response; the server now holds the blocks of its prompt."""
        self._charged_requests.pop(request_id, None)
        return self._request_tracker.record_finish(request_id, now, prefix_keys)

    def record_failure(
        self, request_id: RequestId, now: float, *, server_fault: bool = True
    ) -> tuple[Announcement, ...]:
        """Record a request that ended without a complete response.

        ``server_fault`` is false if the caller cancelled it.
        """
        return self._request_tracker.record_failure(
            request_id, now, server_fault=server_fault
        )

    def record_crash(
        self, server_id: BackendServerId, now: float
    ) -> tuple[Announcement, ...]:
        """Record a server crash; end all own requests on the server.

        Every request in flight on it may report the crash; only the first call counts.
        """
        return self._request_tracker.record_crash(server_id, now)

    def clear_suspect(
        self, fingerprint: Fingerprint, now: float
    ) -> tuple[Announcement, ...]:
        """Clear a suspect request at an operator's request."""
        return self.suspects.clear(fingerprint, now)

    def receive(
        self, announcement: Announcement, now: float
    ) -> tuple[Announcement, ...]:
        """Apply a peer's announcement; return the announcements to send in response."""
        return self.suspects.receive(announcement, now)

    # Server state

    def update_load(
        self, server_id: BackendServerId, report: LoadReport, now: float
    ) -> None:
        """Apply a load report."""
        self.pools.update_load(server_id, report, now)

    def update_versions(
        self,
        server_id: BackendServerId,
        versions_by_model_id: Mapping[ModelId, Iterable[WeightVersion]],
    ) -> None:
        """Replace the weight versions that an engine has loaded (its ``/state``)."""
        self.pools.update_versions(server_id, versions_by_model_id)

    def own_demand(self, now: float) -> dict[AccountId, float]:
        """Return this daemon's demand per account in tokens/s, for its peers."""
        return self.limits.own_demand(now)

    def update_demand(
        self, peer_demand_by_id: Mapping[AccountId, float], daemons: int, now: float
    ) -> None:
        """Replace the summed demand of all other daemons, in tokens/s per account."""
        self.limits.update_demand(peer_demand_by_id, daemons, now)

    def update_blocks(
        self,
        server_id: BackendServerId,
        stored: Iterable[BlockKey],
        evicted: Iterable[BlockKey],
    ) -> None:
        """Apply an engine's cache events."""
        self.pools.update_blocks(server_id, stored, evicted)

    def is_leaving(self, server_id: BackendServerId) -> bool:
        """Return whether a server is listed or was reported as leaving."""
        return self.pools.is_leaving(server_id)

    def mark_leaving(self, server_id: BackendServerId) -> None:
        """Stop sending new requests to a server until it ends draining or restarts."""
        self.pools.mark_leaving(server_id)

    def has_conflicting_run(self, request_id: RequestId, now: float) -> bool:
        """Return whether an announced suspect run conflicts with a run of a peer."""
        return self.suspects.has_conflicting_run(request_id, now)

    def record_connection_refused(self, server_id: BackendServerId) -> None:
        """Record a refused connection; the server gets no requests until it reports."""
        self.pools.record_connection_refused(server_id)

    def record_restart(self, server_id: BackendServerId) -> None:
        """Record that a server restarted, which reverts `mark_leaving`."""
        self.pools.record_restart(server_id)

    def set_listed_leaving(self, server_ids: frozenset[BackendServerId]) -> None:
        """Replace the set of servers that the platform lists as leaving."""
        self.pools.set_listed_leaving(server_ids)

    def update_config(self, state: ConfigState) -> None:
        """Apply a configuration; drop the blocks of models that changed version."""
        self.limits.set_accounts(state.accounts_by_id)
        self.pools.update_config(state)


__all__ = ["Router"]
