"""Routing decisions of one daemon: the interface of the package's parts."""

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
from chivesaddle.routing.eligibility import Eligible
from chivesaddle.routing.in_turn import InTurn
from chivesaddle.routing.isolation import Isolation
from chivesaddle.routing.limits import Limits
from chivesaddle.routing.outliers import Outliers
from chivesaddle.routing.pools import Pools
from chivesaddle.routing.progress import Progress
from chivesaddle.routing.retry_budget import RetryBudget
from chivesaddle.routing.servers import LoadReport
from chivesaddle.routing.suspects import Announcement, Suspects, Verdict

MAX_CHARGED = 16_384


class Router:
    """Routing decisions of one daemon.

    Synchronous and without I/O; ``now`` is in seconds on one monotonic clock. After a
    `Send`, call `record_start` before anything else is awaited, so that the next choice
    sees the load. Announcements that a method returns have to reach the peers before
    the request is sent, retried or answered.

    Holds one entry per server, account and own request in flight, and at most 65,536
    holders of 32,768 blocks, 4,096 sets of home servers, 16,384 charged requests, 8,192
    leaving servers, and 1,000 waiting requests per model; `Suspects` states its own.
    """

    def __init__(
        self, daemon_id: DaemonId, *, incarnation: int = 0, seed: int = 0
    ) -> None:
        self.limits = Limits()
        self.outliers = Outliers()
        self.suspects = Suspects(daemon_id, incarnation)
        self.retry_budget = RetryBudget()
        self.pools = Pools(self.outliers)
        self._in_turn = InTurn(self.pools, seed)
        self._isolation = Isolation(self.pools, self.suspects)
        self._progress = Progress(self.pools, self.suspects)
        # Charged requests; the value tells whether the request was ever sent.
        self._charged: OrderedDict[RequestId, bool] = OrderedDict()

    # Decisions

    def choose(
        self,
        request: RouteRequest,
        now: float,
        excluded: frozenset[BackendServerId] = frozenset(),
    ) -> Decision:
        """Decide where, when or whether the request runs.

        ``excluded`` names servers that already failed this request.
        """
        self.pools.note_time(now)
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
            return self._refuse(request, self._crash_refusal(request, now))
        limited = self._charge(request, now)
        if limited is not None:
            return Refuse(limited)
        eligible = Eligible(self.pools, request, model, excluded, now)
        if verdict is Verdict.ISOLATED:
            decision = self._isolation.choose(request, eligible, now)
        else:
            decision = self._in_turn.choose(request, eligible, now)
        if isinstance(decision, Refuse):
            return self._refuse(request, decision.error)
        return decision

    def admit(self, request: RouteRequest, now: float) -> Refuse | None:
        """Refuse a request that may not run, before anything is looked up for it.

        Charges the account's limits once; `choose` does the same for a request that
        was not admitted before.
        """
        if self.suspects.verdict(request.fingerprint, now) is Verdict.REJECTED:
            return self._refuse(request, self._crash_refusal(request, now))
        limited = self._charge(request, now)
        return None if limited is None else Refuse(limited)

    def may_retry(self, now: float) -> bool:
        """Take one retry from the budget; False if it is spent."""
        return self.retry_budget.try_spend(now)

    def set_grant_listener(self, listener: Callable[[RequestId], None]) -> None:
        """Call ``listener`` when a waiting request may ask again before its time.

        A place would otherwise stay free until then, up to 0.25 s. The listener must
        not call the router.
        """
        self.pools.grant_listener = listener

    def cancel(self, request_id: RequestId) -> None:
        """Forget a waiting request whose caller has gone."""
        for queue in self.pools.queues_by_model_id.values():
            queue.remove(request_id)
        self._charged.pop(request_id, None)

    def _charge(self, request: RouteRequest, now: float) -> AccountLimited | None:
        """Charge the account once per request, however often it asks."""
        if request.request_id in self._charged:
            return None
        wait_s = self.limits.admit(request.account_id, request.cost_tokens, now)
        if wait_s > 0:
            return AccountLimited(
                f"Account {request.account_id!r} is over its limit",
                remedy="Retry after the given time or ask for a higher limit",
                retry_after_s=wait_s,
            )
        self.retry_budget.record_request(now)
        self._charged[request.request_id] = False
        if len(self._charged) > MAX_CHARGED:
            self._charged.popitem(last=False)
        return None

    def _refuse(self, request: RouteRequest, error: ChivesaddleError) -> Refuse:
        queue = self.pools.queues_by_model_id.get(request.model_id)
        if queue is not None:
            queue.remove(request.request_id)
        if self._charged.pop(request.request_id, None) is False:
            self.limits.refund(request.account_id, request.cost_tokens)
        return Refuse(error)

    def _crash_refusal(self, request: RouteRequest, now: float) -> ChivesaddleError:
        until = self.suspects.rejected_until(request.fingerprint)
        return RequestCrashesBackend(
            "Two backend servers crashed while they ran this request",
            remedy=(
                f"Change the request, or ask an operator to clear {request.fingerprint}"
            ),
            retry_after_s=until - now,
        )

    # Progress of own requests

    def record_start(
        self, request: RouteRequest, sent: Send, now: float
    ) -> tuple[Announcement, ...]:
        """Record that the request goes to a server; announce the result first."""
        known = sent.server_id in self.pools.servers_by_id
        if known and request.request_id in self._charged:
            self._charged[request.request_id] = True
        return self._progress.record_start(request, sent, now)

    def record_first_token(self, request_id: RequestId, now: float) -> None:
        """Record that the prefill of a request is done."""
        self._progress.record_first_token(request_id, now)

    def record_finish(
        self,
        request_id: RequestId,
        now: float,
        prefix_keys: Iterable[BlockKey] = (),
    ) -> tuple[Announcement, ...]:
        """Record a complete response; its blocks are then cached on the server."""
        self._charged.pop(request_id, None)
        return self._progress.record_finish(request_id, now, prefix_keys)

    def record_failure(
        self, request_id: RequestId, now: float, *, server_fault: bool = True
    ) -> tuple[Announcement, ...]:
        """Record a run that ended without a complete response.

        ``server_fault`` is false if the caller cancelled it.
        """
        return self._progress.record_failure(request_id, now, server_fault=server_fault)

    def record_crash(
        self, server_id: BackendServerId, now: float
    ) -> tuple[Announcement, ...]:
        """Record that a server died; ends all own requests on it.

        Every request in flight may notice the death; only the first call counts it.
        """
        return self._progress.record_crash(server_id, now)

    def clear_suspect(
        self, fingerprint: Fingerprint, now: float
    ) -> tuple[Announcement, ...]:
        """Clear a suspect request on an operator's order."""
        return self.suspects.clear(fingerprint, now)

    def receive(
        self, announcement: Announcement, now: float
    ) -> tuple[Announcement, ...]:
        """Apply a peer's announcement; return what to announce in turn."""
        return self.suspects.receive(announcement, now)

    # Knowledge of servers

    def update_load(
        self, server_id: BackendServerId, report: LoadReport, now: float
    ) -> None:
        """Take over a load report."""
        self.pools.update_load(server_id, report, now)

    def update_versions(
        self,
        server_id: BackendServerId,
        versions_by_model_id: Mapping[ModelId, Iterable[WeightVersion]],
    ) -> None:
        """Take over which weight versions an engine has loaded (its ``/state``)."""
        self.pools.update_versions(server_id, versions_by_model_id)

    def own_demand(self, now: float) -> dict[AccountId, float]:
        """Return this daemon's demand per account in tokens/s, for its peers."""
        return self.limits.own_demand(now)

    def update_demand(
        self, others_by_id: Mapping[AccountId, float], daemons: int, now: float
    ) -> None:
        """Take over the other daemons' summed demand per account, in tokens/s."""
        self.limits.update_demand(others_by_id, daemons, now)

    def update_blocks(
        self,
        server_id: BackendServerId,
        stored: Iterable[BlockKey],
        evicted: Iterable[BlockKey],
    ) -> None:
        """Take over an engine's cache events."""
        self.pools.update_blocks(server_id, stored, evicted)

    def is_leaving(self, server_id: BackendServerId) -> bool:
        """Tell whether a server was reported as leaving."""
        return self.pools.is_leaving(server_id)

    def set_leaving(self, server_id: BackendServerId) -> None:
        """Give a server no new work until it ends its draining or is restarted."""
        self.pools.set_leaving(server_id)

    def has_rival(self, request_id: RequestId, now: float) -> bool:
        """Tell whether a suspect request that is announced must start again."""
        return self.suspects.has_rival(request_id, now)

    def note_refused(self, server_id: BackendServerId) -> None:
        """Note that a server refused a connection; it gets no work until it reports."""
        self.pools.note_refused(server_id)

    def note_restart(self, server_id: BackendServerId) -> None:
        """Note that a server was started anew, which ends `set_leaving`."""
        self.pools.note_restart(server_id)

    def set_listed_leaving(self, server_ids: frozenset[BackendServerId]) -> None:
        """Give the servers that the platform lists as leaving no new work."""
        self.pools.set_listed_leaving(server_ids)

    def update_config(self, state: ConfigState) -> None:
        """Apply a configuration; forget the blocks of models that changed version."""
        self.limits.set_accounts(state.accounts_by_id)
        self.pools.update_config(state)


__all__ = ["Router"]
