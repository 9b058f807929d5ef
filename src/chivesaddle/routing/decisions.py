"""Requests to the router, its decisions, and the errors that it refuses with."""

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
    """No backend server of the model accepts new requests."""

    code = "no_backend_server"
    status = 503


class DeadlineUnreachable(ChivesaddleError):
    """The first token cannot arrive before the request's deadline."""

    code = "deadline_unreachable"
    status = 503


class QueueFull(ChivesaddleError):
    """The queue is full, and the account already has its share of it."""

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
    """Leading blocks of the prompt in a store, as `KvService.find` returns them.

    ``wait_s`` is the predicted wait for the store's link; ``block_s`` is the predicted
    transfer time of one block.
    """

    store_id: StoreId
    blocks: int
    wait_s: float
    block_s: float


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Properties of a request that routing depends on.

    ``deadline`` is the time by which the first token must arrive, on the clock of
    ``now``. ``copies`` are the stored copies that were found, best first.
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
        """Cost in tokens that rate limits and fair queueing charge."""
        return self.prompt_tokens + self.max_tokens


@dataclass(frozen=True, slots=True)
class Send:
    """Import the first ``import_blocks`` blocks, if any, and then send the request.

    The server already holds the first ``cached_blocks`` blocks of the prompt.
    """

    server_id: BackendServerId
    predicted_first_token_s: float
    import_from: StoreId | None = None
    import_blocks: int = 0
    cached_blocks: int = 0


@dataclass(frozen=True, slots=True)
class Wait:
    """Call `Router.choose` again at ``until``, or the request leaves the queue."""

    until: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller with ``error``; the request did not run."""

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
