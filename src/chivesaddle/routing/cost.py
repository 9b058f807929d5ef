"""Predicted time to first token on a server."""

from dataclasses import dataclass

from chivesaddle.core.ids import StoreId
from chivesaddle.routing.decisions import TOKENS_PER_BLOCK, RouteRequest
from chivesaddle.routing.servers import ServerState


@dataclass(frozen=True, slots=True)
class Prediction:
    """Seconds to the first token, and the import that this takes, if any."""

    queue_s: float
    work_s: float
    import_from: StoreId | None = None
    import_blocks: int = 0
    cached_blocks: int = 0

    @property
    def first_token_s(self) -> float:
        """Seconds until the first token."""
        return self.queue_s + self.work_s


def predict(
    server: ServerState, request: RouteRequest, cached_blocks: int, now: float
) -> Prediction:
    """Predict with the cheaper of reload and recompute.

    Notes
    -----
    recompute = missing tokens / prefill rate; reload = link wait + blocks x block time
    + remaining tokens / prefill rate. The queue is added to both, since a request is
    sent to the engine only after its import is committed.

    A reload covers the whole copy, also blocks that the server is believed to hold:
    cache events are late, and an import may itself evict the older head of its prompt.
    Without the head the engine recomputes everything.
    """
    rate = server.prefill_tokens_per_s
    best_s = _prefill_tokens(request, cached_blocks) / rate
    best_copy, best_blocks = None, 0
    for copy in request.copies:
        if copy.blocks > cached_blocks:
            load_s = copy.wait_s + copy.block_s * copy.blocks
            total_s = load_s + _prefill_tokens(request, copy.blocks) / rate
            if total_s < best_s:
                best_s, best_copy, best_blocks = total_s, copy.store_id, copy.blocks
    kept = cached_blocks if best_copy is None else 0
    return Prediction(server.queue_s(now), best_s, best_copy, best_blocks, kept)


def _prefill_tokens(request: RouteRequest, blocks: int) -> int:
    # The last token is always computed, as its output starts the response.
    return max(1, request.prompt_tokens - blocks * TOKENS_PER_BLOCK)


__all__ = ["Prediction", "predict"]
