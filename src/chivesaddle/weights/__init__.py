"""Brings backend servers to the named versions of weights."""

from chivesaddle.weights.rollout import LEASE_NAME, RENEW_S, Rollout

__all__ = ["LEASE_NAME", "RENEW_S", "Rollout"]
