"""Prometheus metrics of the serving daemon."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from chivesaddle.http1 import Request, Responder

# The platform's specification has target latencies of 0.16 to 0.85 s and timeouts of
# 0.7 to 15 s.
LATENCY_BUCKETS_S = (
    0.02, 0.05, 0.1, 0.16, 0.2, 0.3, 0.4, 0.6, 0.85, 1.2, 2.0, 3.0, 5.0, 10.0, 15.0,
)  # fmt: skip
LAG_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0)


class ServingMetrics:
    """Metrics registry of one daemon.

    Attributes
    ----------
    loop_lag : Histogram
        Delays of the event loop's timers in seconds.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            "chivesaddle_requests",
            "Requests by how they ended",
            ["result"],
            registry=self.registry,
        )
        self._latency = Histogram(
            "chivesaddle_request_seconds",
            "Time from reading a request to the end of its answer",
            ["result"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        # Kept, because `labels` checks and looks up the values under a lock.
        self._series_by_result: dict[str, tuple[Counter, Histogram]] = {}
        self._values = Gauge(
            "chivesaddle_value", "Current values", ["name"], registry=self.registry
        )

        self.loop_lag = Histogram(
            "chivesaddle_event_loop_lag_seconds",
            "Delay of a timer, once a second",
            buckets=LAG_BUCKETS_S,
            registry=self.registry,
        )

    def observe_request(self, result: str, seconds: float) -> None:
        """Record the result and duration of a finished request."""
        series = self._series_by_result.get(result)
        if series is None:
            series = self._requests.labels(result), self._latency.labels(result)
            self._series_by_result[result] = series
        requests, latency = series
        requests.inc()
        latency.observe(seconds)

    def set_value(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""
        self._values.labels(name).set(value)

    def handle(self, request: Request, responder: Responder) -> None:
        """Respond with all metrics in the Prometheus text format."""
        content_type = (b"content-type", b"text/plain; version=0.0.4")
        responder.answer(200, generate_latest(self.registry), [content_type])


__all__ = ["ServingMetrics"]
