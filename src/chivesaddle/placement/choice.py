"""Choice of a backend server for a request by predicted time to first token."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, replace

from chivesaddle.cachemap import PromptPlan
from chivesaddle.cachemap.transfers import PREFILL_TOKENS_PER_MS
from chivesaddle.core.ids import BackendServerId, ModelId, SoftwareVersion, ZoneId
from chivesaddle.placement.affinity import rendezvous_order
from chivesaddle.placement.table import Load, TrackedServer

# Weight of prefill time. Prefilling shared parts again also delays all other requests
# on the server and is the operators' largest cost.
PREFILL_WEIGHT = 2.5
# Penalty for all servers but the preferred one of the request's shared part, so that
# daemons that do not yet know where the part is prefilled choose the same server.
NOT_PREFERRED_PENALTY_MS = 15.0
# Predicted wait if the load would exceed a server's memory by the size of that memory;
# proportional to the excess. Requests that do not fit wait until runs end, which takes
# one to three seconds.
MEMORY_WAIT_MS = 3_000.0
# Share of a server's memory that may be assigned to requests by their memory tokens.
# These are upper bounds: few runs generate their maximum number of tokens, and a shared
# part is counted once per request.
USABLE_MEMORY_SHARE = 1.0
# Predicted time per queued and per running request. Servers without a model spend about
# 50 ms on a request.
QUEUED_REQUEST_MS = 50.0
RUNNING_REQUEST_MS = 6.0
# Traffic to another zone costs a round trip and is billed by the byte.
OTHER_ZONE_PENALTY_MS = 4.0
# Additional penalty for the bytes of a large request.
OTHER_ZONE_PENALTY_MS_PER_KB = 1.0
# Penalty for a failure rate of 1; proportionally less below.
FAILURE_PENALTY_MS = 2_000.0
# A server that has just refused a request is full or loads weights, which takes about
# half a second.
BUSY_PENALTY_MS = 800.0
# A request that starts on an older weight version loses a fifth of its value.
OLDER_WEIGHTS_PENALTY_MS = 400.0

# Takes the server, the weight version, and whether the server is the preferred one.
PlanPrompt = Callable[[TrackedServer, int, bool], PromptPlan]


@dataclass(frozen=True, slots=True)
class ServerRequirements:
    """What a request requires of a server.

    Attributes
    ----------
    model : ModelId or None
        None for a service without a model.
    target_version : int or None
        Weight version of the model that servers should run.
    oldest_version : int
        Minimum weight version on which a request may start.
    affinity_key : str or None
        Shared part whose preferred server gets the request while no server caches it.
    plan_prompt : callable or None
        Returns the prefill and transfer cost of the prompt on a server.
    memory_tokens : int
        Tokens of server memory that the request takes at most.
    server_memory_tokens : int
        Capacity of a server's memory in tokens; 0 if unknown.
    body_bytes : int
        Size of the request, which is sent to the server.
    software_version : SoftwareVersion or None
        Version of the server's software that the request's stream began at; None for
        any.
    """

    model: ModelId | None = None
    target_version: int | None = None
    oldest_version: int = 0
    affinity_key: str | None = None
    plan_prompt: PlanPrompt | None = None
    memory_tokens: int = 0
    server_memory_tokens: int = 0
    body_bytes: int = 0
    software_version: SoftwareVersion | None = None


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that can run the request, with its predicted time and load.

    Attributes
    ----------
    has_capacity : bool
        Whether the server has memory and a slot for the request now, and its limit
        allows one.
    candidate_count : int
        Number of servers that can run the request, including this one.
    """

    server: TrackedServer
    version: int | None
    predicted_ms: float
    plan: PromptPlan | None
    load: Load
    has_capacity: bool = True
    candidate_count: int = 1


