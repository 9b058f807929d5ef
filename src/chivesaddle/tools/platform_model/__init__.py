"""Simulation of the serving daemons with engines and KV stores, on a virtual clock.

Engines and stores are simulated from the platform's published figures. Placement, the
admission queue, transfer planning, and beacons (messages in which daemons report the
load of their requests to each other) are the code that the daemon runs. The simulation
compares policies within seconds; a benchmark run of a whole day then confirms them.
"""

from chivesaddle.tools.platform_model.engine import (
    EngineRequest,
    EngineSpec,
    SimulatedEngine,
)
from chivesaddle.tools.platform_model.fleet import Policy, Result, SimulatedFleet
from chivesaddle.tools.platform_model.traffic import (
    REQUEST_KINDS,
    Prompt,
    RequestKind,
    TrafficGenerator,
)

__all__ = [
    "REQUEST_KINDS",
    "EngineRequest",
    "EngineSpec",
    "Policy",
    "Prompt",
    "RequestKind",
    "Result",
    "SimulatedEngine",
    "SimulatedFleet",
    "TrafficGenerator",
]
