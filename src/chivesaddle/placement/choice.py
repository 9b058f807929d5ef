"""The choice of a backend server for one request, by predicted time to first token."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from chivesaddle.core.ids import BackendServerId, ModelId, ZoneId
from chivesaddle.core.serving_model import PartId
from chivesaddle.placement.affinity import preferred_servers
from chivesaddle.placement.table import TrackedServer

# Figures of the deployments' sheets: prompt tokens read in a millisecond, and the
# length of a step, which each running request lengthens a little.
PREFILL_TOKENS_PER_MS = 61.2
# A queued request of the sheets' mix reads about 3,000 tokens that are not cached.
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


@dataclass(frozen=True, slots=True)
class Need:
    """What a request needs of a server.

    Attributes
    ----------
    model : ModelId or None
        None for plain services.
    named_version : int or None
        Version of the model's weights that servers are to run.
    refuses_older : bool
        Whether older versions must not begin requests any more.
    parts : sequence of (part, tokens)
        The prompt in order; the last part is the request's own.
    account_scope : str
        Isolated account whose cached parts are kept apart; empty for all others.
    """

    model: ModelId | None = None
    named_version: int | None = None
    refuses_older: bool = False
    parts: Sequence[tuple[PartId, int]] = ()
    account_scope: str = ""

    def scope(self, version: int) -> str:
        """Return the cache scope for a weight version."""
        return f"{version}.{self.account_scope}" if self.account_scope else str(version)

    @property
    def affinity_key(self) -> str | None:
        """Part by which requests are gathered on one server, or None."""
        return str(self.parts[-2][0]) if len(self.parts) > 1 else None


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may get the request, with its predicted time."""

    server: TrackedServer
    version: int | None
    predicted_ms: float
    missing_tokens: int


def choose(
    servers: Sequence[TrackedServer],
    need: Need,
    zone: ZoneId,
    now: float,
    excluded: Collection[BackendServerId] = (),
) -> Candidate | None:
    """Return the server with the smallest predicted time, or None if there is none.

    Ejected servers are used only if all are ejected, the one that returns first.
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
    return min(candidates, key=lambda c: (c.predicted_ms, c.server.entry.id))


def _has_usable_version(server: TrackedServer, need: Need) -> bool:
    if need.model is None:
        return True
    version = server.version_by_model.get(need.model)
    if version is None:
        return False
    return not (need.refuses_older and version < (need.named_version or 0))


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
    running, waiting = server.load(now)
    version = None if need.model is None else server.version_by_model[need.model]
    missing = _missing_tokens(server, need, version, first)
    penalty = FAILURE_MS * server.failure_rate + 1_000.0 * server.silent_s(now)
    if server.busy_until > now:
        penalty += BUSY_MS
    if server.entry.zone != zone:
        penalty += OTHER_ZONE_MS
    if version is not None and version < (need.named_version or 0):
        penalty += OLDER_WEIGHTS_MS
    if need.model is None:
        work = WAITING_MS * max(0.0, running + waiting - server.entry.slots)
        work += RUNNING_MS * running
    else:
        work = missing / PREFILL_TOKENS_PER_MS
        work += RUNNING_MS * running + WAITING_MS * waiting
    return Candidate(server, version, work + penalty, missing)


def _missing_tokens(
    server: TrackedServer,
    need: Need,
    version: int | None,
    first: BackendServerId | None,
) -> int:
    """Return the tokens to read: all from the first part that is not cached."""
    if version is None:
        return 0
    scope = need.scope(version)
    total = sum(tokens for _, tokens in need.parts)
    for part, tokens in need.parts[:-1]:
        if server.entry.id != first and not server.holds(scope, part):
            break
        total -= tokens
    return total


__all__ = ["Candidate", "Need", "choose"]
