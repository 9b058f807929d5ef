"""Interfaces of the components that the gateway depends on."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from chivesaddle.core.aio import Clock
from chivesaddle.core.events import EventRing
from chivesaddle.core.ids import (
    AccountId,
    AdapterId,
    BackendServerId,
    BlockKey,
    IdempotencyKey,
    ModelId,
    PromptId,
    RequestId,
    ServiceId,
    WeightVersion,
)
from chivesaddle.core.metrics import Metrics
from chivesaddle.core.model import BackendServer, ConfigState
from chivesaddle.engines import EngineClient, RetryBudget
from chivesaddle.routing import Announcement, Decision, Refuse, RouteRequest, Send


class Router(Protocol):
    """Decides where a request runs, as `chivesaddle.routing.Router`.

    Announcements that a method returns must reach the peers before the request is
    sent, retried or answered.
    """

    def admit(self, request: RouteRequest, now: float) -> Refuse | None:
        """Count the request against the account's limits; return a refusal if over."""

    def choose(
        self,
        request: RouteRequest,
        now: float,
        excluded: frozenset[BackendServerId] = frozenset(),
    ) -> Decision:
        """Return whether to send the request now, wait, or refuse it."""

    def cancel(self, request_id: RequestId) -> None:
        """Remove a waiting request from the queue."""

    def stop_waiting(self, request_id: RequestId) -> None:
        """Remove a request from the queue that may wait again later."""

    def record_start(
        self, request: RouteRequest, sent: Send, now: float
    ) -> Sequence[Announcement]:
        """Record that a request is being sent."""

    def has_conflicting_run(self, request_id: RequestId, now: float) -> bool:
        """Return whether a peer's suspect run conflicts with this request's run.

        A suspect request has crashed a server before. Its run conflicts with another
        suspect run on the same server, and with a run of the same request elsewhere.
        """

    def record_first_token(self, request_id: RequestId, now: float) -> None:
        """Record that a request's first token has arrived."""

    def record_finish(
        self, request_id: RequestId, now: float, prefix_keys: Sequence[BlockKey] = ()
    ) -> Sequence[Announcement]:
        """Record that a request has been answered completely."""

    def record_failure(
        self, request_id: RequestId, now: float, *, server_fault: bool = True
    ) -> Sequence[Announcement]:
        """Record that a run ended without a complete answer and without a crash."""

    def record_crash(
        self, server_id: BackendServerId, now: float
    ) -> Sequence[Announcement]:
        """Record that a server crashed with requests in flight."""

    def update_blocks(
        self,
        server_id: BackendServerId,
        stored: Sequence[BlockKey],
        evicted: Sequence[BlockKey],
    ) -> None:
        """Record which blocks a server has stored in and evicted from its cache."""

    def mark_leaving(self, server_id: BackendServerId) -> None:
        """Record that a server accepts no new requests."""


class KvService(Protocol):
    """Transfers KV blocks between backend servers and stores."""

    async def find(
        self, scope: str, keys: Sequence[BlockKey], deadline: float
    ) -> Any | None:
        """Return the longest prefix that a store has committed, or None."""

    async def load(
        self,
        prefix: Any,
        server: BackendServer,
        deadline: float,
        *,
        interactive: bool = True,
        cached_blocks: int = 0,
    ) -> Any:
        """Import a prefix into a server; return how many of its blocks it then has."""

    async def save(
        self, scope: str, keys: Sequence[BlockKey], server: BackendServer
    ) -> Any:
        """Export blocks from a server to the stores assigned to their prefix."""


class ActionResult(Protocol):
    """State of an action, and the service's response if there is one."""

    @property
    def state(self) -> Any:
        """State, as a string or an `Enum` with string values."""

    @property
    def code(self) -> str:
        """Error code, or an empty string if the action is done."""

    @property
    def status(self) -> int:
        """HTTP status of the response to the caller."""

    @property
    def body(self) -> Any:
        """Decoded JSON body of the service's response, or None."""

    @property
    def retry_after_s(self) -> float | None:
        """Seconds after which the caller may retry, or None."""


class ActionService(Protocol):
    """Runs operations of services other than models.

    An operation that is not repeatable is run at most once per idempotency key.
    """

    async def run(
        self,
        account_id: AccountId,
        key: IdempotencyKey | None,
        service: ServiceId,
        operation: str,
        body: dict[str, Any],
        deadline: float,
    ) -> ActionResult:
        """Run an operation, or return the outcome recorded under its key."""

    async def lookup(
        self, account_id: AccountId, key: IdempotencyKey
    ) -> ActionResult | None:
        """Return the state of an action, or None if no action has the key."""


class StoredPrompt(Protocol):
    """A prompt stored for an account."""

    @property
    def id(self) -> PromptId:
        """Identifier, unique within the account."""

    @property
    def text(self) -> str:
        """Text of the prompt."""


class PromptStore(Protocol):
    """Stored prompts; each method accesses only the given account's prompts."""

    async def create(
        self, account_id: AccountId, text: str, *, deadline: float
    ) -> StoredPrompt:
        """Store a prompt."""

    async def get(
        self, account_id: AccountId, prompt_id: PromptId, *, deadline: float
    ) -> StoredPrompt:
        """Return a prompt; raises `ObjectNotFound`."""

    async def list(
        self, account_id: AccountId, *, deadline: float
    ) -> Sequence[StoredPrompt]:
        """Return all prompts of the account."""

    async def delete(
        self, account_id: AccountId, prompt_id: PromptId, *, deadline: float
    ) -> None:
        """Delete a prompt; raises `ObjectNotFound`."""


class Freshness(Protocol):
    """Whether the configuration is confirmed to be current."""

    def is_confirmed(self, now: float) -> bool:
        """Return whether new requests may be served."""


class AddressList(Protocol):
    """Addresses of daemons that a caller may use, in order of preference."""

    @property
    def urls(self) -> Sequence[str]:
        """Base URLs of the daemons."""

    @property
    def valid_until(self) -> float:
        """When the list expires, in seconds on the daemon's clock."""


class Addresses(Protocol):
    """Lists the daemons that callers may use."""

    def address_list(self, now: float) -> AddressList:
        """Return the addresses that are valid at ``now``."""


class ConfigSource(Protocol):
    """Source of the configuration in force."""

    @property
    def state(self) -> ConfigState:
        """Current configuration."""


@dataclass(frozen=True)
class Dependencies:
    """Components that the gateway is built from.

    ``announce`` sends announcements about suspect requests to all peers and waits until
    the peers have acknowledged these and earlier ones, up to a time limit. It is
    awaited before a request is sent, retried or answered. ``scope`` returns the cache
    scope of an account's requests to a model, and ``block_keys`` the keys of the blocks
    of a prompt within a scope.
    """

    clock: Clock
    config: ConfigSource
    freshness: Freshness
    addresses: Addresses
    router: Router
    engines: EngineClient
    budget: RetryBudget
    scope: Callable[[AccountId, ModelId, WeightVersion, AdapterId | None], str]
    block_keys: Callable[[str, bytes], Sequence[BlockKey]]
    kv: KvService | None
    actions: ActionService
    prompts: PromptStore
    announce: Callable[[Sequence[Announcement]], Awaitable[None]]
    events: EventRing
    metrics: Metrics
    random: Random = field(default_factory=Random)


__all__ = [
    "ActionResult",
    "ActionService",
    "AddressList",
    "Addresses",
    "ConfigSource",
    "Dependencies",
    "Freshness",
    "KvService",
    "PromptStore",
    "Router",
    "StoredPrompt",
]
