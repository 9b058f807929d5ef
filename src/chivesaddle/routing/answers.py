"""Decisions that several modules give."""

from chivesaddle.core.ids import ModelId
from chivesaddle.routing.cost import Prediction
from chivesaddle.routing.decisions import NoBackendServer, Send
from chivesaddle.routing.servers import ServerState

MAX_WAIT_S = 0.25
# Leaving servers are replaced and ejected ones return within about this time.
NO_SERVER_RETRY_S = 3.0


def send_to(server: ServerState, prediction: Prediction) -> Send:
    """Return the decision to send, with the import that was predicted."""
    return Send(
        server.id,
        prediction.first_token_s,
        prediction.import_from,
        prediction.import_blocks,
        prediction.cached_blocks,
    )


def no_server(model_id: ModelId) -> NoBackendServer:
    """Return the refusal of a request whose model has no usable server."""
    return NoBackendServer(
        f"No backend server of model {model_id!r} can take this request",
        remedy="Retry after the given time; check with `chivesaddle backend-server`",
        retry_after_s=NO_SERVER_RETRY_S,
    )


__all__ = ["MAX_WAIT_S", "no_server", "send_to"]
