"""The stored record of an action and its state transitions."""

import base64
import contextlib
import hashlib
import json
from dataclasses import asdict, dataclass, replace
from enum import Enum
from typing import Any

from automat import MethodicalMachine, NoTransition

from chivesaddle.actions.errors import ForbiddenTransition, IdempotencyKeyReused
from chivesaddle.core.ids import AccountId, DaemonId, IdempotencyKey, ServiceId

KIND = "actions"


class ActionState(Enum):
    """State of an action."""

    PREPARED = "prepared"
    SENDING = "sending"
    DONE = "done"
    NOT_RUN = "not_run"
    IN_DOUBT = "in_doubt"


class Step(Enum):
    """A state transition; the values are the input names of the state machine."""

    PREPARE = "prepare"
    START_SENDING = "start_sending"
    FINISH = "finish"
    GIVE_UP = "give_up"
    DOUBT = "doubt"


class _Transitions:
    """State machine of the allowed steps; starts at the state of a stored record."""

    _machine = MethodicalMachine()

    @_machine.state(serialized=ActionState.PREPARED, initial=True)
    def _prepared(self) -> None:
        """The holder may claim the right to send."""

    @_machine.state(serialized=ActionState.SENDING)
    def _sending(self) -> None:
        """The holder may have sent the attempt."""

    @_machine.state(serialized=ActionState.DONE)
    def _done(self) -> None:
        """The outcome is recorded."""

    @_machine.state(serialized=ActionState.NOT_RUN)
    def _not_run(self) -> None:
        """The attempt was never sent."""

    @_machine.state(serialized=ActionState.IN_DOUBT)
    def _in_doubt(self) -> None:
        """The attempt may have run."""

    @_machine.input()
    def prepare(self) -> None:
        """Start a new attempt."""

    @_machine.input()
    def start_sending(self) -> None:
        """Claim the right to send once."""

    @_machine.input()
    def finish(self) -> None:
        """Record the outcome."""

    @_machine.input()
    def give_up(self) -> None:
        """Record that the attempt was not sent."""

    @_machine.input()
    def doubt(self) -> None:
        """Record that the attempt may have run."""

    @_machine.serializer()
    def state(self, state: ActionState) -> ActionState:
        """Return the current state."""
        return state

    @_machine.unserializer()
    def restore(self, state: ActionState) -> ActionState:
        """Continue from ``state``."""
        return state

    _prepared.upon(prepare, enter=_prepared, outputs=[])
    _prepared.upon(start_sending, enter=_sending, outputs=[])
    _prepared.upon(give_up, enter=_not_run, outputs=[])
    _sending.upon(finish, enter=_done, outputs=[])
    _sending.upon(give_up, enter=_not_run, outputs=[])
    _sending.upon(doubt, enter=_in_doubt, outputs=[])
    _in_doubt.upon(finish, enter=_done, outputs=[])
    _in_doubt.upon(give_up, enter=_not_run, outputs=[])
    _not_run.upon(prepare, enter=_prepared, outputs=[])
    # Only the holder takes this step, when it receives the response of an attempt that
    # an operator has resolved as not_run. Without it the next attempt would run the
    # operation a second time.
    _not_run.upon(finish, enter=_done, outputs=[])


def next_state(state: ActionState, step: Step) -> ActionState:
    """Return the state after ``step``.

    Raises
    ------
    ForbiddenTransition
        If the step is not allowed from ``state``.

    Examples
    --------
    >>> next_state(ActionState.PREPARED, Step.START_SENDING)
    <ActionState.SENDING: 'sending'>
    """
    transitions = _Transitions()
    transitions.restore(state)
    try:
        getattr(transitions, step.value)()
    except NoTransition:
        raise ForbiddenTransition(
            f"An action that is {state.value} cannot take the step {step.value}",
            remedy="Read the action again and decide from its current state",
        ) from None
    return transitions.state()


