"""Callers' HTTP API."""

from chivesaddle.gateway.dependencies import Dependencies
from chivesaddle.gateway.drain import Drain
from chivesaddle.gateway.flow import ServingFlow
from chivesaddle.gateway.routes import GatewayApi
from chivesaddle.gateway.transport import limited_site

__all__ = ["Dependencies", "Drain", "GatewayApi", "ServingFlow", "limited_site"]
