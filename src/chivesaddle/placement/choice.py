"""Choice of a backend server for a request by predicted time to first token."""

import heapq
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from chivesaddle.cachemap import PromptPlan
from chivesaddle.cachemap.transfers import PREFILL_TOKENS_PER_MS
from chivesaddle.core.ids import BackendServerId, ModelId, SoftwareVersion, ZoneId
from chivesaddle.placement.affinity import first_in_order
from chivesaddle.placement.load import Load
from chivesaddle.placement.table import TrackedServer

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
# Penalty for a server on which work takes twice as long, proportionally for others: a
# first event takes about 40 ms on an idle server, of a target of some hundred ms. A
# server that is 2.5 times slower loses 60 ms.
SLOW_SERVER_PENALTY_MS = 40.0

# Takes the server, the weight version, and whether the server is the preferred one.
PlanPrompt = Callable[[TrackedServer, int, bool], PromptPlan]

# Order of servers: no capacity or reserved, predicted time in ms, id, and position in
# the list, which makes the order total.
_Rank = tuple[bool, float, BackendServerId, int]
# Requests, unread tokens and memory tokens.
_LoadTotals = tuple[int, int, int]
# Rank with the least time of the prompt, the times for load, memory and penalties in ms
# that it is made of, and the load. Tuples are cheaper than objects, and one is made for
# each server.
_Estimate = tuple[_Rank, tuple[float, float, float], _LoadTotals]


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
    min_read_tokens : int
        Prompt tokens that any server has to prefill, so that no plan has fewer.
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
    min_read_tokens: int = 0


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
    speed_factor : float or None
        How much longer than usual work was expected to take on the server; None if it
        reports no work times.
    """

    server: TrackedServer
    version: int | None
    predicted_ms: float
    plan: PromptPlan | None
    load: Load
    has_capacity: bool = True
    candidate_count: int = 1
    speed_factor: float | None = None


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
    usable = _filter_usable(servers, requirements, excluded)
    available_servers = [server for server in usable if server.ejected_until <= now]
    if not available_servers:
        if not usable:
            return None
        available_servers = [min(usable, key=lambda server: server.ejected_until)]
    preferred_id = _preferred_server(servers, requirements)
    estimates = _estimate(
        available_servers, requirements, zone, now, preferred_id, reserved
    )
    if requirements.model is None or requirements.plan_prompt is None:
        rank, _, load = min(estimates)
        version, plan = None, None
    else:
        rank, plan, load = _plan_prompts(
            estimates, available_servers, requirements, preferred_id
        )
        version = available_servers[rank[3]].version_by_model[requirements.model]
    is_unavailable, predicted_ms, _, number = rank
    server = available_servers[number]
    return Candidate(
        server,
        version,
        predicted_ms,
        plan,
        Load(*load),
        not is_unavailable,
        len(available_servers),
        None if server.speed is None else server.speed.expected_factor(now),
    )


def _plan_prompts(
    estimates: list[_Estimate],
    servers: Sequence[TrackedServer],
    requirements: ServerRequirements,
    preferred_id: BackendServerId | None,
) -> tuple[_Rank, PromptPlan, _LoadTotals]:
    """Return the best server, its plan and load.

    No plan takes less time than the estimates contain, so the prompt is planned at the
    servers in order of their estimates, until the best one found precedes the next
    estimate.
    """
    model, plan_prompt = requirements.model, requirements.plan_prompt
    assert model is not None and plan_prompt is not None
    heapq.heapify(estimates)
    best: tuple[_Rank, PromptPlan, _LoadTotals] | None = None
    while estimates and (best is None or estimates[0][0] < best[0]):
        rank, (load_ms, memory_ms, penalty_ms), load = heapq.heappop(estimates)
        is_unavailable, _, server_id, number = rank
        server = servers[number]
        plan = plan_prompt(
            server, server.version_by_model[model], server_id == preferred_id
        )
        work_ms = (
            PREFILL_WEIGHT * plan.read_tokens / PREFILL_TOKENS_PER_MS + plan.transfer_ms
        )
        predicted_ms = work_ms + load_ms + memory_ms + penalty_ms
        planned_rank = (is_unavailable, predicted_ms, server_id, number)
        if best is None or planned_rank < best[0]:
            best = planned_rank, plan, load
    assert best is not None
    return best


def _filter_usable(
    servers: Sequence[TrackedServer],
    requirements: ServerRequirements,
    excluded: Collection[BackendServerId],
) -> Sequence[TrackedServer]:
    """Return the servers of the required software and weight versions."""
    usable = servers
    if excluded:
        usable = [server for server in usable if server.entry.id not in excluded]
    software, model = requirements.software_version, requirements.model
    if software is not None:
        usable = [s for s in usable if s.entry.software_version == software]
    if model is not None:
        oldest = requirements.oldest_version
        usable = [
            server
            for server in usable
            if server.version_by_model.get(model, oldest - 1) >= oldest
        ]
    return usable


def _preferred_server(
    servers: Sequence[TrackedServer], requirements: ServerRequirements
) -> BackendServerId | None:
    key = requirements.affinity_key
    if key is None or not servers:
        return None
    return first_in_order(key, tuple([server.entry.id for server in servers]))


def _estimate(
    servers: Sequence[TrackedServer],
    requirements: ServerRequirements,
    zone: ZoneId,
    now: float,
    preferred_id: BackendServerId | None,
    reserved: Collection[BackendServerId],
) -> list[_Estimate]:
    """Predict the least time of a request at each server, before its prompt is planned.

    One loop without calls per rule, since it runs for each request over all servers.
    """
    model = None if requirements.plan_prompt is None else requirements.model
    target_version = requirements.target_version or 0
    server_tokens = requirements.server_memory_tokens
    usable_tokens = USABLE_MEMORY_SHARE * server_tokens
    other_zone_ms = (
        OTHER_ZONE_PENALTY_MS
        + OTHER_ZONE_PENALTY_MS_PER_KB * requirements.body_bytes / 1_000
    )
    min_work_ms = 0.0
    if model is not None:
        min_read_tokens = requirements.min_read_tokens
        min_work_ms = PREFILL_WEIGHT * min_read_tokens / PREFILL_TOKENS_PER_MS
    estimates = []
    for number, server in enumerate(servers):
        entry, closed_until = server.entry, server.turn_at
        if server.refuses_until > closed_until:
            closed_until = server.refuses_until
        load = requests, unread_tokens, used_tokens = server.load_totals(now)
        is_closed, is_busy = closed_until > now, server.busy_until > now
        is_unavailable = is_closed or entry.id in reserved
        penalty_ms = FAILURE_PENALTY_MS * server.failure_rate
        if server.unanswered:
            penalty_ms += 1_000.0 * server.unresponsive_s(now)
        if is_busy:
            penalty_ms += BUSY_PENALTY_MS
        if is_closed:
            penalty_ms += 1_000.0 * (closed_until - now)
        if entry.zone != zone:
            penalty_ms += other_zone_ms
        memory_ms = 0.0
        if model is None:
            queued = max(0, requests + 1 - entry.slots)
            load_ms = QUEUED_REQUEST_MS * queued + RUNNING_REQUEST_MS * requests
        else:
            if server.version_by_model[model] < target_version:
                penalty_ms += OLDER_WEIGHTS_PENALTY_MS
            if entry.id != preferred_id:
                penalty_ms += NOT_PREFERRED_PENALTY_MS
            load_ms = (
                unread_tokens / PREFILL_TOKENS_PER_MS + RUNNING_REQUEST_MS * requests
            )
            excess_tokens = used_tokens + requirements.memory_tokens - usable_tokens
            if server_tokens and excess_tokens > 0:
                memory_ms = MEMORY_WAIT_MS * excess_tokens / server_tokens
                # A request larger than any server's memory goes to an idle server.
                is_unavailable = is_unavailable or used_tokens != 0
            is_unavailable = is_unavailable or is_busy or requests >= entry.slots
        speed = server.speed
        if speed is not None and (speed.usual_excess or speed.newest_excess):
            factor = speed.expected_factor(now)
            load_ms *= factor
            penalty_ms += SLOW_SERVER_PENALTY_MS * (factor - 1.0)
        # Summed in the order of `_plan_prompts`: rounding could otherwise make the
        # estimate exceed the predicted time.
        estimated_ms = min_work_ms + load_ms + memory_ms + penalty_ms
        rank = (is_unavailable, estimated_ms, entry.id, number)
        estimates.append((rank, (load_ms, memory_ms, penalty_ms), load))
    return estimates


__all__ = ["Candidate", "PlanPrompt", "ServerRequirements", "choose"]
