"""Predicted time to first token on a server."""

from dataclasses import dataclass

from chivesaddle.core.ids import StoreId
from chivesaddle.routing.decisions import TOKENS_PER_BLOCK, RouteRequest
from chivesaddle.routing.servers import PooledServer


@dataclass(frozen=True, slots=True)
class Prediction:
    """Predicted seconds to the first token, and the KV import that this includes.

    ``queue_s`` is the queueing time at the server; ``work_s`` is the time of the import
    and of the prefill of the missing tokens.
    """

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
    server: PooledServer, request: RouteRequest, cached_blocks: int, now: float
) -> Prediction:
    """Predict the time to first token with the cheaper of reload and recompute.

    Notes
    -----
    recompute = missing tokens / prefill rate; reload = link wait + blocks x block time
    + remaining tokens / prefill rate. The server's queueing time is added to both,
    since a request is sent to the engine only after its import is committed.

    A reload imports the whole stored copy, including blocks that the index lists for
    the server: cache events lag, and an import may itself evict the older leading
    blocks of the prompt, without which the engine recomputes everything.
    """
    prefill_rate = server.prefill_tokens_per_s
    best_s = _prefill_tokens(request, cached_blocks) / prefill_rate
    best_store_id, best_blocks = None, 0
    for copy in request.copies:
        if copy.blocks > cached_blocks:
            import_s = copy.wait_s + copy.block_s * copy.blocks
            total_s = import_s + _prefill_tokens(request, copy.blocks) / prefill_rate
            if total_s < best_s:
                best_s, best_store_id, best_blocks = total_s, copy.store_id, copy.blocks
    reused_blocks = cached_blocks if best_store_id is None else 0
    return Prediction(
        server.queue_s(now), best_s, best_store_id, best_blocks, reused_blocks
    )


def _prefill_tokens(request: RouteRequest, blocks: int) -> int:
    # The last token is always computed, as its output starts the response.
    return max(1, request.prompt_tokens - blocks * TOKENS_PER_BLOCK)


__all__ = ["Prediction", "predict"]
