"""Which prompt parts crash the servers that begin to answer them.

All parts that a crashed server had not begun to answer are suspects of the crash. A
part that crashes servers is a suspect of every crash that it causes, while a harmless
part is cleared by the first answer that begins on it. A crash that a crashing part
explains counts against no other part.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from chivesaddle.core.ids import BackendServerId, Fingerprint

# Crashes after which a part is refused that no server is known to have answered.
MIN_CRASHES = 3
# The same for a part that servers answered shortly before. Servers also crash for other
# reasons, and a common part then waits at each of them.
MIN_CRASHES_OF_ANSWERED_PART = 5
# Servers that crash within this time may have one cause, such as the loss of a zone.
SAME_MOMENT_S = 0.5
# Crashes that no other part explains, for a second crashing part.
MIN_UNEXPLAINED_CRASHES = 2

# Id of a server and its start in Unix milliseconds; each start crashes once at most.
CrashId = tuple[BackendServerId, int]


@dataclass(frozen=True, slots=True)
class PartEvidence:
    """Crashes that count against a part.

    Attributes
    ----------
    time_by_crash : mapping
        When each server crashed, in seconds of the daemon's clock.
    was_answered : bool
        Whether a server answered the part shortly before one of the crashes.
    """

    time_by_crash: Mapping[CrashId, float]
    was_answered: bool = False

    @property
    def is_sufficient(self) -> bool:
        """Whether the crashes are enough to refuse the part."""
        if not self.was_answered:
            return len(self.time_by_crash) >= MIN_CRASHES
        times = self.time_by_crash.values()
        return _count_moments(times) >= MIN_CRASHES_OF_ANSWERED_PART


@dataclass(frozen=True, slots=True)
class CrashingParts:
    """Parts that crash the servers of requests that contain all of them.

    There are several if they have been seen only together, so that it is not known
    which of them crashes servers.
    """

    parts: frozenset[Fingerprint]
    crashes: frozenset[CrashId]


def find_crashing_parts(
    evidence_by_part: Mapping[Fingerprint, PartEvidence],
) -> list[CrashingParts]:
    """Return the fewest parts that explain the crashes, the most certain ones first."""
    candidates = {
        part: frozenset(evidence.time_by_crash)
        for part, evidence in evidence_by_part.items()
        if evidence.is_sufficient
    }
    explained: frozenset[CrashId] = frozenset()
    found: list[CrashingParts] = []

    def certainty(part: Fingerprint) -> tuple[bool, int, str]:
        was_answered = evidence_by_part[part].was_answered
        return not was_answered, len(candidates[part] - explained), part

    while candidates:
        best = max(candidates, key=certainty)
        crashes = candidates.pop(best)
        if found and len(crashes - explained) < MIN_UNEXPLAINED_CRASHES:
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
        found.append(CrashingParts(frozenset({best, *together}), crashes))
    return found


def _count_moments(times: Collection[float]) -> int:
    count, since = 0, float("-inf")
    for time in sorted(times):
        if time - since > SAME_MOMENT_S:
            count, since = count + 1, time
    return count


__all__ = ["CrashId", "CrashingParts", "PartEvidence", "find_crashing_parts"]
