"""Asks other daemons whether a service answers them, and answers their questions.

Beacons say so only of services that are in use. While most daemons of a fleet reach no
server, the few others may have too few requests for that.
"""

import math
import random

from chivesaddle.core.aio import Clock, log_failure, start
from chivesaddle.core.ids import ServiceId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.fleet import Member, Members, PeerDatagrams, WorkingSet
from chivesaddle.fleet.beacons import server_hash
from chivesaddle.serving.notices import AnswerQuestion, AnswerReport
from chivesaddle.serving.peer_paths import FleetPaths
from chivesaddle.serving.silent_paths import SilentPaths

# Below the time for which a report counts as evidence.
ASK_INTERVAL_S = 0.3
# Daemons that are asked at once; over half of them may be cut off as well.
MAX_ASKED = 16

log = ComponentLogger("paths")


class AnswerQuestions:
    """Lets daemons find out that only they get no byte of a service.

    Parameters
    ----------
    clock : Clock
        Clock of the intervals.
    members : Members
        Registered daemons.
    working_set : WorkingSet
        The daemons that take callers, which are asked.
    datagrams : PeerDatagrams
        Carries questions and answers.
    silent_paths : SilentPaths
        Says when to ask, finds out what to answer, and gets the answers.
    paths : FleetPaths
        Gets the answers as well.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        working_set: WorkingSet,
        datagrams: PeerDatagrams,
        silent_paths: SilentPaths,
        paths: FleetPaths,
    ) -> None:
        self._clock = clock
        self._members = members
        self._working_set = working_set
        self._datagrams = datagrams
        self._silent_paths = silent_paths
        self._paths = paths
        self._random = random.Random()
        self._asked_at_by_service: dict[ServiceId, float] = {}
        silent_paths.on_silence = self.ask
        datagrams.add_handler(AnswerQuestion, self._handle_question)
        datagrams.add_handler(AnswerReport, self._handle_report)

    def ask(self, service: ServiceId) -> None:
        """Ask whether a service that is silent here answers others."""
        now = self._clock.seconds()
        if now - self._asked_at_by_service.get(service, -math.inf) < ASK_INTERVAL_S:
            return
        self._asked_at_by_service[service] = now
        peers = self._working_set.peers()
        asked = self._random.sample(peers, min(MAX_ASKED, len(peers)))
        log.info("asked whether a service answers", extra={"service": service})
        question = AnswerQuestion(self._members.own.id, server_hash(service))
        self._datagrams.send(question, asked)

    def _handle_question(self, question: AnswerQuestion) -> None:
        for peer in self._members.peers():
            if peer.id == question.daemon:
                answering = start(self._answer(question, peer))
                answering.addErrback(log_failure(log, "question not answered"))

    async def _answer(self, question: AnswerQuestion, peer: Member) -> None:
        if await self._silent_paths.is_answered(question.service):
            report = AnswerReport(self._members.own.id, question.service)
            self._datagrams.send(report, [peer])

    def _handle_report(self, report: AnswerReport) -> None:
        self._silent_paths.apply_answering_services([report.service])
        self._paths.record_answering(report.daemon, [report.service])


__all__ = ["AnswerQuestions"]