def choose(
    servers: Sequence[TrackedServer],
    requirements: ServerRequirements,
    zone: ZoneId,
    now: float,
    excluded: Collection[BackendServerId] = (),
    reserved: Collection[BackendServerId] = (),
) -> Candidate | None:
    """Return the server with the shortest predicted time, or None if there is none.

    Servers with capacity for the request precede all others. If all servers are
    ejected, the one whose ejection ends first is used. A reserved server counts as one
    without capacity.
    """
    usable = [
        server
        for server in servers
        if server.entry.id not in excluded
        and _has_usable_versions(server, requirements)
    ]
    available_servers = [server for server in usable if server.ejected_until <= now]
    if not available_servers:
        if not usable:
            return None
        available_servers = [min(usable, key=lambda server: server.ejected_until)]
    preferred_id = _preferred_server(servers, requirements)
    candidates = [
        _predict(server, requirements, zone, now, preferred_id)
        for server in available_servers
    ]
    best = min(
        candidates,
        key=lambda c: (
            not c.has_capacity or c.server.entry.id in reserved,
            c.predicted_ms,
            c.server.entry.id,
        ),
    )
    has_capacity = best.has_capacity and best.server.entry.id not in reserved
    return replace(best, has_capacity=has_capacity, candidate_count=len(candidates))


def _has_usable_versions(
    server: TrackedServer, requirements: ServerRequirements
) -> bool:
    if requirements.software_version not in (None, server.entry.software_version):
        return False
    if requirements.model is None:
        return True
    version = server.version_by_model.get(requirements.model)
    return version is not None and version >= requirements.oldest_version


def _preferred_server(
    servers: Sequence[TrackedServer], requirements: ServerRequirements
) -> BackendServerId | None:
    key = requirements.affinity_key
    if key is None or not servers:
        return None
    return rendezvous_order(key, [server.entry.id for server in servers])[0]


def _predict(
    server: TrackedServer,
    requirements: ServerRequirements,
    zone: ZoneId,
    now: float,
    preferred_id: BackendServerId | None,
) -> Candidate:
    load = server.load(now)
    penalty_ms = (
        FAILURE_PENALTY_MS * server.failure_rate + 1_000.0 * server.unresponsive_s(now)
    )
    if server.busy_until > now:
        penalty_ms += BUSY_PENALTY_MS
    is_open = server.closed_until <= now
    if not is_open:
        penalty_ms += 1_000.0 * (server.closed_until - now)
    if server.entry.zone != zone:
        penalty_ms += (
            OTHER_ZONE_PENALTY_MS
            + OTHER_ZONE_PENALTY_MS_PER_KB * requirements.body_bytes / 1_000
        )
    if requirements.model is None or requirements.plan_prompt is None:
        queued = max(0, load.requests + 1 - server.entry.slots)
        work_ms = QUEUED_REQUEST_MS * queued + RUNNING_REQUEST_MS * load.requests
        return Candidate(server, None, work_ms + penalty_ms, None, load, is_open)
    version = server.version_by_model[requirements.model]
    if version < (requirements.target_version or 0):
        penalty_ms += OLDER_WEIGHTS_PENALTY_MS
    is_preferred = server.entry.id == preferred_id
    if not is_preferred:
        penalty_ms += NOT_PREFERRED_PENALTY_MS
    plan = requirements.plan_prompt(server, version, is_preferred)
    work_ms = (
        PREFILL_WEIGHT * plan.read_tokens / PREFILL_TOKENS_PER_MS + plan.transfer_ms
    )
    work_ms += (
        load.unread_tokens / PREFILL_TOKENS_PER_MS + RUNNING_REQUEST_MS * load.requests
    )
    excess_tokens = (
        load.memory_tokens
        + requirements.memory_tokens
        - USABLE_MEMORY_SHARE * requirements.server_memory_tokens
    )
    has_capacity = True
    if requirements.server_memory_tokens and excess_tokens > 0:
        work_ms += MEMORY_WAIT_MS * excess_tokens / requirements.server_memory_tokens
        # A request larger than any server's memory is sent to an idle server.
        has_capacity = load.memory_tokens == 0
    has_capacity = has_capacity and load.requests < server.entry.slots
    has_capacity = has_capacity and server.busy_until <= now and is_open
    return Candidate(server, version, work_ms + penalty_ms, plan, load, has_capacity)


__all__ = ["Candidate", "PlanPrompt", "ServerRequirements", "choose"]
