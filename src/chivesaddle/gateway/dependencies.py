"""What the gateway needs from the other slices."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol, runtime_checkable

from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.events import EventRing
from chivesaddle.core.ids import (
    AccountId,
    AdapterId,
    BackendServerId,
    BlockKey,
    Fingerprint,
    IdempotencyKey,
    ModelId,
    PromptId,
    ServiceId,
    StoreId,
    WeightVersion,
)
from chivesaddle.core.metrics import Metrics
from chivesaddle.core.model import Account, BackendServer, ConfigState
from chivesaddle.engines import EngineClient, RetryBudget


@dataclass(frozen=True)
class RouteRequest:
    """What routing needs to know; ``deadline`` is when the first token is due."""

    account_id: AccountId
    model_id: ModelId
    weight_version: WeightVersion
    adapter: AdapterId | None
    fingerprint: Fingerprint
    prefix_keys: tuple[BlockKey, ...]
    prompt_tokens: int
    max_tokens: int
    interactive: bool
    deadline: float


@runtime_checkable
class Send(Protocol):
    """Decision to send now, after importing blocks from a store if one is named."""

    @property
    def server_id(self) -> BackendServerId:
        """The backend server."""

    @property
    def import_from(self) -> StoreId | None:
        """Store to load from, or None."""

    @property
    def import_blocks(self) -> int:
        """Number of blocks to load."""


@runtime_checkable
class Wait(Protocol):
    """Decision to ask again at ``until``, in seconds on the daemon's clock."""

    @property
    def until(self) -> float:
        """When to ask again."""


@runtime_checkable
class Refuse(Protocol):
    """Final decision to reject."""

    @property
    def error(self) -> ChivesaddleError:
        """What the caller is told."""


class Router(Protocol):
    """Decides where a request runs; the record methods name the same request."""

    def choose(
        self,
        request: RouteRequest,
        now: float,
        excluded: frozenset[BackendServerId] = frozenset(),
    ) -> Send | Wait | Refuse:
        """Decide."""

    def record_start(
        self, request: RouteRequest, server_id: BackendServerId, now: float
    ) -> None:
        """Note that a request is sent."""

    def record_first_token(
        self, request: RouteRequest, server_id: BackendServerId, now: float
    ) -> None:
        """Note its first token."""

    def record_finish(
        self, request: RouteRequest, server_id: BackendServerId, now: float
    ) -> None:
        """Note its complete answer."""

    def record_failure(
        self, request: RouteRequest, server_id: BackendServerId, now: float
    ) -> None:
        """Note a failure that is not a crash."""

    def record_crash(
        self, request: RouteRequest, server_id: BackendServerId, now: float
    ) -> None:
        """Note that the server died with the request in flight."""

    def record_cancel(
        self, request: RouteRequest, server_id: BackendServerId, now: float
    ) -> None:
        """Note that the caller went away, which says nothing about the server."""

    def set_leaving(self, server_id: BackendServerId) -> None:
        """Note that a server takes no new work."""


class KvService(Protocol):
    """Loads and saves KV blocks."""

    async def find(
        self, scope: str, keys: Sequence[BlockKey], deadline: float
    ) -> Any | None:
        """Return the longest committed prefix, or None."""

    async def load(self, prefix: Any, server: BackendServer, deadline: float) -> None:
        """Import a prefix into a server."""

    async def save(
        self, scope: str, keys: Sequence[BlockKey], server: BackendServer
    ) -> None:
        """Export blocks from a server to their home stores."""


class ActionResult(Protocol):
    """State of an action, and the service's answer if there is one."""

    @property
    def state(self) -> Any:
        """State, a string or an `Enum` of strings."""

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


class Limits(Protocol):
    """Rate limits per account."""

    def admit(self, account: Account, tokens: int, now: float) -> float | None:
        """Take a request of ``tokens`` tokens; return seconds to wait if refused."""


class RequestBudget(RetryBudget, Protocol):
    """Retry budget that is filled by requests."""

    def record_request(self, now: float) -> None:
        """Count a request, of which a share may be retried."""


class ConfigSource(Protocol):
    """The configuration in force."""

    @property
    def state(self) -> ConfigState:
        """Current state."""


@dataclass(frozen=True)
class Dependencies:
    """Everything the gateway is built from.

    ``announce_crash`` tells all peers about a suspect request; it is awaited before
    the request is retried or answered.
    """

    clock: Clock
    config: ConfigSource
    freshness: Freshness
    addresses: Addresses
    limits: Limits
    router: Router
    engines: EngineClient
    budget: RequestBudget
    scope: Callable[[AccountId, ModelId, WeightVersion, AdapterId | None], str]
    block_keys: Callable[[str, bytes], Sequence[BlockKey]]
    kv: KvService | None
    actions: ActionService
    prompts: PromptStore
    announce_crash: Callable[[BackendServerId, Fingerprint], Awaitable[None]]
    events: EventRing
    metrics: Metrics


__all__ = [
    "ActionResult",
    "ActionService",
    "AddressAnswer",
    "Addresses",
    "ConfigSource",
    "Dependencies",
    "Freshness",
    "KvService",
    "Limits",
    "PromptStore",
    "Refuse",
    "RequestBudget",
    "RouteRequest",
    "Router",
    "Send",
    "StoredPrompt",
    "Wait",
]
