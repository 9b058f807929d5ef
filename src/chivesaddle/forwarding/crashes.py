"""Detection of requests and prompt parts that crash the servers that run them.

The caller repeats such a request with the same path, account and body. The request is
recognized by a fingerprint of these, and blocked on all daemons once three servers have
crashed under it. A prompt part that crashes servers comes in requests that are never
alike, so that parts have fingerprints and crashes of their own; `blame` decides which
part is the cause. All daemons keep one record: they send each other every suspected and
every confirmed crash, and merge what they receive in any order.
"""

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import BackendServerId, Fingerprint, RequestId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.serving_model import ServerEntry
from chivesaddle.forwarding.blame import (
    MIN_CRASHES,
    CrashId,
    CrashingParts,
    PartEvidence,
    find_crashing_parts,
)
from chivesaddle.forwarding.crash_history import (
    ANSWERED_RETENTION_S,
    CRASH_RETENTION_S,
    Crash,
    CrashHistory,
    CrashReport,
    CrashState,
    RecentAnswers,
)
from chivesaddle.forwarding.suspects import (
    CrashSuspects,
    fingerprint,
    is_part,
    part_fingerprint,
)

# Crashes after which a request is blocked. A harmless request may be running on one
# server that crashes for another reason, rarely on two.
BLOCK_AFTER_CRASHES = MIN_CRASHES
# Time after which a copy of a request that waits for the result of others may return.
# Runs that crash a server do so within a fraction of a second.
CONCURRENT_RETRY_AFTER_S = 0.3
# Fingerprints that are kept, and crashes of each of them.
MAX_FINGERPRINTS = 1_024
MAX_CRASHES_PER_FINGERPRINT = 16
# A response that goes on this long after a server is said to have crashed disproves
# the crash. Clocks and delays of the daemons that report differ by less.
DISPROVED_AFTER_S = 1.0
# Time after a crash until the first daemon tries a request with some of the parts that
# may be its cause, and until each further one does if the cause is still not known.
TRIAL_DELAY_S = 0.3
# Time in which a trial shows its result.
TRIAL_S = 1.0
# The crashing parts are determined again after this time, as crashes stop counting.
BLAME_LIFETIME_S = 0.5
# Peers are sent the blocked fingerprints and those that changed within this time, at
# most so many. A daemon that missed several rounds of the exchange still gets them.
SHARED_FOR_S = 30.0
MAX_SHARED_FINGERPRINTS = 32
# Crashes of one request or part after which they are recorded in the store. One crash
# is that of a server which had many requests.
MIN_RECORDED_CRASHES = 2
# Time for which they are kept there, so that a restart of all daemons ends a refusal
# that was a mistake before long.
RECORDED_FOR_S = 600.0
MAX_RECORDED_FINGERPRINTS = 64

log = ComponentLogger("crashes")


@dataclass(frozen=True, slots=True)
class CrashRefusal:
    """Why a request must not be sent to a server.

    Attributes
    ----------
    until : float
        Until when, in seconds of the daemon's clock.
    suspects : tuple of Fingerprint
        The request, or the parts, that crash servers or may do so.
    crashes : int
        Number of crashes that count against them.
    """

    until: float
    suspects: tuple[Fingerprint, ...]
    crashes: int


@dataclass(frozen=True, slots=True)
class _Trial:
    """A request that is sent to find out which of some parts is the cause."""

    request: Fingerprint
    until: float


