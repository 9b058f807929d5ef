"""Forwards callers' requests to backend servers and retries where that is safe."""

from chivesaddle.forwarding.budget import RetryBudget
from chivesaddle.forwarding.crashes import CrashRecord
from chivesaddle.forwarding.forwarder import Forwarder, Wire
from chivesaddle.forwarding.knowledge import Knowledge
from chivesaddle.forwarding.messages import (
    CallerRequest,
    PromptPart,
    SendOptions,
    ServerAnswer,
    ServerLoad,
)
from chivesaddle.forwarding.prompts import Prompts

__all__ = [
    "CallerRequest",
    "CrashRecord",
    "Forwarder",
    "Knowledge",
    "PromptPart",
    "Prompts",
    "RetryBudget",
    "SendOptions",
    "ServerAnswer",
    "ServerLoad",
    "Wire",
]
