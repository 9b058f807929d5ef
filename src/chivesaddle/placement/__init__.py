"""Selection of a backend server for each request, and the state it is based on."""

from chivesaddle.placement.affinity import rendezvous_order
from chivesaddle.placement.choice import (
    Candidate,
    PlanPrompt,
    ServerRequirements,
    choose,
)
from chivesaddle.placement.cold_start import ColdStarts
from chivesaddle.placement.costs import estimate_cost
from chivesaddle.placement.evacuations import Evacuations
from chivesaddle.placement.load import Load
from chivesaddle.placement.rate_limits import LimitReport, RateLimits
from chivesaddle.placement.refusals import AdmissionCounts
from chivesaddle.placement.software import (
    GONE_VERSION_RETENTION_S,
    GoneVersion,
    SoftwareHistory,
)
from chivesaddle.placement.table import (
    ExchangeOutcome,
    ServerTable,
    TrackedServer,
)
from chivesaddle.placement.waiting import AdmissionQueue, MemoryRequest, NoCapacity

__all__ = [
    "GONE_VERSION_RETENTION_S",
    "AdmissionCounts",
    "AdmissionQueue",
    "Candidate",
    "ColdStarts",
    "Evacuations",
    "ExchangeOutcome",
    "GoneVersion",
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
    "estimate_cost",
    "rendezvous_order",
]