class CrashRecord:
    """Servers that crashed under each request and part, as all daemons have seen them.

    A broken connection is a suspected crash. It is confirmed once any daemon finds the
    server unreachable, removed from the list or restarted, and expires otherwise: a
    server that only lost a response continues to run. A request that completes has
    crashed nothing, so its crashes are cleared. So are those of the parts of a request
    that a server answers, and all crashes of a server that continues its responses.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    knows_answers_since : float
        Since when this daemon knows what servers answer, in seconds of ``clock``. Minus
        infinity if nothing was answered before it started.

    Attributes
    ----------
    refused : int
        Number of refusals of requests and parts that crash servers.
    """

    def __init__(
        self, clock: Clock, knows_answers_since: float = float("-inf")
    ) -> None:
        self._clock = clock
        self._knows_answers_since = knows_answers_since
        # Called with what this daemon has observed, to send it to peers at once.
        self.on_report: Callable[[list[CrashReport]], None] = lambda reports: None
        # Called after a crash was confirmed, here or by a peer.
        self.on_confirmed: Callable[[], None] = lambda: None
        self._history_by_fingerprint: OrderedDict[Fingerprint, CrashHistory] = (
            OrderedDict()
        )
        # Suspects of the crashes that have not been cleared.
        self._suspects_by_crash: dict[CrashId, set[Fingerprint]] = {}
        self._runs_by_fingerprint: dict[Fingerprint, int] = {}
        # Apart from each other, since most requests come once.
        self._answered_requests = RecentAnswers()
        self._answered_parts = RecentAnswers()
        self._crashing_parts: list[CrashingParts] = []
        self._trials_by_part: dict[Fingerprint, _Trial] = {}
        # Position of this daemon among those that may try a part, None if it may not.
        self.trial_rank: Callable[[Fingerprint], int | None] = lambda part: 0
        self._crashes_of_blocked_requests: list[frozenset[CrashId]] = []
        self._determine_at = 0.0
        self.refused = 0

    def __len__(self) -> int:
        return len(self._history_by_fingerprint)

    def start_run(self, *keys: Fingerprint) -> None:
        """Record that a copy of the request is sent to a server."""
        for key in keys:
            self._runs_by_fingerprint[key] = self._runs_by_fingerprint.get(key, 0) + 1

    def end_run(self, *keys: Fingerprint) -> None:
        """Record that a copy of the request ended, or that its parts are answered."""
        for key in keys:
            runs = self._runs_by_fingerprint.pop(key) - 1
            if runs:
                self._runs_by_fingerprint[key] = runs

    def suspect(
        self,
        key: Fingerprint,
        server: ServerEntry,
        request_id: RequestId,
        parts: Sequence[Fingerprint] = (),
    ) -> None:
        """Record that the connection to a server broke while it ran a request.

        ``parts`` are the parts that the server had not begun to answer.
        """
        now = self._clock.seconds()
        for suspect in (key, *parts):
            if self._merge(
                suspect,
                (server.id, server.started_ms),
                CrashState.SUSPECTED,
                now,
                was_answered=self._was_answered(suspect, now),
                is_answer_known=self._knows_answers(now),
                is_own=True,
            ):
                self._report(suspect, (server.id, server.started_ms))
        log.info(
            "crash suspected",
            extra={
                "request": request_id,
                "server": server.id,
                "fingerprint": key,
                "crashes": self.count(key),
                "is_answer_known": self._is_answer_known(key),
                "crashes_by_part": {part: self.count(part) for part in parts},
            },
        )

    def confirm(self, server: BackendServerId) -> None:
        """Confirm the suspected crashes of a server that is found to be down."""
        now = self._clock.seconds()
        for crash_id, keys in list(self._suspects_by_crash.items()):
            if crash_id[0] != server:
                continue
            confirmed = [key for key in list(keys) if self._confirm(key, crash_id, now)]
            if confirmed:
                log.info(
                    "crash confirmed",
                    extra={
                        "server": server,
                        "crashes": {key: self.count(key) for key in confirmed[:16]},
                        "suspects": len(confirmed),
                    },
                )

    def _confirm(self, key: Fingerprint, crash_id: CrashId, now: float) -> bool:
        history = self._history_by_fingerprint.get(key)
        crash = history and history.crashes_by_server.get(crash_id)
        if (
            not crash
            or crash.state is not CrashState.SUSPECTED
            or crash.counts_until() <= now
        ):
            return False
        self._merge(key, crash_id, CrashState.CONFIRMED, crash.at)
        self._report(key, crash_id)
        return True

    def clear(self, key: Fingerprint) -> None:
        """Record that a server completed the request, so it does not crash servers."""
        history = self._history_by_fingerprint.get(key)
        if history is None or not history.count_ends(self._clock.seconds()):
            return
        for crash_id, crash in list(history.crashes_by_server.items()):
            self._clear_crash(key, crash_id, crash)
        log.info("crashes cleared", extra={"fingerprint": key})

    def record_completed(self, key: Fingerprint) -> None:
        """Record that a server completed a request."""
        self._answered_requests.record(key, self._clock.seconds())
        self.clear(key)

    def record_answered(self, parts: Iterable[Fingerprint]) -> None:
        """Record that a server answers a request with these parts."""
        now = self._clock.seconds()
        for part in parts:
            self._answered_parts.record(part, now)
            self.clear(part)

    def disprove(
        self, server: ServerEntry, connected_at: float, alive_at: float
    ) -> None:
        """Clear the crashes of a server that continued a response after them.

        Parameters
        ----------
        connected_at, alive_at : float
            When the response's connection was opened, and when bytes arrived on it.
        """
        crash_id = (server.id, server.started_ms)
        cleared = 0
        for key in list(self._suspects_by_crash.get(crash_id, ())):
            crash = self._history_by_fingerprint[key].crashes_by_server[crash_id]
            if connected_at < crash.at < alive_at - DISPROVED_AFTER_S:
                self._clear_crash(key, crash_id, crash)
                cleared += 1
        if cleared:
            log.info(
                "crash disproved", extra={"server": server.id, "suspects": cleared}
            )

    def _clear_crash(self, key: Fingerprint, crash_id: CrashId, crash: Crash) -> None:
        if crash.state is not CrashState.CLEARED:
            self._merge(key, crash_id, CrashState.CLEARED, crash.at)
            self._report(key, crash_id)

    def count(self, key: Fingerprint) -> int:
        """Return the number of crashes that count against the request or part."""
        history = self._history_by_fingerprint.get(key)
        return 0 if history is None else len(history.count_ends(self._clock.seconds()))

    def blocked_until(self, key: Fingerprint) -> float | None:
        """Return until when the request must not be sent to a server, None if it may.

        While a crash counts against the request, its running copies on this daemon are
        counted as if they crashed their servers as well.
        """
        return self._blocked_until(key, frozenset())

    def count_crashing_parts(self) -> int:
        """Return the number of prompt parts that are refused."""
        groups = self._determine_crashing_parts(self._clock.seconds())
        return sum(len(group.parts) for group in groups)

    def find_refusal(self, suspects: CrashSuspects) -> CrashRefusal | None:
        """Return why the request must not be sent to a server, None if it may."""
        refusal = self._find_refusal(suspects)
        self.refused += refusal is not None
        return refusal

    def _find_refusal(self, suspects: CrashSuspects) -> CrashRefusal | None:
        if not self._history_by_fingerprint:
            return None
        now = self._clock.seconds()
        crashing = self._determine_crashing_parts(now)
        for group in crashing:
            parts = group.parts.intersection(suspects.parts)
            if parts and not self._may_try(group, parts, suspects.request, now):
                until = now + CONCURRENT_RETRY_AFTER_S
                if parts == group.parts:
                    until = max(self._counts_until(part, now) for part in parts)
                return CrashRefusal(until, tuple(sorted(parts)), len(group.crashes))
        explained = frozenset().union(*(group.crashes for group in crashing))
        blocked_until = self._blocked_until(suspects.request, explained)
        if blocked_until is not None:
            crashes = self.count(suspects.request)
            return CrashRefusal(blocked_until, (suspects.request,), crashes)
        explained = explained.union(*self._crashes_of_blocked_requests)
        for part in suspects.parts:
            history = self._history_by_fingerprint.get(part)
            if history is None:
                continue
            blocked_until = self._blocked_until(part, explained)
            if blocked_until is not None:
                return CrashRefusal(blocked_until, (part,), self.count(part))
        return None

    def _find_blocked_requests(self, now: float) -> list[frozenset[CrashId]]:
        """Return the crashes of each request that is blocked."""
        return [
            frozenset(history.counting(now))
            for key, history in self._history_by_fingerprint.items()
            if not is_part(key)
            and len(history.crashes_by_server) >= BLOCK_AFTER_CRASHES
            and history.is_sufficient(now)
        ]

    def _may_try(
        self,
        group: CrashingParts,
        parts: frozenset[Fingerprint],
        request: Fingerprint,
        now: float,
    ) -> bool:
        """Return whether to send a request, to find out which part is the cause.

        One daemon after the other tries a request with some of the parts.
        """
        if parts == group.parts:
            return False
        running = [
            trial
            for part in group.parts
            if (trial := self._trials_by_part.get(part)) and trial.until > now
        ]
        if running:
            return all(trial.request == request for trial in running)
        rank = self.trial_rank(min(group.parts))
        if rank is None or now < group.last_crash_at + TRIAL_DELAY_S * (1 + rank):
            return False
        self._trials_by_part = dict.fromkeys(parts, _Trial(request, now + TRIAL_S)) | {
            part: trial
            for part, trial in self._trials_by_part.items()
            if trial.until > now
        }
        log.info(
            "part tried",
            extra={
                "fingerprint": request,
                "parts": sorted(parts),
                "suspects": sorted(group.parts),
            },
        )
        return True

    def _blocked_until(
        self, key: Fingerprint, explained: Collection[CrashId]
    ) -> float | None:
        history = self._history_by_fingerprint.get(key)
        if history is None:
            return None
        now = self._clock.seconds()
        if not is_part(key):
            until = history.sufficient_until(now, explained)
            if until is not None:
                return until
        running = self._runs_by_fingerprint.get(key, 0)
        if history.was_answered or not (history.is_answer_known or running):
            return None
        crashes = sum(id not in explained for id in history.counting(now))
        if crashes and crashes + running >= BLOCK_AFTER_CRASHES:
            return now + CONCURRENT_RETRY_AFTER_S
        return None

    def _counts_until(self, part: Fingerprint, now: float) -> float:
        return self._history_by_fingerprint[part].sufficient_until(now) or now

    def _determine_crashing_parts(self, now: float) -> list[CrashingParts]:
        if now < self._determine_at:
            return self._crashing_parts
        evidence_by_part = {
            key: PartEvidence(
                {id: crash.at for id, crash in history.counting(now).items()},
                history.was_answered,
                history.is_answer_known,
            )
            for key, history in self._history_by_fingerprint.items()
            if is_part(key) and len(history.crashes_by_server) >= MIN_CRASHES
        }
        known = {group.parts for group in self._crashing_parts}
        self._crashes_of_blocked_requests = self._find_blocked_requests(now)
        self._crashing_parts = find_crashing_parts(
            evidence_by_part, self._crashes_of_blocked_requests
        )
        self._determine_at = now + BLAME_LIFETIME_S
        found = {group.parts for group in self._crashing_parts}
        for group in self._crashing_parts:
            if group.parts not in known:
                log.warning(
                    "parts refused",
                    extra={
                        "parts": sorted(group.parts),
                        "servers": sorted(server for server, _ in group.crashes),
                    },
                )
        for parts in known - found:
            log.info("parts no longer refused", extra={"parts": sorted(parts)})
        return self._crashing_parts

    def _was_answered(self, key: Fingerprint, now: float) -> bool:
        answers = self._answered_parts if is_part(key) else self._answered_requests
        return answers.includes(key, now)

    def _is_answer_known(self, key: Fingerprint) -> bool:
        history = self._history_by_fingerprint.get(key)
        return history is not None and history.is_answer_known

    def _knows_answers(self, at: float) -> bool:
        """Return whether this daemon knows what was answered shortly before ``at``."""
        return self._knows_answers_since <= at - ANSWERED_RETENTION_S

    def collect(self) -> list[list[Any]]:
        """Return the crashes of blocked and of recently changed requests, for peers."""
        now = self._clock.seconds()
        self._remove_expired(now)
        crashing = {
            part
            for group in self._determine_crashing_parts(now)
            for part in group.parts
        }
        shared = [
            key
            for key, history in reversed(self._history_by_fingerprint.items())
            if history.changed_at > now - SHARED_FOR_S
            or len(history.count_ends(now)) >= BLOCK_AFTER_CRASHES
        ]
        shared.sort(key=lambda key: key not in crashing)
        return [
            msgspec.to_builtins(self._build_report(key, crash_id))
            for key in shared[:MAX_SHARED_FINGERPRINTS]
            for crash_id in self._history_by_fingerprint[key].crashes_by_server
        ]

    def recordable(self) -> list[CrashReport]:
        """Return the confirmed crashes that this daemon keeps for all, newest first.

        Those of requests and parts at which several servers crashed, if this daemon
        observed one of the crashes or is the first in the order of daemons that try
        the request or part.
        """
        now = self._clock.seconds()
        reports: list[CrashReport] = []
        recorded = 0
        for key, history in reversed(self._history_by_fingerprint.items()):
            confirmed = history.confirmed(since=now - RECORDED_FOR_S)
            if len(confirmed) < MIN_RECORDED_CRASHES:
                continue
            is_own = any(crash.is_own for crash in confirmed.values())
            if is_own or self.trial_rank(key) == 0:
                reports += [self._build_report(key, id) for id in confirmed]
                recorded += 1
            if recorded == MAX_RECORDED_FINGERPRINTS:
                break
        return reports

    def restore(self, reports: Iterable[CrashReport], *, is_own: bool) -> None:
        """Apply what a daemon has recorded; ``is_own`` if this one did."""
        now = self._clock.seconds()
        for report in reports:
            if report.age_ms < RECORDED_FOR_S * 1_000:
                self._merge(
                    Fingerprint(report.fingerprint),
                    (BackendServerId(report.server), report.started_ms),
                    CrashState.CONFIRMED,
                    now - report.age_ms / 1_000,
                    was_answered=report.was_answered,
                    is_answer_known=report.is_answer_known,
                    is_own=is_own,
                )

    def apply_remote(self, hint: Any) -> None:
        """Merge the reports of a peer's exchange."""
        self.apply_reports(msgspec.convert(hint, list[CrashReport]))

    def apply_reports(self, reports: Iterable[CrashReport]) -> None:
        """Merge reports of peers, which may arrive repeatedly and in any order."""
        now = self._clock.seconds()
        for report in reports:
            key = Fingerprint(report.fingerprint)
            at = now - report.age_ms / 1_000
            is_new = self._merge(
                key,
                (BackendServerId(report.server), report.started_ms),
                report.state,
                at,
                was_answered=report.was_answered or self._was_answered(key, at),
                is_answer_known=report.is_answer_known or self._knows_answers(at),
            )
            if is_new:
                # A crash has many parts as suspects; its requests are logged as well.
                write = log.debug if is_part(key) else log.info
                write(
                    "crash reported by a peer",
                    extra={
                        "server": report.server,
                        "fingerprint": key,
                        "state": report.state.name.lower(),
                        "age_ms": report.age_ms,
                        "crashes": self.count(key),
                        "is_answer_known": self._is_answer_known(key),
                    },
                )

    def _merge(
        self,
        key: Fingerprint,
        crash_id: CrashId,
        state: CrashState,
        at: float,
        *,
        was_answered: bool = False,
        is_answer_known: bool = False,
        is_own: bool = False,
    ) -> bool:
        """Apply one observation; return whether it was new."""
        now = self._clock.seconds()
        history = self._history_by_fingerprint.get(key)
        if history is not None and was_answered and not history.was_answered:
            history.was_answered = True
            self._determine_at = now
        if history is not None and is_answer_known and not history.is_answer_known:
            history.is_answer_known = True
            self._determine_at = now
        known = history and history.crashes_by_server.get(crash_id)
        if known:
            is_own = known.is_own = known.is_own or is_own
        crash = Crash(state, at, is_own)
        is_expired = state is CrashState.SUSPECTED and crash.counts_until() <= now
        if (known and known.state >= state) or at <= now - CRASH_RETENTION_S:
            return False
        if known is None and is_expired:
            return False
        if history is None:
            history = self._history_by_fingerprint[key] = CrashHistory(
                now, OrderedDict(), was_answered, is_answer_known
            )
        history.crashes_by_server[crash_id] = crash
        history.changed_at = now
        while len(history.crashes_by_server) > MAX_CRASHES_PER_FINGERPRINT:
            removed, _ = history.crashes_by_server.popitem(last=False)
            self._forget_suspect(key, removed)
        self._history_by_fingerprint.move_to_end(key)
        if state is CrashState.CLEARED:
            self._forget_suspect(key, crash_id)
        else:
            self._suspects_by_crash.setdefault(crash_id, set()).add(key)
        while len(self._history_by_fingerprint) > MAX_FINGERPRINTS:
            self._evict()
        self._determine_at = now
        if state is CrashState.CONFIRMED:
            self.on_confirmed()
        return True

    def _forget_suspect(self, key: Fingerprint, crash_id: CrashId) -> None:
        keys = self._suspects_by_crash.get(crash_id, set())
        keys.discard(key)
        if not keys:
            self._suspects_by_crash.pop(crash_id, None)

    def _evict(self) -> None:
        """Remove the oldest request without a confirmed crash, or the oldest one.

        The newest request stays, since its crash is being recorded.
        """
        *older, _newest = self._history_by_fingerprint.items()
        unconfirmed = (key for key, history in older if not history.is_confirmed())
        self._remove(next(unconfirmed, older[0][0]))

    def _remove(self, key: Fingerprint) -> None:
        history = self._history_by_fingerprint.pop(key)
        for crash_id in history.crashes_by_server:
            self._forget_suspect(key, crash_id)

    def _remove_expired(self, now: float) -> None:
        for key, history in list(self._history_by_fingerprint.items()):
            for crash_id, crash in list(history.crashes_by_server.items()):
                is_open = crash.state is CrashState.SUSPECTED
                if crash.at <= now - CRASH_RETENTION_S or (
                    is_open and crash.counts_until() <= now
                ):
                    del history.crashes_by_server[crash_id]
                    self._forget_suspect(key, crash_id)
            if not history.crashes_by_server:
                self._remove(key)

    def _report(self, key: Fingerprint, crash_id: CrashId) -> None:
        self.on_report([self._build_report(key, crash_id)])

    def _build_report(self, key: Fingerprint, crash_id: CrashId) -> CrashReport:
        history = self._history_by_fingerprint[key]
        crash = history.crashes_by_server[crash_id]
        age_s = self._clock.seconds() - crash.at
        return CrashReport(
            key,
            *crash_id,
            crash.state,
            round(age_s * 1_000),
            history.was_answered,
            history.is_answer_known,
        )


__all__ = [
    "BLOCK_AFTER_CRASHES",
    "CrashRecord",
    "CrashRefusal",
    "CrashReport",
    "CrashState",
    "CrashSuspects",
    "fingerprint",
    "part_fingerprint",
]
