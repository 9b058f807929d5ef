"""Client for model engines: streaming, relay, polling, KV transfer and orders."""

from chivesaddle.engines.answer import RelayedAnswer
from chivesaddle.engines.chunks import ApiStyle
from chivesaddle.engines.client import EngineClient
from chivesaddle.engines.connections import Connections
from chivesaddle.engines.errors import (
    EngineConflict,
    EngineCrashed,
    EngineDraining,
    EngineError,
    EngineFull,
    EngineNotFound,
    EngineProtocolError,
    EngineRefused,
    EngineRejected,
    EngineReset,
    EngineTimeout,
    EngineUnreachable,
    StreamInterrupted,
    StreamMismatch,
    VersionNotLoaded,
)
from chivesaddle.engines.poller import EnginePoller, PollSink
from chivesaddle.engines.relay import (
    CallerSink,
    RelayDelegate,
    RelayRequest,
    RetryBudget,
    StreamRelay,
    Target,
)
from chivesaddle.engines.reports import BlockRecord, EngineState, LoadReport
from chivesaddle.engines.stream import EngineStream

__all__ = [
    "ApiStyle",
    "BlockRecord",
    "CallerSink",
    "Connections",
    "EngineClient",
    "EngineConflict",
    "EngineCrashed",
    "EngineDraining",
    "EngineError",
    "EngineFull",
    "EngineNotFound",
    "EnginePoller",
    "EngineProtocolError",
    "EngineRefused",
    "EngineRejected",
    "EngineReset",
    "EngineState",
    "EngineStream",
    "EngineTimeout",
    "EngineUnreachable",
    "LoadReport",
    "PollSink",
    "RelayDelegate",
    "RelayRequest",
    "RelayedAnswer",
    "RetryBudget",
    "StreamInterrupted",
    "StreamMismatch",
    "StreamRelay",
    "Target",
    "VersionNotLoaded",
]
