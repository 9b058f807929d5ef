"""Selection of a backend server for each request, and the state it is based on."""

from chivesaddle.placement.affinity import preferred_servers
from chivesaddle.placement.choice import Candidate, Need, PlanPrompt, choose
from chivesaddle.placement.table import Load, Outcome, ServerTable, TrackedServer
from chivesaddle.placement.waiting import Claim, MemoryLine, NoRoom

__all__ = [
    "Candidate",
    "Claim",
    "Load",
    "MemoryLine",
    "Need",
    "NoRoom",
    "Outcome",
    "PlanPrompt",
    "ServerTable",
    "TrackedServer",
    "choose",
    "preferred_servers",
]
