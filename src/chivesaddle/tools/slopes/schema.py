"""Declares the experiments, their points and the units of their metrics."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Experiment:
    """Measurements of several metrics while one quantity varies.

    Attributes
    ----------
    x : str
        Description of the quantity that varies.
    points : tuple of float
        Values of that quantity; each is measured in its own process.
    units : dict
        Unit of each metric by the metric's name.
    """

    x: str
    points: tuple[float, ...]
    units: dict[str, str]


_DAEMON_UNITS = {
    "cpu": "ms/s a daemon",
    "memory": "KB a daemon",
    "peer_bytes": "B/s a daemon",
    "reader_bytes": "B/s, largest zone reader",
    "exchanges": "calls/s a daemon",
}
_PLATFORM_UNITS = {
    "platform_reads": "calls/s",
    "platform_watches": "calls/s",
    "platform_writes": "calls/s",
    "platform_bytes": "B/s",
}
_POLLED_UNITS = {
    "cpu": "ms/s",
    "memory": "KB",
    "requests": "requests/s",
    "bytes": "B/s",
}

EXPERIMENTS = {
    "configured": Experiment(
        "configured backend servers",
        (10, 700, 1_400, 2_800, 5_600),
        {"memory": "KB", "apply": "ms/change", "upkeep": "ms/s"},
    ),
    "accounts": Experiment(
        "accounts with demand",
        (10, 50, 100, 200),
        {"memory": "KB", "apply": "ms/change", "upkeep": "ms/s"},
    ),
    "prompts": Experiment(
        "prompts of 8 blocks reported by engines",
        (0, 1_000, 2_000, 4_000),
        {"memory": "KB", "cpu": "ms"},
    ),
    "polled": Experiment(
        "backend servers polled once a second", (4, 8, 12, 16), _POLLED_UNITS
    ),
    "polled_many": Experiment(
        "backend servers polled at a shared rate", (32, 128, 311), _POLLED_UNITS
    ),
    "grpc": Experiment(
        "exchanges over loopback, both ends",
        (100, 400, 800),
        {"cpu": "ms"},
    ),
    "daemons": Experiment(
        "daemons in 3 zones", (3, 9, 30, 100), _DAEMON_UNITS | _PLATFORM_UNITS
    ),
    "large_fleet": Experiment(
        "daemons in 3 zones, large fleets",
        (40, 70, 100),
        _DAEMON_UNITS | _PLATFORM_UNITS,
    ),
    "zones": Experiment(
        "zones of 54 daemons", (3, 6, 9, 18), _DAEMON_UNITS | _PLATFORM_UNITS
    ),
    "changes": Experiment(
        "configuration changes/s at 9 daemons in 3 zones",
        (0, 0.25, 0.5, 1),
        {"cpu": "ms/s a daemon", "peer_bytes": "B/s a daemon"} | _PLATFORM_UNITS,
    ),
    "tokens": Experiment(
        "tokens a streamed request",
        (1, 16, 32, 64),
        {"cpu": "ms/request", "requests": "requests/s"},
    ),
    "actions": Experiment(
        "actions without faults",
        (10, 100, 400),
        {"cpu": "ms", "writes": "calls", "reads": "calls", "bytes": "B"},
    ),
    "stored_prompts": Experiment(
        "stored prompts used in turn at 64 requests/s",
        (64, 256, 576, 1_152),
        {"reads": "calls/s a daemon"},
    ),
    "relay": Experiment(
        "tokens relayed in memory, one a read",
        (1_000, 4_000, 8_000),
        {"cpu": "ms"},
    ),
    "relay_batched": Experiment(
        "tokens relayed in memory, four a read",
        (1_000, 4_000, 8_000),
        {"cpu": "ms"},
    ),
}

SERIES = {
    f"{name}.{metric}": unit
    for name, experiment in EXPERIMENTS.items()
    for metric, unit in experiment.units.items()
}

__all__ = ["EXPERIMENTS", "SERIES", "Experiment"]
