"""The choice of a backend server for one request, by predicted time to first token."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, replace

from chivesaddle.cachemap import PromptPlan
from chivesaddle.cachemap.transfers import PREFILL_TOKENS_PER_MS
from chivesaddle.core.ids import BackendServerId, ModelId, ZoneId
from chivesaddle.placement.affinity import preferred_servers
from chivesaddle.placement.table import Load, TrackedServer

# Reading shared parts again also takes time from all other requests of the server, and
# is what the operators pay most for.
READ_WEIGHT = 2.5
# Daemons that do not know yet where a part is being read choose the same server.
NOT_PREFERRED_MS = 15.0
# Requests that do not fit a server's memory wait until runs end, which takes one to
# three seconds.
MEMORY_WAIT_MS = 3_000.0
# Share of a server's memory that runs may take by their own figures. These are upper
# bounds: few runs make as many tokens as they may, and shared parts count repeatedly.
USABLE_MEMORY = 1.0
# A plain service of the sheets works about this long on a request.
WAITING_MS = 50.0
RUNNING_MS = 6.0
# Another zone costs a round trip and priced bytes.
OTHER_ZONE_MS = 4.0
# A server that fails every second request counts as this much slower.
FAILURE_MS = 2_000.0
# A server that just refused is full or loads weights, which takes about half a second.
BUSY_MS = 800.0
# Requests that begin on older weights lose a fifth of their worth.
OLDER_WEIGHTS_MS = 400.0


# Server, weight version, and whether the server is the preferred one.
PlanPrompt = Callable[[TrackedServer, int, bool], PromptPlan]


@dataclass(frozen=True, slots=True)
class Need:
    """What a request needs of a server.

    Attributes
    ----------
    model : ModelId or None
        None for plain services.
    named_version : int or None
        Version of the model's weights that servers are to run.
    oldest_version : int
        Version below which no request must begin any more.
    affinity_key : str or None
        Part by which requests are gathered while no server holds it.
    plan_prompt : callable or None
        Returns what the prompt costs at a server with a weight version.
    memory_tokens : int
        Tokens of memory that the request takes.
    server_tokens : int
        Tokens that a server's memory holds; 0 if it is not known.
    """

    model: ModelId | None = None
    named_version: int | None = None
    oldest_version: int = 0
    affinity_key: str | None = None
    plan_prompt: PlanPrompt | None = None
    memory_tokens: int = 0
    server_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may get the request, with its predicted time and its load.

    Attributes
    ----------
    has_room : bool
        Whether it has memory and a slot for the request now.
    alternatives : int
        Servers that could run the request, this one included.
    """

    server: TrackedServer
    version: int | None
    predicted_ms: float
    plan: PromptPlan | None
    load: Load
    has_room: bool = True
    alternatives: int = 1


def choose(
    servers: Sequence[TrackedServer],
    need: Need,
    zone: ZoneId,
    now: float,
    excluded: Collection[BackendServerId] = (),
    reserved: Collection[BackendServerId] = (),
) -> Candidate | None:
    """Return the server with the smallest predicted time, or None if there is none.

    Servers with room for the request come before all others, and ejected servers are
    used only if all are ejected, the one that returns first. A reserved server counts
    as one without room.
    """
    usable = [
        server
        for server in servers
        if server.entry.id not in excluded and _has_usable_version(server, need)
    ]
    open_servers = [server for server in usable if server.ejected_until <= now]
    if not open_servers:
        if not usable:
            return None
        open_servers = [min(usable, key=lambda server: server.ejected_until)]
    first = _first_preferred(servers, need)
    candidates = [_predict(server, need, zone, now, first) for server in open_servers]
    best = min(
        candidates,
        key=lambda c: (
            not c.has_room or c.server.entry.id in reserved,
            c.predicted_ms,
            c.server.entry.id,
        ),
    )
    has_room = best.has_room and best.server.entry.id not in reserved
    return replace(best, has_room=has_room, alternatives=len(candidates))


def _has_usable_version(server: TrackedServer, need: Need) -> bool:
    if need.model is None:
        return True
    version = server.version_by_model.get(need.model)
    return version is not None and version >= need.oldest_version


def _first_preferred(
    servers: Sequence[TrackedServer], need: Need
) -> BackendServerId | None:
    key = need.affinity_key
    if key is None or not servers:
        return None
    return preferred_servers(key, [server.entry.id for server in servers])[0]


def _predict(
    server: TrackedServer,
    need: Need,
    zone: ZoneId,
    now: float,
    first: BackendServerId | None,
) -> Candidate:
    load = server.load(now)
    penalty = FAILURE_MS * server.failure_rate + 1_000.0 * server.silent_s(now)
    if server.busy_until > now:
        penalty += BUSY_MS
    if server.entry.zone != zone:
        penalty += OTHER_ZONE_MS
    if need.model is None or need.plan_prompt is None:
        queued = max(0, load.requests + 1 - server.entry.slots)
        work = WAITING_MS * queued + RUNNING_MS * load.requests
        return Candidate(server, None, work + penalty, None, load)
    version = server.version_by_model[need.model]
    if version < (need.named_version or 0):
        penalty += OLDER_WEIGHTS_MS
    is_preferred = server.entry.id == first
    if not is_preferred:
        penalty += NOT_PREFERRED_MS
    plan = need.plan_prompt(server, version, is_preferred)
    work = READ_WEIGHT * plan.read_tokens / PREFILL_TOKENS_PER_MS + plan.transfer_ms
    work += load.unread_tokens / PREFILL_TOKENS_PER_MS + RUNNING_MS * load.requests
    over = load.memory_tokens + need.memory_tokens - USABLE_MEMORY * need.server_tokens
    has_room = True
    if need.server_tokens and over > 0:
        work += MEMORY_WAIT_MS * over / need.server_tokens
        # A request that no empty server would have room for is sent to an empty one.
        has_room = load.memory_tokens == 0
    has_room = has_room and load.requests < server.entry.slots
    has_room = has_room and server.busy_until <= now
    return Candidate(server, version, work + penalty, plan, load, has_room)


__all__ = ["Candidate", "Need", "PlanPrompt", "choose"]
