"""Cost of a request's prompt on each server, and records of the parts sent."""

from chivesaddle.cachemap import PromptPlan, TransferPlanner
from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import ServiceId
from chivesaddle.core.serving_model import Account
from chivesaddle.forwarding.messages import CallerRequest
from chivesaddle.forwarding.serving_state import ServingState
from chivesaddle.placement import PlanPrompt, ServerTable, TrackedServer

# Delay within which the cache event for a prefilled part arrives. A server that was
# sent a part within this time counts as a holder of the part.
CACHE_EVENT_DELAY_S = 1.2


def cache_scope(version: int, account: Account | None) -> str:
    """Return the scope of cached parts for a weight version and an account.

    Accounts share parts unless one of them is isolated.
    """
    if account is not None and account.is_isolated:
        return f"{version}.{account.id}"
    return str(version)


class PromptPlanner:
    """Plans prompts from the known contents of servers and stores.

    Parameters
    ----------
    clock : Clock
        Clock of the records of sent parts.
    serving_state : ServingState
        Current configuration.
    servers : ServerTable
        Servers and their zones.
    transfers : TransferPlanner
        Plans transfers.
    """

    def __init__(
        self,
        clock: Clock,
        serving_state: ServingState,
        servers: ServerTable,
        transfers: TransferPlanner,
    ) -> None:
        self._clock = clock
        self._serving_state = serving_state
        self._servers = servers
        self._transfers = transfers

    def planner(
        self, request: CallerRequest, account: Account | None, service_id: ServiceId
    ) -> PlanPrompt:
        """Return a function that plans a request's prompt at a server of a service.

        A server whose cache events are unknown is assumed to hold the request's parts
        if it is the preferred server, since all daemons send the parts there.
        """
        parts = [(part.id, part.tokens) for part in request.parts]
        configuration = self._serving_state.configuration
        service = configuration and configuration.services_by_id.get(service_id)
        engine = service.engine if service else None
        if engine is None:
            full_prefill = PromptPlan(sum(tokens for _, tokens in parts), 0.0)
            return lambda server, version, is_preferred: full_prefill
        since = self._clock.seconds() - CACHE_EVENT_DELAY_S
        zones = self._servers.zone_by_address(service_id)

        transfers = self._transfers.for_prompt(parts, engine, zones)
        shared = [part for part, _ in parts[:-1]]
        scope_by_version: dict[int, str] = {}

        def plan(server: TrackedServer, version: int, is_preferred: bool) -> PromptPlan:
            scope = scope_by_version.get(version)
            if scope is None:
                scope = scope_by_version[version] = cache_scope(version, account)
            address = server.entry.address
            if is_preferred and not self._transfers.knows(address):
                assumed = frozenset(shared)
            else:
                assumed = server.sent_since(scope, shared, since)
            return transfers.plan(scope, address, server.entry.zone, assumed)

        return plan

    def record_sent(
        self,
        request: CallerRequest,
        scope: str,
        server: TrackedServer,
        plan: PromptPlan,
    ) -> None:
        """Record the parts that a server is sent with the instruction to save them."""
        parts = [(part.id, part.tokens) for part in request.parts]
        shared = [part for part, _ in parts[:-1]]
        server.record_sent_parts(scope, shared, self._clock.seconds())
        self._transfers.record_saves(parts, scope, plan)


__all__ = ["PromptPlanner", "cache_scope"]
