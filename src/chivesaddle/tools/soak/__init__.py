"""Soak test: real serving daemons under random faults, checked by their clients."""

import asyncio
from pathlib import Path

from chivesaddle.tools.soak.result import SoakResult
from chivesaddle.tools.soak.run import Soak
from chivesaddle.tools.soak.silences import SilenceSoak

# Seeds from here on play silent servers only. Seeds that are drawn are below twice this
# number, and the seeds of earlier runs that are kept are below it.
FIRST_SILENCE_SEED = 500_000


def run_seed(
    seed: int, fault_s: float, build_dir: Path
) -> tuple[SoakResult, list[str]]:
    """Run the soak test with one seed; return its result and the log of faults."""
    kind = Soak if seed < FIRST_SILENCE_SEED else SilenceSoak
    soak = kind(seed, fault_s, build_dir)
    return asyncio.run(soak.run()), soak.fault_log


__all__ = ["FIRST_SILENCE_SEED", "SoakResult", "run_seed"]
