"""Fault switches of each fake, set by ``PUT /control/faults``.

Switches that count (``*_next``) apply to that many of the following requests and then
switch themselves off.
"""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

WriteFaultName = Literal[
    "refused", "lost_before_effect", "lost_after_effect", "delayed"
]


class CommonFaults(BaseModel):
    """Switches that every fake has; unknown names are refused.

    Attributes
    ----------
    frozen : bool
        Nothing is answered and no work proceeds until the switch is off again.
    silent_connections : bool
        Connections open at this moment stay open but never carry data again; later
        connections work.
    refuse_next : int
        So many requests are answered with ``refuse_status``.
    refuse_status : int
        HTTP status of refused requests.
    answer_delay_s : float
        Seconds between carrying out a request and answering it.
    lose_answer_next : int
        So many requests are carried out and their connection is closed.
    """

    model_config = ConfigDict(extra="forbid")

    frozen: bool = False
    silent_connections: bool = False
    refuse_next: int = Field(default=0, ge=0)
    refuse_status: int = Field(default=503, ge=400, le=599)
    answer_delay_s: float = Field(default=0.0, ge=0)
    lose_answer_next: int = Field(default=0, ge=0)

    def use(self, name: str) -> bool:
        """Use up one of a counting switch; False if none is left."""
        left: int = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0


class ObjectApiFaults(CommonFaults):
    """Faults of the object API.

    Attributes
    ----------
    outage : bool
        Every call is answered with 503.
    delay_s : float
        Seconds before each call is carried out.
    writes : list
        What happens to the following writes, one entry each; None lets a write pass.
    late_effect_s : float
        Seconds until a delayed write takes effect.
    instances_lag_s : float or None
        Lag of the list of instances; None keeps that of the command line.
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
        The process ends as soon as it runs a prompt that contains this text.
    draining : bool
        New requests are refused with 503 and load reports say ``draining``.
    cut_next, cut_after_tokens : int
        So many streams are cut after that many tokens.
    stall_next, stall_after_tokens : int
        So many streams fall silent after that many tokens, connection left open.
    swap_next : int
        So many requests are answered with the stream of another running request.
    slowdown : float
        Factor by which prefill and decoding take longer.
    events_lost_next : int
        So many cache events are never published; their numbers are used up.
    events_lag_s, load_lag_s : float or None
        Lag of cache events and load reports; None keeps that of the command line.
    free_in_export_next : int
        So many exports find their middle block freed.
    corrupt_export_next : int
        So many exported blocks are sent with altered bytes.
    corrupt_import_next : int
        So many imported blocks are altered while they are staged.
    wrong_commit_next : int
        So many committed imports have one block altered after staging.
    ignore_fence : bool
        Orders are accepted whatever their fencing token.
    order_delay_s : float
        Seconds after which an order takes effect.
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
        Factor by which transfers take longer.
    die_after_blocks : int or None
        The process ends after so many further block transfers.
    truncate_next, corrupt_next : int
        So many block reads return too few or altered bytes.
    freed_next : int
        So many block reads find the block freed and reused under a later generation.
    missing_next : int
        So many block reads find the block gone.
    torn_write_next : int
        So many block writes keep only half of the bytes and report success.
    manifest_without_blocks_next : int
        So many manifest writes are accepted unchecked and their blocks dropped.
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
        Factor by which transfers take longer.
    truncate_next : int
        So many answers end after half of their bytes.
    """

    slowdown: float = Field(default=1.0, gt=0)
    truncate_next: int = Field(default=0, ge=0)


class BookingFaults(CommonFaults):
    """Faults of the booking service.

    Attributes
    ----------
    lose_before_run_next : int
        So many requests are dropped, connection closed, without being run.
    run_late_next : int
        So many requests are run ``late_s`` after their connection was closed.
    late_s : float
        Seconds until a late run.
    run_delay_s : float
        Seconds before each run; the run happens even if the caller has gone.
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
