"""HTTP API for callers: completions, service operations, prompts and addresses."""

from chivesaddle.gateway.completions import CompletionService
from chivesaddle.gateway.dependencies import Dependencies
from chivesaddle.gateway.drain import Drain
from chivesaddle.gateway.http_limits import limited_site
from chivesaddle.gateway.routes import GatewayApi

__all__ = ["CompletionService", "Dependencies", "Drain", "GatewayApi", "limited_site"]
