import json
import os
import subprocess
import sys
from dataclasses import replace

import pytest

from chivesaddle.kv import DeadlinePace, FixedPace
from chivesaddle.tools.bench.experiments import Experiment, make_pace, plan
from chivesaddle.tools.bench.measure import Target, percentile, share, summary
from chivesaddle.tools.bench.run import DAEMONS, Outcome, Policy, RunResult
from chivesaddle.tools.bench.workload import KITAMI, KURSUSKODA, SHAPES, Workload

SMALL = KURSUSKODA.scaled(0.1)
DEADLINES = {True: 1.0, False: 10.0}
PRINT_RUN = """
import json
from chivesaddle.tools.bench.experiments import Experiment
from chivesaddle.tools.bench.workload import KURSUSKODA
run = Experiment(KURSUSKODA.scaled(0.1), 3, 4.0).run()
print(json.dumps(run, sort_keys=True))
"""


def outcome(first_token_s, interactive=True, **fields):
    values = {"finished": first_token_s is not None, "kind": "k", "account": "a"}
    return Outcome(
        interactive=interactive, first_token_s=first_token_s, **(values | fields)
    )


class TestMeasure:
    def test_percentiles_interpolate_and_survive_few_values(self):
        """Guards against figures of a class that hardly occurred."""
        assert percentile([], 95) is None
        assert percentile([2.0], 95) == 2.0
        assert percentile([float(n) for n in range(101)], 95) == 95.0

    def test_share_of_nothing_is_zero(self):
        assert (share(1, 4), share(0, 0)) == (0.25, 0.0)

    def test_goodput_counts_only_answers_in_time(self):
        """Guards against counting late, refused or unfinished requests as served."""
        result = RunResult(
            duration_s=2.0,
            outcomes=[
                outcome(0.5),
                outcome(1.5),
                outcome(5.0, interactive=False),
                outcome(None, refused="engine_full"),
                outcome(0.1, finished=False),
            ],
            prompt_tokens=100,
            computed_tokens=25,
        )
        figures = summary(result, DEADLINES)
        assert figures["goodput_per_s"] == 1.0
        assert figures["refused_share"] == 0.2
        assert figures["recomputed_share"] == 0.25
        assert figures["unfinished"] == 1

    @pytest.mark.parametrize(("measured", "met"), [(1.0, True), (1.01, False)])
    def test_target_is_met_up_to_its_bound(self, measured, met):
        assert Target("t", measured, 1.0).to_json()["met"] is met


class TestWorkload:
    @pytest.mark.parametrize("shape", SHAPES)
    def test_returning_prompts_exceed_the_engines_caches(self, shape):
        """Guards against a workload in which nothing is ever evicted."""
        workload = Workload(shape, 1, DAEMONS)
        blocks = sum(
            len(document) // 1_024
            for documents in workload.documents.values()
            for document in documents
        )
        assert blocks > 3 * shape.engine_cache_blocks * len(shape.engine_zones)

    def test_an_account_offers_the_same_beside_a_busier_one(self):
        """Guards against comparing small accounts over different requests."""
        workload = Workload(KITAMI, 1, DAEMONS)
        alone = workload.arrivals({"label-9": 1.0}, 20.0)
        crowded = workload.arrivals({"label-1": 8.0, "label-9": 1.0}, 20.0)
        own = [replace(a, number=0) for a in crowded if a.account == "label-9"]
        assert own == [replace(a, number=0) for a in alone]


class TestExperiments:
    def test_same_seed_gives_identical_bytes(self):
        """Guards against figures that depend on the order of sets."""
        printed = [
            subprocess.run(
                [sys.executable, "-c", PRINT_RUN],
                env={**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": "src"},
                check=True,
                capture_output=True,
            ).stdout
            for seed in ("1", "2")
        ]
        assert printed[0] == printed[1]
        assert json.loads(printed[0])["unfinished"] == 0

    def test_plan_has_no_experiment_twice(self):
        keys = [e.key for shape in SHAPES for e in plan(shape, 1, 1.0)]
        assert len(keys) == len(set(keys))

    def test_paces_are_built_by_name(self):
        assert make_pace("deadline 60 s", 1.0) == DeadlinePace(60.0)
        assert make_pace("fixed 10 % of the disk link", 100.0) == FixedPace(10.0)

    @pytest.mark.parametrize("policy", Policy)
    def test_every_policy_answers_a_light_load(self, policy):
        """Guards against a run that drops requests instead of measuring them."""
        run = Experiment(SMALL, 1, 3.0, policy, load=0.1).run()
        assert run["unfinished"] == 0
        assert run["goodput_per_s"] > 0

    def test_repair_restores_the_copies_of_a_lost_store(self):
        run = Experiment(SMALL, 1, 3.0, load=0.1, pace="deadline 60 s").run()
        assert run["copied"] > 0
        assert run["restored_s"] is not None
