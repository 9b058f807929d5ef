"""Requests to the router, its decisions, and the errors of refusals."""

import uuid
from dataclasses import dataclass, field

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import (
    AccountId,
    AdapterId,
    BackendServerId,
    BlockKey,
    Fingerprint,
    ModelId,
    RequestId,
    StoreId,
    WeightVersion,
)

# A block of 1,024 prompt bytes holds about this many tokens (docs/design.md, kv).
TOKENS_PER_BLOCK = 256


class UnknownModel(ChivesaddleError):
    """The configuration has no model of this name."""

    code = "model_not_found"
    status = 404


class NoBackendServer(ChivesaddleError):
    """No backend server of the model takes new work."""

    code = "no_backend_server"
    status = 503


class DeadlineUnreachable(ChivesaddleError):
    """The first token cannot arrive before the request's deadline."""

    code = "deadline_unreachable"
    status = 503


class QueueFull(ChivesaddleError):
    """The account already has its share of the waiting requests."""

    code = "queue_full"
    status = 503


class AccountLimited(ChivesaddleError):
    """The account is over its limit of requests or tokens per second."""

    code = "rate_limit_exceeded"
    status = 429


class RequestCrashesBackend(ChivesaddleError):
    """Two backend servers crashed while they ran this request."""

    code = "request_crashes_backend"
    status = 422


@dataclass(frozen=True, slots=True)
class StoredCopy:
    """Leading blocks of the prompt in a store, as `KvService.find` predicts them.

    ``wait_s`` is the wait for the store's link, ``block_s`` the transfer of one block.
    """

    store_id: StoreId
    blocks: int
    wait_s: float
    block_s: float


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """What the router needs to know of a request.

    ``deadline`` is the time, on the clock of ``now``, by which the first token must
    arrive. ``copies`` are the stored copies that were found, best first.
    """

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
    copies: tuple[StoredCopy, ...] = ()
    request_id: RequestId = field(default_factory=lambda: RequestId(uuid.uuid4().hex))

    @property
    def cost_tokens(self) -> int:
        """Cost for limits and fairness."""
        return self.prompt_tokens + self.max_tokens


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request now; import the first ``import_blocks`` blocks before.

    ``cached_blocks`` leading blocks are on the server already.
    """

    server_id: BackendServerId
    predicted_first_token_s: float
    import_from: StoreId | None = None
    import_blocks: int = 0
    cached_blocks: int = 0


@dataclass(frozen=True, slots=True)
class Wait:
    """Ask again at ``until``; a request that does not loses its place."""

    until: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller with ``error``; the request was not run."""

    error: ChivesaddleError


Decision = Send | Wait | Refuse

__all__ = [
    "TOKENS_PER_BLOCK",
    "AccountLimited",
    "DeadlineUnreachable",
    "Decision",
    "NoBackendServer",
    "QueueFull",
    "Refuse",
    "RequestCrashesBackend",
    "RouteRequest",
    "Send",
    "StoredCopy",
    "UnknownModel",
    "Wait",
]
