"""The experiments of a bench run; each is independent and repeatable by its seed."""

import logging
from collections.abc import Mapping
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from multiprocessing import get_context
from typing import Any

from chivesaddle.core.aio import start
from chivesaddle.gateway.flow import BATCH_DEADLINE_S, INTERACTIVE_DEADLINE_S
from chivesaddle.kv import DeadlinePace, FixedPace, Repair
from chivesaddle.kv.pacing import Pace
from chivesaddle.standins.store_core import DISK
from chivesaddle.tools.bench import measure
from chivesaddle.tools.bench.measure import ORDINARY_LOAD, OVERLOADS
from chivesaddle.tools.bench.run import DAEMONS, Policy, World
from chivesaddle.tools.bench.workload import Shape, Workload, shares_of

DEADLINES_S = {True: INTERACTIVE_DEADLINE_S, False: BATCH_DEADLINE_S}
OFFERED_SHARES = 4.0
REPAIR_LOADS = (ORDINARY_LOAD, 2.0)
MAX_REPAIR_S = 2_000.0
# Name, pace policy, and its value: a part of the disk link, or a round in seconds.
PACES = (
    ("fixed 10 % of the disk link", "fixed", 0.1),
    ("fixed 40 % of the disk link", "fixed", 0.4),
    ("deadline 600 s", "deadline", 600.0),
    ("deadline 60 s", "deadline", 60.0),
)


@dataclass(frozen=True)
class Experiment:
    """One run: a load level, one side of the fairness comparison, or a repair."""

    shape: Shape
    seed: int
    duration_s: float
    policy: Policy = Policy.CHIVESADDLE
    load: float = ORDINARY_LOAD
    large_offers: float = 1.0
    small_only: bool = False
    pace: str = ""

    @property
    def key(self) -> tuple[Any, ...]:
        """Names the experiment among those of one bench run."""
        return (
            self.shape.name,
            self.policy.value,
            self.load,
            self.large_offers,
            self.small_only,
            self.pace,
        )

    def rates(self, workload: Workload) -> dict[str, float]:
        """Return the requests/s that each account offers."""
        rates = dict(shares_of(self.shape, self.load * workload.capacity()))
        rates[self.shape.largest] *= self.large_offers
        if self.small_only:
            small = self.shape.small_accounts()
            rates = {a: rate for a, rate in rates.items() if a in small}
        return rates

    def run(self) -> dict[str, Any]:
        """Run it and return its figures."""
        # The KV service logs every failed save and import of an overloaded run.
        logging.getLogger("chivesaddle").setLevel(logging.ERROR)
        workload = Workload(self.shape, self.seed, DAEMONS)
        world = World(workload, self.policy, self.seed)
        world.visit_all()
        if self.pace:
            return run_repair(self, world, workload)
        arrivals = workload.arrivals(self.rates(workload), self.duration_s)
        result = world.measure(arrivals, self.duration_s)
        figures = measure.summary(result, DEADLINES_S)
        small = self.shape.small_accounts()
        figures["small_p95_s"] = measure.small_p95(result, small)
        return figures


class AlwaysHeld:
    """A lease that no other process wants."""

    def held_at(self, now: float) -> bool:
        """Return True."""
        return True


