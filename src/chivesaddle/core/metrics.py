"""Metrics over statsd."""

from typing import Protocol

from statsd import StatsClient

from chivesaddle.core.settings import Statsd


class Metrics(Protocol):
    """Sink for counters, timings and gauges; names are dotted."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add ``count`` to a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Report a time in milliseconds."""

    def gauge(self, stat: str, value: float) -> None:
        """Report a current value."""


class NoMetrics:
    """Sink that drops everything."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Drop a count."""

    def timing(self, stat: str, delta: float) -> None:
        """Drop a time."""

    def gauge(self, stat: str, value: float) -> None:
        """Drop a value."""


def metrics_from_config(settings: Statsd | None) -> Metrics:
    """Return a statsd client, or a sink that drops everything without settings."""
    if settings is None:
        return NoMetrics()
    return StatsClient(settings.host, settings.port, prefix=settings.prefix)


__all__ = ["Metrics", "NoMetrics", "metrics_from_config"]
