"""Fault switches of each fake, set by ``PUT /control/faults``.

A switch named ``*_next`` is a count of the following requests or other operations that
the fault applies to; it is counted down to 0, which is off.
"""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

WriteFaultName = Literal[
    "refused", "lost_before_effect", "lost_after_effect", "delayed"
]


class CommonFaults(BaseModel):
    """Fault switches that every fake has; unknown names are rejected.

    Attributes
    ----------
    frozen : bool
        No response is sent and no work proceeds until the switch is off again.
    silent_connections : bool
        Connections that are open when the switch is set stay open but never carry
        data again; later connections work.
    refuse_next : int
        Number of requests to refuse with ``refuse_status``.
    refuse_status : int
        HTTP status of refused requests.
    answer_delay_s : float
        Seconds between processing a request and sending the response.
    lose_answer_next : int
        Number of requests to process and then close the connection without a
        response.
    """

    model_config = ConfigDict(extra="forbid")

    frozen: bool = False
    silent_connections: bool = False
    refuse_next: int = Field(default=0, ge=0)
    refuse_status: int = Field(default=503, ge=400, le=599)
    answer_delay_s: float = Field(default=0.0, ge=0)
    lose_answer_next: int = Field(default=0, ge=0)

    def consume(self, name: str) -> bool:
        """Count a ``*_next`` switch down by one; return False if it is 0 already."""
        remaining: int = getattr(self, name)
        if remaining > 0:
            setattr(self, name, remaining - 1)
        return remaining > 0


class ObjectApiFaults(CommonFaults):
    """Faults of the object API.

    Attributes
    ----------
    outage : bool
        Every call fails with 503.
    delay_s : float
        Seconds before each call is processed.
    writes : list
        Faults of the following writes, one entry per write; None means no fault.
    late_effect_s : float
        Seconds until a write with the fault ``delayed`` takes effect.
    instances_lag_s : float or None
        Seconds until a write of an instance is visible to readers; None uses the
        value of the command line.
    """

    outage: bool = False
    delay_s: float = Field(default=0.0, ge=0)
    writes: list[WriteFaultName | None] = []
    late_effect_s: float = Field(default=1.0, ge=0)
    instances_lag_s: float | None = Field(default=None, ge=0)


class EngineFaults(CommonFaults):
    """Faults of a model engine.

    Attributes
    ----------
    crash_marker : str
        The process exits when prefill starts for a prompt that contains this text.
    draining : bool
        New requests are refused with 503 and load reports have the state ``draining``.
    cut_next, cut_after_tokens : int
        Number of streams whose connection is closed, and the number of tokens sent
        before that.
    stall_next, stall_after_tokens : int
        Number of streams that stop sending without closing the connection, and the
        number of tokens sent before that.
    swap_next : int
        Number of requests that get the stream of another request.
    slowdown : float
        Factor on the duration of prefill and decoding.
    events_lost_next : int
        Number of cache events that are numbered but never published.
    events_lag_s, load_lag_s : float or None
        Delay until cache events are visible, and age of load reports; None uses the
        values of the command line.
    free_in_export_next : int
        Number of exports whose middle block is evicted before it is sent.
    corrupt_export_next : int
        Number of exported blocks that are sent with altered bytes.
    corrupt_import_next : int
        Number of imported blocks that are altered while they are staged.
    wrong_commit_next : int
        Number of imports in which one block is altered at the commit.
    ignore_fence : bool
        Orders are accepted with any fencing token.
    order_delay_s : float
        Seconds until an order takes effect.
    """

    crash_marker: str = ""
    draining: bool = False
    cut_next: int = Field(default=0, ge=0)
    cut_after_tokens: int = Field(default=0, ge=0)
    stall_next: int = Field(default=0, ge=0)
    stall_after_tokens: int = Field(default=0, ge=0)
    swap_next: int = Field(default=0, ge=0)
    slowdown: float = Field(default=1.0, gt=0)
    events_lost_next: int = Field(default=0, ge=0)
    events_lag_s: float | None = Field(default=None, ge=0)
    load_lag_s: float | None = Field(default=None, ge=0, le=60)
    free_in_export_next: int = Field(default=0, ge=0)
    corrupt_export_next: int = Field(default=0, ge=0)
    corrupt_import_next: int = Field(default=0, ge=0)
    wrong_commit_next: int = Field(default=0, ge=0)
    ignore_fence: bool = False
    order_delay_s: float = Field(default=0.0, ge=0)


class StoreFaults(CommonFaults):
    """Faults of a store instance.

    Attributes
    ----------
    full : bool
        Every block write is refused with 507.
    link_slowdown : float
        Factor on the duration of transfers.
    die_after_blocks : int or None
        Number of further block transfers that succeed; the process exits at the next.
    truncate_next, corrupt_next : int
        Numbers of block reads that return truncated or altered bytes.
    freed_next : int
        Number of block reads that find the block freed and its space reused with a
        later generation.
    missing_next : int
        Number of block reads that find the block missing.
    torn_write_next : int
        Number of block writes that store only half of the bytes and report success.
    manifest_without_blocks_next : int
        Number of manifest writes that are accepted unchecked and their blocks freed.
    """

    full: bool = False
    link_slowdown: float = Field(default=1.0, gt=0)
    die_after_blocks: int | None = Field(default=None, ge=0)
    truncate_next: int = Field(default=0, ge=0)
    corrupt_next: int = Field(default=0, ge=0)
    freed_next: int = Field(default=0, ge=0)
    missing_next: int = Field(default=0, ge=0)
    torn_write_next: int = Field(default=0, ge=0)
    manifest_without_blocks_next: int = Field(default=0, ge=0)


class WeightFaults(CommonFaults):
    """Faults of the weight store.

    Attributes
    ----------
    slowdown : float
        Factor on the duration of transfers.
    truncate_next : int
        Number of responses that end after half of their bytes.
    """

    slowdown: float = Field(default=1.0, gt=0)
    truncate_next: int = Field(default=0, ge=0)


class BookingFaults(CommonFaults):
    """Faults of the booking service.

    Attributes
    ----------
    lose_before_run_next : int
        Number of requests that are not run; their connection is closed.
    run_late_next : int
        Number of requests that are run ``late_s`` after their connection is closed.
    late_s : float
        Seconds until a request of ``run_late_next`` is run.
    run_delay_s : float
        Seconds before each run; a request is run even if its client has disconnected.
    """

    lose_before_run_next: int = Field(default=0, ge=0)
    run_late_next: int = Field(default=0, ge=0)
    late_s: float = Field(default=1.0, ge=0)
    run_delay_s: float = Field(default=0.0, ge=0)


__all__ = [
    "BookingFaults",
    "CommonFaults",
    "EngineFaults",
    "ObjectApiFaults",
    "StoreFaults",
    "WeightFaults",
]
