"""Forwards callers' requests to backend servers and retries where that is safe."""

from chivesaddle.forwarding.budget import RetryBudget
from chivesaddle.forwarding.crashes import CrashRecord, CrashReport, CrashState
from chivesaddle.forwarding.forwarder import Forwarder, MessageCodec
from chivesaddle.forwarding.messages import (
    CallerRequest,
    InvalidValue,
    PromptPart,
    RequestLimit,
    SendOptions,
    ServerLoad,
    ServerResponse,
)
from chivesaddle.forwarding.passing import PeerDaemon, PeerPaths
from chivesaddle.forwarding.prompts import PromptPlanner
from chivesaddle.forwarding.serving_state import ServingState
from chivesaddle.forwarding.stream_origins import (
    OriginReport,
    Source,
    StreamOrigins,
    stream_key,
)

__all__ = [
    "CallerRequest",
    "CrashRecord",
    "CrashReport",
    "CrashState",
    "Forwarder",
    "InvalidValue",
    "MessageCodec",
    "OriginReport",
    "PeerDaemon",
    "PeerPaths",
    "PromptPart",
    "PromptPlanner",
    "RequestLimit",
    "RetryBudget",
    "SendOptions",
    "ServerLoad",
    "ServerResponse",
    "ServingState",
    "Source",
    "StreamOrigins",
    "stream_key",
]
