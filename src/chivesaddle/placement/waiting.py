"""Requests that wait in this daemon until a model server has room for them.

A server that is sent more than its memory holds keeps the rest waiting, while the parts
that it cached or fetched for them are evicted and read again. That slows the runs,
which then hold their memory longer, and a service does not leave this state by itself.
So a request is sent only when its server has memory and a slot; the line goes by
urgency, and what cannot be served in time is refused on arrival.
"""

from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import Clock, DelayedCall
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import BackendServerId
from chivesaddle.core.logs import PartLogger
from chivesaddle.placement.choice import Candidate

# Reports of peers arrive ten times a second, and a server that loads weights is passed
# over for 0.3 s; more frequent looks find nothing new.
LOOK_S = 0.05
# Memory that left the line is counted over this long: about the time of one run.
RATE_WINDOW_S = 2.0
# A request that has waited for this share of the time to its target keeps smaller ones
# from its server, since they would take the room as soon as it appears.
RESERVE_AFTER_SHARE = 0.5
# Reservations leave half of the servers to requests that fit now. An answer that comes
# late is worth a fifth of one on time, so late requests get a fifth of the servers.
RESERVED_SHARE = 0.5
RESERVED_LATE_SHARE = 0.2

log = PartLogger("waiting")

# Chooses a server; takes those that are reserved for others.
ChooseServer = Callable[[Collection[BackendServerId]], Candidate]


class NoRoom(ChivesaddleError):
    """No server will have memory for the request in time; it was not sent."""

    code = "no_room"
    status = 503


@dataclass(frozen=True, slots=True)
class Claim:
    """What a request wants of the line.

    Attributes
    ----------
    tokens : int
        Memory that it takes of a server.
    rank : int
        0 is most urgent.
    wanted_by : float
        Time of its target for the first event.
    useless_after : float
        Time after which the caller has left.
    """

    tokens: int
    rank: int
    arrived_at: float
    wanted_by: float
    useless_after: float

    def is_late(self, now: float) -> bool:
        """Tell whether the target is missed already."""
        return now > self.wanted_by

    def order(self, now: float) -> tuple[bool, int, float]:
        """Return the place in the line; requests that are late anyway come last."""
        return self.is_late(now), self.rank, self.wanted_by

    def reserves(self, now: float) -> bool:
        """Tell whether the request has waited long enough to reserve a server."""
        target_s = self.wanted_by - self.arrived_at
        return now - self.arrived_at > RESERVE_AFTER_SHARE * target_s


@dataclass(eq=False, slots=True)
class _Waiting:
    claim: Claim
    choose: ChooseServer
    ready: Deferred[Candidate] = field(default_factory=Deferred)


class MemoryLine:
    """The line of one service on one daemon.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: list[_Waiting] = []
        self._sent: deque[tuple[float, int]] = deque()
        self._opened_at = clock.seconds()
        self._look: DelayedCall | None = None
        self._is_looking = False

    def __len__(self) -> int:
        return len(self._waiting)

    async def wait_for_room(self, claim: Claim, choose: ChooseServer) -> Candidate:
        """Return a server that has room for the request.

        Raises
        ------
        NoRoom
            On arrival if the line is too long, or once the request became useless.
        ChivesaddleError
            Whatever ``choose`` raises.
        """
        now = self._clock.seconds()
        candidate = choose(set(self._reserve().values()))
        if candidate.has_room:
            self._note_sent(claim)
            return candidate
        ahead = [w for w in self._waiting if w.claim.order(now) <= claim.order(now)]
        wait_s = self._predict_wait(sum(w.claim.tokens for w in ahead) + claim.tokens)
        if now + wait_s > claim.useless_after:
            raise NoRoom(
                f"{len(ahead)} requests wait for memory, about {wait_s:.1f} s",
                retry_after_s=wait_s,
            )
        entry = _Waiting(claim, choose)
        self._waiting.append(entry)
        self._schedule()
        try:
            return await entry.ready
        finally:
            if entry in self._waiting:
                self._waiting.remove(entry)

    def look(self) -> None:
        """Send what has room now; call when a server's load fell."""
        if self._is_looking or not self._waiting:
            return
        self._is_looking = True
        try:
            self._send_waiting()
        finally:
            self._is_looking = False

    def _send_waiting(self) -> None:
        now = self._clock.seconds()
        reserved = self._reserve()
        for entry in sorted(self._waiting, key=lambda w: w.claim.order(now)):
            if entry.ready.called:
                continue
            if now >= entry.claim.useless_after:
                self._end(entry, NoRoom("No server had memory in time"))
                continue
            others = {server for owner, server in reserved.items() if owner != entry}
            try:
                candidate = entry.choose(others)
            except ChivesaddleError as error:
                self._end(entry, error)
                continue
            if candidate.has_room:
                reserved.pop(entry, None)
                self._note_sent(entry.claim)
                self._end(entry, candidate)

    def _end(self, entry: _Waiting, result: Candidate | ChivesaddleError) -> None:
        self._waiting.remove(entry)
        if isinstance(result, ChivesaddleError):
            entry.ready.errback(result)
        else:
            # The request is sent, and counted at its server, before this returns.
            entry.ready.callback(result)

    def _reserve(self) -> dict[_Waiting, BackendServerId]:
        """Return the servers that those who have waited long enough wait for."""
        now = self._clock.seconds()
        reserved: dict[_Waiting, BackendServerId] = {}
        for entry in sorted(self._waiting, key=lambda w: w.claim.order(now)):
            if not entry.claim.reserves(now):
                continue
            try:
                wanted = entry.choose(set(reserved.values()))
            except ChivesaddleError as error:
                # Its own turn ends the request with this error.
                log.debug("no reservation", extra={"cause": str(error)})
                continue
            is_late = entry.claim.is_late(now)
            share = RESERVED_LATE_SHARE if is_late else RESERVED_SHARE
            if len(reserved) + 1 > share * wanted.alternatives:
                # Late requests come last, and their share is the smaller one.
                break
            reserved[entry] = wanted.server.entry.id
        return reserved

    def _note_sent(self, claim: Claim) -> None:
        now = self._clock.seconds()
        self._sent.append((now, claim.tokens))
        while self._sent and self._sent[0][0] < now - RATE_WINDOW_S:
            self._sent.popleft()

    def _predict_wait(self, tokens: int) -> float:
        """Return how long a request waits with ``tokens`` up to and including it."""
        now = self._clock.seconds()
        sent = sum(tokens for at, tokens in self._sent if at >= now - RATE_WINDOW_S)
        # Before a whole window has passed, too little has been sent to tell.
        if not sent or now - self._opened_at < RATE_WINDOW_S:
            return 0.0
        return tokens * RATE_WINDOW_S / sent

    def _schedule(self) -> None:
        if self._look is None or not self._look.active():
            self._look = self._clock.callLater(LOOK_S, self._look_again)

    def _look_again(self) -> None:
        self._look = None
        self.look()
        if self._waiting:
            self._schedule()


__all__ = ["ChooseServer", "Claim", "MemoryLine", "NoRoom"]
