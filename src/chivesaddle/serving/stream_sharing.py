"""Tells other daemons where streams began, and asks them."""

from collections.abc import Sequence

from chivesaddle.core.aio import Clock
from chivesaddle.fleet import Member, Members, NoticeSender, PeerDatagrams, WorkingSet
from chivesaddle.forwarding import OriginReport, StreamOrigins
from chivesaddle.placement import rendezvous_order
from chivesaddle.serving.notices import OriginNotice, OriginQuestion
from chivesaddle.serving.version_questions import VersionQuestions, choose_asked

# Daemons besides its own that know where a stream began. Half of the fleet may fail at
# once.
HOLDERS = 3


class StreamSharing:
    """Connects `StreamOrigins` to those of the other daemons.

    Parameters
    ----------
    clock : Clock
        Clock that delays batches.
    members : Members
        Registered daemons.
    working_set : WorkingSet
        The daemons that take callers.
    datagrams : PeerDatagrams
        Carries questions and origins.
    origins : StreamOrigins
        Origins that this daemon knows.
    versions : VersionQuestions or None
        Answers questions for software versions, which come with those for origins.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        working_set: WorkingSet,
        datagrams: PeerDatagrams,
        origins: StreamOrigins,
        versions: VersionQuestions | None = None,
    ) -> None:
        self._members = members
        self._working_set = working_set
        self._datagrams = datagrams
        self._origins = origins
        self._versions = versions
        self._sender = NoticeSender(
            clock,
            working_set,
            datagrams,
            OriginNotice,
            origins.apply_reports,
            _choose_holders,
        )
        datagrams.add_handler(OriginQuestion, self._answer)
        origins.add_listener(self._sender.send)
        origins.on_question = self._ask

    def stop(self) -> None:
        """Drop what was not sent yet."""
        self._sender.stop()

    def _ask(self, key: int) -> None:
        asked = choose_asked(self._members, self._working_set, key)
        self._datagrams.send(OriginQuestion(self._members.own.id, key), asked)

    def _answer(self, question: OriginQuestion) -> None:
        reports = self._origins.reports([question.key])
        if reports:
            asking = [m for m in self._members.peers() if m.id == question.daemon]
            self._datagrams.send(OriginNotice(reports), asking)
        if question.number and self._versions is not None:
            self._versions.answer(question)


def _choose_holders(report: OriginReport, peers: Sequence[Member]) -> Sequence[Member]:
    return _in_order(report.key, peers)[:HOLDERS]


def _in_order(key: int, peers: Sequence[Member]) -> list[Member]:
    peers_by_id = {member.id: member for member in peers}
    return [peers_by_id[id] for id in rendezvous_order(str(key), peers_by_id)]


__all__ = ["StreamSharing"]
