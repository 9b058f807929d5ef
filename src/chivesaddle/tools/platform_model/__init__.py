"""Model of the systems served on the platform, with the daemon's own decisions.

Engines and KV stores follow the published figures on a virtual clock; placement, the
waiting line, beacons and transfers are the code that the daemon runs. Policies are
compared here in seconds before a day of the bench checks them.
"""

from chivesaddle.tools.platform_model.engine import EngineFigures, ModelEngine, Run
from chivesaddle.tools.platform_model.fleet import Fleet, Policy, Result
from chivesaddle.tools.platform_model.traffic import KINDS, Kind, Prompt, Traffic

__all__ = [
    "KINDS",
    "EngineFigures",
    "Fleet",
    "Kind",
    "ModelEngine",
    "Policy",
    "Prompt",
    "Result",
    "Run",
    "Traffic",
]
