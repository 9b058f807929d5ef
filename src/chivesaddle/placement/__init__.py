"""Selection of a backend server for each request, and the state it is based on."""

from chivesaddle.placement.affinity import rendezvous_order
from chivesaddle.placement.choice import (
    Candidate,
    PlanPrompt,
    ServerRequirements,
    choose,
)
from chivesaddle.placement.cold_start import ColdStarts
from chivesaddle.placement.rate_limits import LimitReport, RateLimits
from chivesaddle.placement.software import SoftwareHistory
from chivesaddle.placement.table import (
    ExchangeOutcome,
    Load,
    ServerTable,
    TrackedServer,
)
from chivesaddle.placement.waiting import AdmissionQueue, MemoryRequest, NoCapacity

__all__ = [
    "AdmissionQueue",
    "Candidate",
    "ColdStarts",
    "ExchangeOutcome",
    "LimitReport",
    "Load",
    "MemoryRequest",
    "NoCapacity",
    "PlanPrompt",
    "RateLimits",
    "ServerRequirements",
    "ServerTable",
    "SoftwareHistory",
    "TrackedServer",
    "choose",
    "rendezvous_order",
]
