"""Cost of requests for the shares of accounts, in seconds of one server's time."""

from chivesaddle.cachemap import PromptPlan
from chivesaddle.cachemap.transfers import PREFILL_TOKENS_PER_MS

# Time per output token on a loaded server; the objective is 26 ms at the 95th
# percentile, and it is about 4 ms without a concurrent prefill.
OUTPUT_TOKEN_MS = 8.0


def estimate_cost(
    prefill_tokens: int,
    output_tokens: int,
    memory_tokens: int,
    server_memory_tokens: int,
) -> float:
    """Return the cost of a request: its prefill, and its memory x expected duration.

    Parameters
    ----------
    prefill_tokens : int
        Prompt tokens that no other request has prefilled.
    server_memory_tokens : int
        Memory of one server in tokens; 0 if the service has no model, in which case all
        requests cost the same.
    """
    if not server_memory_tokens:
        return 1.0
    prefill_ms = prefill_tokens / PREFILL_TOKENS_PER_MS
    duration_ms = prefill_ms + output_tokens * OUTPUT_TOKEN_MS
    memory_share = min(1.0, memory_tokens / server_memory_tokens)
    return (prefill_ms + memory_share * duration_ms) / 1_000


def shared_prefill_cost(plan: PromptPlan | None) -> float:
    """Return the cost of shared parts that a server does not have cached."""
    return plan.shared_read_tokens / PREFILL_TOKENS_PER_MS / 1_000 if plan else 0.0


__all__ = ["estimate_cost", "shared_prefill_cost"]
