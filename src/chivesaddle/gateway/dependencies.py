"""What the gateway needs from the other slices."""

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

    Announcements that a method returns have to reach the peers before the request is
    sent, retried or answered.
    """

    def admit(self, request: RouteRequest, now: float) -> Refuse | None:
        """Charge the account's limits; return the refusal of a request over them."""

    def choose(
        self,
        request: RouteRequest,
        now: float,
        excluded: frozenset[BackendServerId] = frozenset(),
    ) -> Decision:
        """Decide."""

    def cancel(self, request_id: RequestId) -> None:
        """Forget a waiting request."""

    def record_start(
        self, request: RouteRequest, sent: Send, now: float
    ) -> Sequence[Announcement]:
        """Note that a request is sent."""

    def has_rival(self, request_id: RequestId, now: float) -> bool:
        """Tell whether an announced suspect request must start again."""

    def record_first_token(self, request_id: RequestId, now: float) -> None:
        """Note its first token."""

    def record_finish(
        self, request_id: RequestId, now: float, prefix_keys: Sequence[BlockKey] = ()
    ) -> Sequence[Announcement]:
        """Note its complete answer."""

    def record_failure(
        self, request_id: RequestId, now: float, *, server_fault: bool = True
    ) -> Sequence[Announcement]:
        """Note a run without a complete answer that is not a crash."""

    def record_crash(
        self, server_id: BackendServerId, now: float
    ) -> Sequence[Announcement]:
        """Note that a server died with requests in flight."""

    def update_blocks(
        self,
        server_id: BackendServerId,
        stored: Sequence[BlockKey],
        evicted: Sequence[BlockKey],
    ) -> None:
        """Note blocks that a server holds now."""

    def set_leaving(self, server_id: BackendServerId) -> None:
        """Note that a server takes no new work."""


class KvService(Protocol):
    """Loads and saves KV blocks."""

    async def find(
        self, scope: str, keys: Sequence[BlockKey], deadline: float
    ) -> Any | None:
        """Return the longest committed prefix, or None."""

    async def load(
        self,
        prefix: Any,
        server: BackendServer,
        deadline: float,
        *,
        interactive: bool = True,
        cached_blocks: int = 0,
    ) -> Any:
        """Import a prefix into a server; return how many blocks are there then."""

    async def save(
        self, scope: str, keys: Sequence[BlockKey], server: BackendServer
    ) -> Any:
        """Export blocks from a server to their home stores."""


class ActionResult(Protocol):
    """State of an action, and the service's answer if there is one."""

    @property
    def state(self) -> Any:
        """State, a string or an `Enum` of strings."""

    @property
    def code(self) -> str:
        """Error code, empty when done."""

    @property
    def status(self) -> int:
        """HTTP status for the caller."""

    @property
    def body(self) -> Any:
        """JSON value of the answer, or None."""

    @property
    def retry_after_s(self) -> float | None:
        """When to ask again, or None."""


class ActionService(Protocol):
    """Runs operations of plain services; non-repeatable ones at most once."""

    async def run(
        self,
        account_id: AccountId,
        key: IdempotencyKey | None,
        service: ServiceId,
        operation: str,
        body: dict[str, Any],
        deadline: float,
    ) -> ActionResult:
        """Run an operation or return its recorded outcome."""

    async def lookup(
        self, account_id: AccountId, key: IdempotencyKey
    ) -> ActionResult | None:
        """Return the state of an action, or None."""


class StoredPrompt(Protocol):
    """A prompt stored for an account."""

    @property
    def id(self) -> PromptId:
        """Identifier within the account."""

    @property
    def text(self) -> str:
        """The text."""


class PromptStore(Protocol):
    """Stored prompts; all methods see the account's own prompts only."""

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
        """Return all prompts."""

    async def delete(
        self, account_id: AccountId, prompt_id: PromptId, *, deadline: float
    ) -> None:
        """Delete a prompt; raises `ObjectNotFound`."""


class Freshness(Protocol):
    """Whether the configuration is confirmed."""

    def is_confirmed(self, now: float) -> bool:
        """Tell whether new requests may be served."""


class AddressAnswer(Protocol):
    """Addresses for callers, best first."""

    @property
    def urls(self) -> Sequence[str]:
        """Base URLs."""

    @property
    def valid_until(self) -> float:
        """End of validity in seconds on the daemon's clock."""


class Addresses(Protocol):
    """Names the daemons that callers may use."""

    def address_answer(self, now: float) -> AddressAnswer:
        """Return the addresses."""


class ConfigSource(Protocol):
    """The configuration in force."""

    @property
    def state(self) -> ConfigState:
        """Current state."""


@dataclass(frozen=True)
class Dependencies:
    """Everything the gateway is built from.

    ``announce`` tells all peers about suspect requests, and waits for announcements
    that are still on their way; it is awaited before a request is sent, retried or
    answered.
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
    "AddressAnswer",
    "Addresses",
    "ConfigSource",
    "Dependencies",
    "Freshness",
    "KvService",
    "PromptStore",
    "Router",
    "StoredPrompt",
]
