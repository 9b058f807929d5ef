"""Which prompt parts crash the servers that begin to answer them.

All parts that a crashed server had not begun to answer are suspects of the crash. A
part that crashes servers is a suspect of every crash that it causes, while a harmless
part is cleared by the first answer that begins on it. A crash counts against no other
part if a crashing part explains it, or a request that crashes servers by itself.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from chivesaddle.core.ids import BackendServerId, Fingerprint

# Crashes after which a request or part is refused that no server is known to have
# answered.
MIN_CRASHES = 3
# Moments of crashes after which one is refused that servers answered shortly before.
# Servers also crash for other reasons, and what many callers ask is then at each.
MIN_MOMENTS_IF_ANSWERED = 5
# The same while it is not known whether servers answered it, as after a restart of all
# daemons.
MIN_MOMENTS_IF_UNKNOWN = 3
# Servers that crash within this time may have one cause, such as the loss of a zone.
SAME_MOMENT_S = 0.5
# Crashes of a part that nothing else explains, if something else explains the others.
MIN_UNEXPLAINED_CRASHES = 2

# Id of a server and its start in Unix milliseconds; each start crashes once at most.
CrashId = tuple[BackendServerId, int]


def is_sufficient(
    times: Collection[float], was_answered: bool, is_answer_known: bool = True
) -> bool:
    """Return whether crashes are enough to refuse a request or part.

    Parameters
    ----------
    times : collection of float
        When each server crashed, in seconds of the daemon's clock.
    was_answered : bool
        Whether a server answered the request or part shortly before one of them.
    is_answer_known : bool
        Whether any daemon knows what servers answered in that time.
    """
    if was_answered:
        return _count_moments(times) >= MIN_MOMENTS_IF_ANSWERED
    if not is_answer_known:
        return _count_moments(times) >= MIN_MOMENTS_IF_UNKNOWN
    return len(times) >= MIN_CRASHES


@dataclass(frozen=True, slots=True)
class PartEvidence:
    """Crashes that count against a part.

    Attributes
    ----------
    time_by_crash : mapping
        When each server crashed, in seconds of the daemon's clock.
    was_answered : bool
        Whether a server answered the part shortly before one of the crashes.
    is_answer_known : bool
        Whether any daemon knows what servers answered in that time.
    """

    time_by_crash: Mapping[CrashId, float]
    was_answered: bool = False
    is_answer_known: bool = True

    @property
    def is_sufficient(self) -> bool:
        """Whether the crashes are enough to refuse the part."""
        return is_sufficient(
            self.time_by_crash.values(), self.was_answered, self.is_answer_known
        )


@dataclass(frozen=True, slots=True)
class CrashingParts:
    """Parts of which one crashes servers.

    There are several if the same crashes count against them, so that it is not known
    which of them is the cause. What becomes of a request with some of them, but not
    all, tells more.

    Attributes
    ----------
    last_crash_at : float
        In seconds of the daemon's clock.
    """

    parts: frozenset[Fingerprint]
    crashes: frozenset[CrashId]
    last_crash_at: float


def find_crashing_parts(
    evidence_by_part: Mapping[Fingerprint, PartEvidence],
    crashes_by_request: Iterable[frozenset[CrashId]] = (),
) -> list[CrashingParts]:
    """Return the fewest parts that explain the crashes, the most certain ones first.

    Parameters
    ----------
    evidence_by_part : mapping
        Crashes that count against each part.
    crashes_by_request : iterable of frozenset
        Crashes of each request that is refused because it crashes servers itself.
    """
    candidates = {
        part: frozenset(evidence.time_by_crash)
        for part, evidence in evidence_by_part.items()
        if evidence.is_sufficient
    }
    by_requests = list(crashes_by_request)
    explained: frozenset[CrashId] = frozenset().union(*by_requests)
    found: list[CrashingParts] = []

    def certainty(part: Fingerprint) -> tuple[bool, int, str]:
        was_answered = evidence_by_part[part].was_answered
        return not was_answered, len(candidates[part] - explained), part

    while candidates:
        best = max(candidates, key=certainty)
        crashes = candidates.pop(best)
        if not _adds_explanation(crashes, by_requests, found):
            continue
        was_answered = evidence_by_part[best].was_answered
        together = {
            part
            for part, others in candidates.items()
            if others == crashes and evidence_by_part[part].was_answered == was_answered
        }
        for part in together:
            del candidates[part]
        explained |= crashes
        last_crash_at = max(evidence_by_part[best].time_by_crash.values())
        parts = frozenset({best, *together})
        found.append(CrashingParts(parts, crashes, last_crash_at))
    return found


def _adds_explanation(
    crashes: frozenset[CrashId],
    by_requests: Collection[frozenset[CrashId]],
    found: Collection[CrashingParts],
) -> bool:
    """Return whether crashes are likely to have a cause besides the known ones.

    A part that is at all crashes of a request and at one more explains both.
    """
    requests = [known for known in by_requests if known & crashes]
    groups = [group.crashes for group in found if group.crashes & crashes]
    is_wider = not groups and all(known <= crashes for known in requests)
    new = crashes.difference(*requests, *groups)
    return len(new) >= (1 if is_wider else MIN_UNEXPLAINED_CRASHES)


def _count_moments(times: Collection[float]) -> int:
    count, since = 0, float("-inf")
    for time in sorted(times):
        if time - since > SAME_MOMENT_S:
            count, since = count + 1, time
    return count


__all__ = [
    "CrashId",
    "CrashingParts",
    "PartEvidence",
    "find_crashing_parts",
    "is_sufficient",
]
