"""Selection of an instance of a service."""

from random import Random

from chivesaddle.core.model import Service

# Long enough that few calls go to a failed instance, short enough that a restarted
# one is soon used again.
FAILED_URL_EXCLUSION_S = 10.0


class UrlSelector:
    """Chooses a random instance that has not failed recently.

    Examples
    --------
    >>> service = Service(id="s", urls=("http://a", "http://b"), operations=())
    >>> selector = UrlSelector(Random(1))
    >>> selector.record_failure("http://a", now=0.0)
    >>> {selector.choose(service, now=1.0) for _ in range(20)}
    {'http://b'}
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._excluded_until_by_url: dict[str, float] = {}

    def choose(self, service: Service, now: float) -> str:
        """Return the base URL of one instance; of any if all have failed recently."""
        candidates = [
            u for u in service.urls if self._excluded_until_by_url.get(u, now) <= now
        ]
        return self._random.choice(candidates or list(service.urls))

    def record_failure(self, url: str, now: float) -> None:
        """Exclude ``url`` for `FAILED_URL_EXCLUSION_S` seconds."""
        self._excluded_until_by_url = {
            other: until
            for other, until in self._excluded_until_by_url.items()
            if until > now
        }
        self._excluded_until_by_url[url] = now + FAILED_URL_EXCLUSION_S


__all__ = ["UrlSelector"]
