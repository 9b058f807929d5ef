"""Rollout of weight versions to backend servers."""

from chivesaddle.weights.rollout import LEASE_NAME, RENEW_INTERVAL_S, Rollout

__all__ = ["LEASE_NAME", "RENEW_INTERVAL_S", "Rollout"]
