"""When this process first saw each version of other holders' records."""

from collections import OrderedDict

MAX_OBSERVED = 10_000


class FirstSeen:
    """Measures on the own clock how long a version has been in place.

    Forgetting an entry beyond the capacity only restarts its measurement.

    Examples
    --------
    >>> seen = FirstSeen()
    >>> seen.age_s("a", version=7, now=10.0), seen.age_s("a", version=7, now=12.0)
    (0.0, 2.0)
    >>> seen.age_s("a", version=8, now=13.0)
    0.0
    """

    def __init__(self) -> None:
        self._version_and_time_by_name: OrderedDict[str, tuple[int, float]] = (
            OrderedDict()
        )

    def age_s(self, name: str, version: int, now: float) -> float:
        """Return the seconds since this version of ``name`` was first seen."""
        seen_version, first_seen = self._version_and_time_by_name.get(name, (-1, now))
        if seen_version != version:
            first_seen = now
        self._version_and_time_by_name[name] = (version, first_seen)
        self._version_and_time_by_name.move_to_end(name)
        if len(self._version_and_time_by_name) > MAX_OBSERVED:
            self._version_and_time_by_name.popitem(last=False)
        return now - first_seen

    def forget(self, name: str) -> None:
        """Drop the entry of a record that is settled."""
        self._version_and_time_by_name.pop(name, None)


__all__ = ["FirstSeen"]
