"""Choice among the instances of a service."""

from random import Random

from chivesaddle.core.model import Service

# Long enough to spare most calls a dead instance, short enough that a restarted one
# is soon used again.
AVOID_FAILED_S = 10.0


class UrlChoice:
    """Chooses a random instance that did not fail lately.

    Examples
    --------
    >>> service = Service(id="s", urls=("http://a", "http://b"), operations=())
    >>> urls = UrlChoice(Random(1))
    >>> urls.record_failure("http://a", now=0.0)
    >>> {urls.choose(service, now=1.0) for _ in range(20)}
    {'http://b'}
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._avoid_until_by_url: dict[str, float] = {}

    def choose(self, service: Service, now: float) -> str:
        """Return the base URL of one instance; any if all failed lately."""
        usable = [
            u for u in service.urls if self._avoid_until_by_url.get(u, now) <= now
        ]
        return self._random.choice(usable or list(service.urls))

    def record_failure(self, url: str, now: float) -> None:
        """Avoid ``url`` for a while."""
        self._avoid_until_by_url = {
            other: until
            for other, until in self._avoid_until_by_url.items()
            if until > now
        }
        self._avoid_until_by_url[url] = now + AVOID_FAILED_S


__all__ = ["UrlChoice"]
