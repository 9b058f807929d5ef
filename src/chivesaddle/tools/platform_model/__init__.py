"""Simulation of the serving daemons with engines and KV stores, on a virtual clock.

Engines and stores are simulated from the platform's published figures; placement, the
admission queue, beacons and transfer planning are the code that the daemon runs. It
compares policies within seconds, before a benchmark run of a whole day confirms them.
"""

from chivesaddle.tools.platform_model.engine import (
    EngineFigures,
    EngineRequest,
    SimulatedEngine,
)
from chivesaddle.tools.platform_model.fleet import Fleet, Policy, Result
from chivesaddle.tools.platform_model.traffic import (
    REQUEST_KINDS,
    Prompt,
    RequestKind,
    Traffic,
)

__all__ = [
    "REQUEST_KINDS",
    "EngineFigures",
    "EngineRequest",
    "Fleet",
    "Policy",
    "Prompt",
    "RequestKind",
    "Result",
    "SimulatedEngine",
    "Traffic",
]
