"""Whether the software versions that a daemon knows are all that there are.

What a daemon has heard before says nothing of the time since: it may have been cut off
from the store or its peers, in one direction or both, or may have been frozen, a moment
ago. Only an answer to a question that was asked after a caller came back covers the
moment at which the caller's stream began.
"""

import math
from collections.abc import Callable

from chivesaddle.core.aio import Clock, Signal, with_deadline
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.core.ids import ServiceId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.fleet import Members, ReplicaReader, StoreReachability
from chivesaddle.placement import GONE_VERSION_RETENTION_S, SoftwareHistory
from chivesaddle.serving.version_questions import VersionQuestions, VersionsQuestion

# A daemon that started longer ago and has heard of no peer is the only one that runs.
FIRST_EXCHANGE_TIMEOUT_S = 3.0
# Time for the store's answer, after which peers are asked to read it.
READ_TIMEOUT_S = 0.15
# Time for the first answer of a peer, who may know of a version that came and left.
FIRST_ANSWER_TIMEOUT_S = 0.1
# Time for the answers of peers that read the store.
PEERS_READ_TIMEOUT_S = 0.25
# Share of the daemons that may be silent while no daemon reaches the store, and how
# many at most: as many hold a stream's origin, besides the daemon that began it.
MAX_SILENT_SHARE = 0.25
MAX_SILENT = 3

log = ComponentLogger("software")


class SoftwareView:
    """Tells whether the known software versions were all that there are.

    They are if the store, read after the question, lists no other, whether this daemon
    reads it or a peer does. While none can read it, nobody can have heard of a new
    version from it, and nearly all daemons have to answer that they know no other.

    Parameters
    ----------
    clock : Clock
        Clock of all ages.
    members : Members
        Registered daemons.
    software : SoftwareHistory
        Known versions.
    reachability : StoreReachability
        Whether this daemon reaches the store.
    reader : ReplicaReader
        Reads the list of servers.
    has_records : callable
        Returns whether this daemon, or one that told it, has read the records.
    may_confirm : callable
        Returns whether the store lists all servers, as it does unless it has just
        returned from a copy.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        software: SoftwareHistory,
        reachability: StoreReachability,
        reader: ReplicaReader,
        has_records: Callable[[], bool],
        may_confirm: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._members = members
        self._software = software
        self._reachability = reachability
        self._reader = reader
        self._has_records = has_records
        self._may_confirm = may_confirm
        self._started_at = clock.seconds()
        # When the list of servers was last read without its history, minus infinity
        # once a peer has told which versions left in between.
        self._gap_at = -math.inf
        # Set once peers can be asked.
        self.questions: VersionQuestions | None = None

    def knows_history(self) -> bool:
        """Return whether this daemon knows which versions had left when it started."""
        if not self._has_records():
            return False
        if self._software.has_heard_peers or not self._members.peers():
            return True
        is_new = self._clock.seconds() - self._started_at < FIRST_EXCHANGE_TIMEOUT_S
        return not is_new and not self._members.serving_peers()

    def record_gap(self) -> None:
        """Record that servers may have been listed and removed unnoticed."""
        self._gap_at = self._clock.seconds()

    async def confirm(self, service: ServiceId, key: int) -> bool:
        """Return whether no version can have come or left unnoticed until now.

        What the store or peers know besides is applied to the known versions first.

        Parameters
        ----------
        key : int
            Key of the stream whose origin the peers may know, 0 without any.
        """
        if not self.knows_history() or self.questions is None:
            return False
        question = self.questions.open(service, key)
        try:
            return await self._confirm(self.questions, question)
        finally:
            self.questions.close(question)

    async def _confirm(
        self, questions: VersionQuestions, question: VersionsQuestion
    ) -> bool:
        asked_at = self._clock.seconds()
        is_store_lost = self._reachability.unreachable_since is not None
        questions.send(question, reads_store=is_store_lost)
        if await self._read(question) and self._may_confirm():
            await questions.wait(
                question,
                lambda q: bool(q.answered) or not q.asked,
                asked_at + FIRST_ANSWER_TIMEOUT_S,
            )
            if question.answered:
                self._gap_at = -math.inf
            oldest = self._clock.seconds() - GONE_VERSION_RETENTION_S
            return not question.asked or self._gap_at < oldest
        if question.is_confirmed:
            return True
        if not is_store_lost:
            questions.send(question, reads_store=True)
        is_confirmed = await questions.wait(
            question, _is_confirmed, self._clock.seconds() + PEERS_READ_TIMEOUT_S
        )
        log.info(
            "versions confirmed by peers" if is_confirmed else "versions not confirmed",
            extra={
                "service": question.service,
                "asked": len(question.asked),
                "answered": len(question.answered),
                "tried": len(question.tried),
                "confirmed": question.is_confirmed,
            },
        )
        return is_confirmed

    async def _read(self, question: VersionsQuestion) -> bool:
        """Read the store, unless a peer has; return whether this daemon succeeded."""
        result: list[bool] = []
        # Set when the read ends or a peer answers.
        changed: Signal = question.changed
        reading = self._reader.read()

        def finish(is_read: bool) -> None:
            result.append(is_read)
            changed.set()

        reading.addCallback(finish)
        deadline = self._clock.seconds() + READ_TIMEOUT_S
        while not result and not question.is_confirmed:
            try:
                await with_deadline(self._clock, deadline, changed.wait(), "read")
            except DeadlineExceeded:
                return False
        return result == [True]


def _is_confirmed(question: VersionsQuestion) -> bool:
    if question.is_confirmed:
        return True
    # This daemon counts as one that has tried.
    allowed = min(MAX_SILENT, int(len(question.asked) * MAX_SILENT_SHARE))
    silent = len(question.asked) - len(question.tried)
    return bool(question.asked) and silent <= allowed


__all__ = ["SoftwareView"]
