"""Metrics, sent over the statsd protocol."""

from typing import Protocol

from statsd import StatsClient

from chivesaddle.core.settings import Statsd


class Metrics(Protocol):
    """Sink for counters, timings and gauges with dotted names."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add ``count`` to a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Report a duration in milliseconds."""

    def gauge(self, stat: str, value: float) -> None:
        """Report the current value of a gauge."""


class NoMetrics:
    """Sink that discards all metrics."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard a count."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard a duration."""

    def gauge(self, stat: str, value: float) -> None:
        """Discard a value."""


def metrics_from_config(settings: Statsd | None) -> Metrics:
    """Return a statsd client, or a discarding sink if there are no settings."""
    if settings is None:
        return NoMetrics()
    return StatsClient(settings.host, settings.port, prefix=settings.prefix)


__all__ = ["Metrics", "NoMetrics", "metrics_from_config"]