@dataclass(frozen=True)
class Outcome:
    """A complete response of a service."""

    status: int
    body: bytes
    resolved_by: str = ""

    def to_json(self) -> dict[str, Any]:
        """Return JSON values; base64 bounds the stored size of the body."""
        encoded = base64.b64encode(self.body).decode()
        return {
            "status": self.status,
            "body_base64": encoded,
            "resolved_by": self.resolved_by,
        }

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> "Outcome":
        """Build an outcome from the result of `to_json`."""
        body = base64.b64decode(data["body_base64"])
        return cls(data["status"], body, data["resolved_by"])


@dataclass(frozen=True)
class ActionRequest:
    """A caller's request under one idempotency key.

    Attributes
    ----------
    deadline : float
        Latest time of the result, in seconds on the daemon's clock.
    """

    account_id: AccountId
    key: IdempotencyKey
    service: ServiceId
    operation: str
    body: bytes
    deadline: float

    @property
    def name(self) -> str:
        """Name of the record."""
        return record_name(self.account_id, self.key)

    def is_same_as(self, other: "ActionRequest") -> bool:
        """Return whether the other request asks for the same operation."""
        return self.fingerprint == other.fingerprint

    @property
    def fingerprint(self) -> tuple[ServiceId, str, str]:
        """The part that must be equal in all requests under one key."""
        return self.service, self.operation, body_digest(self.body)


@dataclass(frozen=True)
class ActionRecord:
    """Value of an object of kind ``actions``."""

    state: ActionState
    attempt: str
    holder: DaemonId
    service: ServiceId
    operation: str
    body_digest: str
    outcome: Outcome | None = None

    @classmethod
    def prepared(
        cls, request: ActionRequest, attempt: str, holder: DaemonId
    ) -> "ActionRecord":
        """Return the first record of a new attempt."""
        return cls(
            ActionState.PREPARED,
            attempt,
            holder,
            request.service,
            request.operation,
            body_digest(request.body),
        )

    def after(self, step: Step, outcome: Outcome | None = None) -> "ActionRecord":
        """Return the record after a step other than `Step.PREPARE`.

        Raises
        ------
        ForbiddenTransition
            If the step is not allowed.
        """
        return replace(self, state=next_state(self.state, step), outcome=outcome)

    def check_same_request(self, request: ActionRequest) -> None:
        """Raise `IdempotencyKeyReused` if the record is for a different request."""
        if request.fingerprint != (self.service, self.operation, self.body_digest):
            raise IdempotencyKeyReused(
                f"Idempotency key {request.key!r} was used for a different request",
                remedy="Use a new key for each distinct request",
            )

    def to_value(self) -> dict[str, Any]:
        """Return the stored form."""
        return asdict(self) | {
            "state": self.state.value,
            "outcome": self.outcome.to_json() if self.outcome else None,
        }

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "ActionRecord":
        """Build a record from its stored form."""
        outcome = value["outcome"]
        return cls(
            **{
                **value,
                "state": ActionState(value["state"]),
                "outcome": Outcome.from_json(outcome) if outcome else None,
            }
        )


def record_name(account_id: AccountId, key: IdempotencyKey) -> str:
    """Return the name of a key's record; JSON makes the pair unambiguous."""
    return hashlib.sha256(json.dumps([account_id, key]).encode()).hexdigest()


def body_digest(body: bytes) -> str:
    """Return the digest of a body; spacing and key order of JSON are ignored.

    Examples
    --------
    >>> body_digest(b'{"a": 1, "b": 2}') == body_digest(b'{"b":2,"a":1}')
    True
    """
    with contextlib.suppress(ValueError):
        body = json.dumps(json.loads(body), sort_keys=True).encode()
    return hashlib.sha256(body).hexdigest()


__all__ = [
    "KIND",
    "ActionRecord",
    "ActionRequest",
    "ActionState",
    "Outcome",
    "Step",
    "body_digest",
    "next_state",
    "record_name",
]
