"""Soak test: real serving daemons under random faults, checked by their clients."""

from chivesaddle.tools.soak.run import SoakResult, run_seed

__all__ = ["SoakResult", "run_seed"]
