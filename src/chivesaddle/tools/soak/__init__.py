"""Randomized faults over real serving daemons, checked from outside them."""

from chivesaddle.tools.soak.run import SoakResult, run_seed

__all__ = ["SoakResult", "run_seed"]
