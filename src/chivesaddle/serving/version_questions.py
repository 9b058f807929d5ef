"""Asks other daemons which software versions a service has, and answers them."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from chivesaddle.core.aio import Clock, Signal, log_failure, start, with_deadline
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.core.ids import ServiceId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.fleet import Member, Members, PeerDatagrams, ReplicaReader, WorkingSet
from chivesaddle.placement import SoftwareHistory, rendezvous_order
from chivesaddle.serving.notices import OriginQuestion, VersionsAnswer

# Daemons that are asked; in a larger fleet those that hold the stream's origin first.
MAX_ASKED = 16
# Versions in one answer, which has to fit into a datagram. Two are enough to refuse.
MAX_VERSIONS = 4
# A peer that reads the store answers within this time, whether it succeeded or not.
PEER_READ_TIMEOUT_S = 0.15

log = ComponentLogger("software")


@dataclass
class VersionsQuestion:
    """A question to other daemons, and what they have answered.

    Attributes
    ----------
    asked : sequence of Member
        The daemons that were asked.
    answered : set of str
        Those that have answered.
    tried : set of str
        Those that have read the store, or tried to, for this question.
    is_confirmed : bool
        Whether one of them succeeded.
    """

    number: int
    service: ServiceId
    key: int
    asked: Sequence[Member]
    answered: set[str] = field(default_factory=set)
    tried: set[str] = field(default_factory=set)
    is_confirmed: bool = False
    changed: Signal = field(default_factory=Signal)


class VersionQuestions:
    """Asks peers for the versions of a service, and answers their questions.

    Parameters
    ----------
    clock : Clock
        Clock of deadlines.
    members : Members
        Registered daemons.
    working_set : WorkingSet
        The daemons that take callers.
    datagrams : PeerDatagrams
        Carries questions and answers.
    software : SoftwareHistory
        Versions that this daemon knows; gets those that peers know.
    reader : ReplicaReader
        Reads the list of servers for a peer.
    may_answer : callable
        Returns whether this daemon knows which versions have left.
    may_confirm : callable
        Returns whether the store lists all servers.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        working_set: WorkingSet,
        datagrams: PeerDatagrams,
        software: SoftwareHistory,
        reader: ReplicaReader,
        may_answer: Callable[[], bool],
        may_confirm: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._members = members
        self._working_set = working_set
        self._datagrams = datagrams
        self._software = software
        self._reader = reader
        self._may_answer = may_answer
        self._may_confirm = may_confirm
        # An answer to a question of an earlier process must not count.
        self._last_number = random.getrandbits(48)
        self._open_by_number: dict[int, VersionsQuestion] = {}
        datagrams.add_handler(VersionsAnswer, self._handle_answer)

    def open(self, service: ServiceId, key: int) -> VersionsQuestion:
        """Return a new question, to be closed later."""
        self._last_number += 1
        asked = choose_asked(self._members, self._working_set, key)
        question = VersionsQuestion(self._last_number, service, key, asked)
        self._open_by_number[question.number] = question
        return question

    def close(self, question: VersionsQuestion) -> None:
        """Ignore further answers to a question."""
        del self._open_by_number[question.number]

    def send(self, question: VersionsQuestion, reads_store: bool) -> None:
        """Ask all that have not answered, or not after they read the store."""
        done = question.tried if reads_store else question.answered
        receivers = [member for member in question.asked if member.id not in done]
        message = OriginQuestion(
            self._members.own.id,
            question.key,
            question.number,
            question.service,
            reads_store,
        )
        self._datagrams.send(message, receivers)

    async def wait(
        self,
        question: VersionsQuestion,
        is_enough: Callable[[VersionsQuestion], bool],
        deadline: float,
    ) -> bool:
        """Wait for answers; return whether there are enough before the deadline."""
        while not is_enough(question):
            changed = question.changed.wait()
            try:
                await with_deadline(self._clock, deadline, changed, "versions")
            except DeadlineExceeded:
                return False
        return True

    def answer(self, question: OriginQuestion) -> None:
        """Answer a peer's question for versions."""
        asking = [m for m in self._members.peers() if m.id == question.daemon]
        if not asking or not self._may_answer():
            return
        if question.reads_store:
            answering = start(self._read_and_answer(question, asking[0]))
            answering.addErrback(log_failure(log, "versions not answered"))
        else:
            self._send_answer(question, asking[0])

    async def _read_and_answer(self, question: OriginQuestion, peer: Member) -> None:
        deadline = self._clock.seconds() + PEER_READ_TIMEOUT_S
        try:
            is_read = await with_deadline(
                self._clock, deadline, self._reader.read(), "reading servers"
            )
        except DeadlineExceeded:
            is_read = False
        is_confirmed = is_read and self._may_confirm()
        self._send_answer(question, peer, has_tried=True, is_confirmed=is_confirmed)

    def _send_answer(
        self,
        question: OriginQuestion,
        peer: Member,
        *,
        has_tried: bool = False,
        is_confirmed: bool = False,
    ) -> None:
        versions = self._software.reports(ServiceId(question.service))
        answer = VersionsAnswer(
            self._members.own.id,
            question.number,
            versions[:MAX_VERSIONS],
            has_tried,
            is_confirmed,
        )
        self._datagrams.send(answer, [peer])

    def _handle_answer(self, answer: VersionsAnswer) -> None:
        self._software.apply_reports(answer.versions)
        question = self._open_by_number.get(answer.number)
        if question is None:
            return
        question.answered.add(answer.daemon)
        if answer.has_tried:
            question.tried.add(answer.daemon)
        question.is_confirmed = question.is_confirmed or answer.is_confirmed
        question.changed.set()


def choose_asked(
    members: Members, working_set: WorkingSet, key: int
) -> Sequence[Member]:
    """Return the daemons to ask about a stream, all others in a small fleet.

    A daemon that was cut off or frozen does not know yet which ones are running.
    """
    peers = members.peers() if working_set.is_whole_fleet else working_set.peers()
    peers_by_id = {m.id: m for m in peers if not members.has_left(m.id)}
    order = rendezvous_order(str(key), peers_by_id)
    return [peers_by_id[id] for id in order[:MAX_ASKED]]


__all__ = ["VersionQuestions", "VersionsQuestion", "choose_asked"]
