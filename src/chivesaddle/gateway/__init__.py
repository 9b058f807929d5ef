"""Callers' HTTP API."""

from chivesaddle.gateway.dependencies import Dependencies
from chivesaddle.gateway.drain import Drain
from chivesaddle.gateway.flow import ServingFlow
from chivesaddle.gateway.routes import GatewayApi

__all__ = ["Dependencies", "Drain", "GatewayApi", "ServingFlow"]