def run_repair(
    experiment: Experiment, world: World, workload: Workload
) -> dict[str, Any]:
    """Let a store die, restore its copies under load, and return the figures."""
    stores, clock = world.stores, world.clock
    stores.replace("store-1")
    kv = world.daemons[0].kv
    assert kv is not None
    configured = tuple(world.config.stores_by_id.values())
    repair = Repair(
        AlwaysHeld(),
        stores,
        kv.links,
        clock,
        make_pace(experiment.pace, stores.bandwidth(DISK)),
        lambda: configured,
    )
    began = clock.seconds()
    ended: list[float] = []
    repairing = start(repair.run_round())
    repairing.addCallback(lambda done: ended.extend((clock.seconds(), done.copied)))
    arrivals = workload.arrivals(experiment.rates(workload), experiment.duration_s)
    result = world.measure(arrivals, experiment.duration_s)
    while not ended and clock.seconds() < began + MAX_REPAIR_S:
        clock.run_until(clock.seconds() + 1.0)
    restored_s = ended[0] - began if ended else None
    meanwhile = [
        outcome
        for arrival, outcome in zip(arrivals, result.outcomes, strict=True)
        if restored_s is None or arrival.at < restored_s
    ]
    return {
        "restored_s": None if restored_s is None else round(restored_s, 1),
        "copied": int(ended[1]) if ended else 0,
        "interactive_p95_meanwhile_s": measure.latency(
            o for o in meanwhile if o.interactive
        )["p95"],
        "interactive_p95_s": measure.latency(
            o for o in result.outcomes if o.interactive
        )["p95"],
        "requests_meanwhile": len(meanwhile),
    }


def make_pace(name: str, disk_bytes_per_s: float) -> Pace:
    """Return the pace policy called ``name`` in `PACES`."""
    for known, policy, value in PACES:
        if known == name:
            if policy == "fixed":
                return FixedPace(value * disk_bytes_per_s)
            return DeadlinePace(value)
    raise KeyError(name)


def plan(shape: Shape, seed: int, duration_s: float) -> list[Experiment]:
    """Return the experiments of a shape."""
    base = Experiment(shape, seed, duration_s)
    found = []
    for policy in Policy:
        own = replace(base, policy=policy)
        found += [replace(own, load=load) for load in (ORDINARY_LOAD, *OVERLOADS)]
        found += [
            replace(own, small_only=True),
            replace(own, large_offers=OFFERED_SHARES),
        ]
    if shape.name == "kursuskoda":
        found += [
            replace(base, pace=name, load=load)
            for load in REPAIR_LOADS
            for name, _, _ in PACES
        ]
    return found


def run_all(
    shapes: tuple[Shape, ...], seed: int, duration_s: float, workers: int
) -> dict[str, Any]:
    """Run every experiment and return all figures, keyed by shape."""
    experiments = [e for shape in shapes for e in plan(shape, seed, duration_s)]
    # The longest first, so that no worker is left with one at the end.
    order = sorted(experiments, key=lambda e: (e.policy.naive, -e.load))
    if workers > 1:
        with ProcessPoolExecutor(workers, get_context("spawn")) as pool:
            figures = list(pool.map(Experiment.run, order))
    else:
        figures = [experiment.run() for experiment in order]
    by_key = {e.key: f for e, f in zip(order, figures, strict=True)}
    collected = {shape.name: _collect(shape, seed, by_key) for shape in shapes}
    return {
        "seed": seed,
        "duration_s": duration_s,
        "shapes": collected,
        "targets": measure.targets(collected),
    }


def _collect(
    shape: Shape, seed: int, by_key: Mapping[tuple[Any, ...], dict[str, Any]]
) -> dict[str, Any]:
    base = Experiment(shape, seed, 0.0)
    fairness = {}
    for policy in Policy:
        own = replace(base, policy=policy)
        fairness[policy.value] = {
            "unloaded_p95_s": by_key[replace(own, small_only=True).key]["small_p95_s"],
            "crowded_p95_s": by_key[replace(own, large_offers=OFFERED_SHARES).key][
                "small_p95_s"
            ],
        }
    return {
        "capacity_per_s": round(Workload(shape, seed, DAEMONS).capacity(), 2),
        "loads": {
            str(load): {
                policy.value: by_key[replace(base, policy=policy, load=load).key]
                for policy in Policy
            }
            for load in (ORDINARY_LOAD, *OVERLOADS)
        },
        "fairness": fairness,
        "repair": {
            f"{load}": {
                name: by_key[replace(base, pace=name, load=load).key]
                for name, _, _ in PACES
            }
            for load in REPAIR_LOADS
            if replace(base, pace=PACES[0][0], load=load).key in by_key
        },
    }


__all__ = ["PACES", "Experiment", "make_pace", "plan", "run_all", "run_repair"]
