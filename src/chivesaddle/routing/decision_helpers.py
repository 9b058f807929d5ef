"""Decisions and errors that several modules return."""

from chivesaddle.core.ids import ModelId
from chivesaddle.routing.cost import Prediction
from chivesaddle.routing.decisions import NoBackendServer, Send
from chivesaddle.routing.servers import PooledServer

# Maximum time until a waiting request polls again.
MAX_POLL_INTERVAL_S = 0.25
# Leaving servers are replaced, and ejected servers readmitted, within about this time.
NO_SERVER_RETRY_S = 3.0


def send_decision(server: PooledServer, prediction: Prediction) -> Send:
    """Return the decision to send, with the KV import of the prediction."""
    return Send(
        server.id,
        prediction.first_token_s,
        prediction.import_from,
        prediction.import_blocks,
        prediction.cached_blocks,
    )


def no_server_error(model_id: ModelId) -> NoBackendServer:
    """Return the error for a request whose model has no usable server."""
    return NoBackendServer(
        f"No backend server of model {model_id!r} can take this request",
        remedy="Retry after the given time; check with `chivesaddle backend-server`",
        retry_after_s=NO_SERVER_RETRY_S,
    )


__all__ = ["MAX_POLL_INTERVAL_S", "no_server_error", "send_decision"]
