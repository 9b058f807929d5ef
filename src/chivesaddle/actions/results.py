"""Results that callers of non-repeatable operations receive."""

from dataclasses import dataclass

from chivesaddle.actions.record import ActionRecord, ActionState, Outcome

NOT_RUN_RETRY_AFTER_S = 1.0
IN_DOUBT_RETRY_AFTER_S = 5.0


@dataclass(frozen=True)
class ActionResult:
    """State of an action as returned to its caller.

    Attributes
    ----------
    status : int
        HTTP status: the service's own when done, 503 when not run, else 409.
    body : bytes
        The service's response body when done, else empty.
    retry_after_s : float or None
        Seconds after which a retry with the same key may give a newer state.
    attempt : str
        Identifier of the recorded attempt; empty if not known.
    """

    state: ActionState
    status: int
    body: bytes = b""
    retry_after_s: float | None = None
    attempt: str = ""

    @property
    def code(self) -> str:
        """Error code for the caller; empty when done."""
        return {
            ActionState.DONE: "",
            ActionState.NOT_RUN: "not_run",
            ActionState.IN_DOUBT: "action_in_doubt",
        }.get(self.state, "action_in_progress")

    @classmethod
    def done(cls, outcome: Outcome, attempt: str = "") -> "ActionResult":
        """Return the result that carries the service's response."""
        return cls(ActionState.DONE, outcome.status, outcome.body, attempt=attempt)

    @classmethod
    def not_run(cls, attempt: str = "") -> "ActionResult":
        """Return the result of an attempt that was not and will not be sent."""
        return cls(
            ActionState.NOT_RUN,
            503,
            retry_after_s=NOT_RUN_RETRY_AFTER_S,
            attempt=attempt,
        )

    @classmethod
    def in_doubt(cls, attempt: str = "") -> "ActionResult":
        """Return the result of an action that may have run."""
        return cls(
            ActionState.IN_DOUBT,
            409,
            retry_after_s=IN_DOUBT_RETRY_AFTER_S,
            attempt=attempt,
        )

    @classmethod
    def in_progress(cls, record: ActionRecord, retry_after_s: float) -> "ActionResult":
        """Return the result of an action that another holder is running."""
        return cls(
            record.state, 409, retry_after_s=retry_after_s, attempt=record.attempt
        )

    @classmethod
    def from_record(cls, record: ActionRecord) -> "ActionResult":
        """Return the result of a record; in doubt unless it is done or not run."""
        match record.state:
            case ActionState.DONE if record.outcome:
                return cls.done(record.outcome, record.attempt)
            case ActionState.NOT_RUN:
                return cls.not_run(record.attempt)
        return cls.in_doubt(record.attempt)


__all__ = ["ActionResult"]
