"""One try of a non-repeatable operation by this process."""

from uuid import uuid4

from chivesaddle.actions.record import ActionRequest
from chivesaddle.actions.results import ActionResult
from chivesaddle.core.errors import ChivesaddleError


class SentTwice(ChivesaddleError):
    """An attempt was about to be sent a second time; a defect of this program."""

    code = "sent_twice"


class Attempt:
    """State that only the process that made the attempt has.

    Attributes
    ----------
    id : str
        Random, unique to this try.
    result : ActionResult or None
        What the holder knows while it is not yet recorded.
    send_by : float
        Nothing is sent at or after this time, in seconds on the own clock.
    """

    def __init__(self, request: ActionRequest) -> None:
        self.id = uuid4().hex
        self.request = request
        self.result: ActionResult | None = None
        self.send_by = 0.0
        self._met_another = False
        self._given_up = False
        self._claiming = False
        self._sent = False

    @property
    def given_up(self) -> bool:
        """True once the caller was told that this attempt does not run."""
        return self._given_up

    def meet_another(self) -> None:
        """Note that the key has a record of another attempt."""
        self._met_another = True

    def own_record(self) -> None:
        """Note that the record of the key is now of this attempt."""
        self._met_another = False

    def start_claiming(self, send_by: float) -> None:
        """Note that the update to ``sending`` is about to be issued."""
        self._claiming = True
        self.send_by = send_by

    def give_up(self) -> ActionResult:
        """Return the answer when nothing more is known; the attempt may end here.

        Before the update to ``sending`` was issued, the attempt is given up for good
        and was certainly not run. If the key has a record of another attempt that
        could not be read, that one may have run.
        """
        if self.result:
            return self.result
        if self._claiming:
            return ActionResult.in_doubt(self.id)
        self._given_up = True
        if self._met_another:
            return ActionResult.in_doubt()
        return ActionResult.not_run(self.id)

    def withdraw_claim(self) -> ActionResult:
        """Give up after the update to ``sending`` certainly had no effect."""
        self._claiming = False
        return self.give_up()

    def take_send(self) -> None:
        """Use the only right to send.

        Raises
        ------
        SentTwice
            At the second call.
        """
        if self._sent:
            raise SentTwice(f"Attempt {self.id} was already sent")
        self._sent = True


__all__ = ["Attempt", "SentTwice"]
