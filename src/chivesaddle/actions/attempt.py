"""One attempt by this process to run a non-repeatable operation."""

from uuid import uuid4

from chivesaddle.actions.record import ActionRequest
from chivesaddle.actions.results import ActionResult
from chivesaddle.core.errors import ChivesaddleError


class SentTwice(ChivesaddleError):
    """An attempt was about to be sent a second time, which is a programming error."""

    code = "sent_twice"


class Attempt:
    """In-memory state of an attempt; only the process that made it has this state.

    Attributes
    ----------
    id : str
        Random identifier, unique to this attempt.
    result : ActionResult or None
        The result of a response that is not recorded yet.
    send_deadline : float
        Nothing is sent at or after this time, in seconds on this daemon's clock.
    """

    def __init__(self, request: ActionRequest) -> None:
        self.id = uuid4().hex
        self.request = request
        self.result: ActionResult | None = None
        self.send_deadline = 0.0
        self._other_attempt_seen = False
        self._given_up = False
        self._claim_issued = False
        self._sent = False

    @property
    def is_given_up(self) -> bool:
        """Whether the attempt was given up, so that it will not be sent."""
        return self._given_up

    def note_other_attempt(self) -> None:
        """Note that the record of the key belongs to another attempt."""
        self._other_attempt_seen = True

    def note_own_record(self) -> None:
        """Note that the record of the key now belongs to this attempt."""
        self._other_attempt_seen = False

    def begin_claim(self, send_deadline: float) -> None:
        """Note that the update of the record to ``sending`` is about to be issued."""
        self._claim_issued = True
        self.send_deadline = send_deadline

    def give_up(self) -> ActionResult:
        """Return the result known so far; give up the attempt if it was not claimed.

        If the update to ``sending`` was not issued yet, the attempt is given up for
        good and has certainly not run. If the record belongs to another attempt that
        could not be read, the other attempt may have run.
        """
        if self.result:
            return self.result
        if self._claim_issued:
            return ActionResult.in_doubt(self.id)
        self._given_up = True
        if self._other_attempt_seen:
            return ActionResult.in_doubt()
        return ActionResult.not_run(self.id)

    def withdraw_claim(self) -> ActionResult:
        """Give up the attempt; the update to ``sending`` certainly had no effect."""
        self._claim_issued = False
        return self.give_up()

    def mark_sent(self) -> None:
        """Note that the attempt is being sent, which is allowed only once.

        Raises
        ------
        SentTwice
            If the attempt was already sent.
        """
        if self._sent:
            raise SentTwice(f"Attempt {self.id} was already sent")
        self._sent = True


__all__ = ["Attempt", "SentTwice"]
