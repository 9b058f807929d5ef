import json
import os
import subprocess
import sys
from dataclasses import replace

import pytest

from chivesaddle.kv import DeadlinePace, FixedPace
from chivesaddle.tools.bench.experiments import Experiment, make_pace, plan_experiments
from chivesaddle.tools.bench.measure import (
    TargetResult,
    fraction,
    percentile,
    summarize_run,
)
from chivesaddle.tools.bench.run import DAEMON_COUNT, Policy, RequestResult, RunResult
from chivesaddle.tools.bench.workload import KITAMI, KURSUSKODA, SCENARIOS, Workload

SMALL_SCENARIO = KURSUSKODA.scaled(0.1)
DEADLINE_S_BY_INTERACTIVE = {True: 1.0, False: 10.0}
PRINT_METRICS = """
import json
from chivesaddle.tools.bench.experiments import Experiment
from chivesaddle.tools.bench.workload import KURSUSKODA
metrics = Experiment(KURSUSKODA.scaled(0.1), 3, 4.0).run()
print(json.dumps(metrics, sort_keys=True))
"""


def make_outcome(first_token_s, interactive=True, **fields):
    values = {
        "finished": first_token_s is not None,
        "request_class": "c",
        "account": "a",
    }
    return RequestResult(
        interactive=interactive, first_token_s=first_token_s, **(values | fields)
    )


class TestMetrics:
    def test_percentile_interpolates_and_accepts_few_values(self):
        """Guards against an error for a request class that has no or one request."""
        assert percentile([], 95) is None
        assert percentile([2.0], 95) == 2.0
        assert percentile([float(n) for n in range(101)], 95) == 95.0

    def test_fraction_of_zero_is_zero(self):
        assert (fraction(1, 4), fraction(0, 0)) == (0.25, 0.0)

    def test_goodput_counts_only_answers_within_the_deadline(self):
        """Guards against counting late, refused or unfinished requests as served."""
        result = RunResult(
            duration_s=2.0,
            outcomes=[
                make_outcome(0.5),
                make_outcome(1.5),
                make_outcome(5.0, interactive=False),
                make_outcome(None, refusal_code="engine_full"),
                make_outcome(0.1, finished=False),
            ],
            prompt_tokens=100,
            computed_tokens=25,
        )
        metrics = summarize_run(result, DEADLINE_S_BY_INTERACTIVE)
        assert metrics["goodput_per_s"] == 1.0
        assert metrics["refused_share"] == 0.2
        assert metrics["recomputed_share"] == 0.25
        assert metrics["unfinished"] == 1

    @pytest.mark.parametrize(("measured", "met"), [(1.0, True), (1.01, False)])
    def test_target_is_met_up_to_its_bound(self, measured, met):
        assert TargetResult("t", measured, 1.0).to_json()["met"] is met


class TestWorkload:
    @pytest.mark.parametrize("scenario", SCENARIOS)
    def test_documents_exceed_the_engine_caches(self, scenario):
        """Guards against a workload in which no cached block is ever evicted."""
        workload = Workload(scenario, 1, DAEMON_COUNT)
        blocks = sum(
            len(document) // 1_024
            for documents in workload.documents.values()
            for document in documents
        )
        assert blocks > 3 * scenario.engine_cache_blocks * len(scenario.engine_zones)

    def test_arrivals_of_an_account_do_not_depend_on_other_accounts(self):
        """Guards against a fairness comparison of runs with different requests."""
        workload = Workload(KITAMI, 1, DAEMON_COUNT)
        alone = workload.arrivals({"label-9": 1.0}, 20.0)
        beside_busy_account = workload.arrivals({"label-1": 8.0, "label-9": 1.0}, 20.0)
        same_account = [
            replace(a, number=0) for a in beside_busy_account if a.account == "label-9"
        ]
        assert same_account == [replace(a, number=0) for a in alone]


class TestExperiments:
    def test_same_seed_gives_identical_bytes(self):
        """Guards against results that depend on the iteration order of sets."""
        outputs = [
            subprocess.run(
                [sys.executable, "-c", PRINT_METRICS],
                env={**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": "src"},
                check=True,
                capture_output=True,
            ).stdout
            for seed in ("1", "2")
        ]
        assert outputs[0] == outputs[1]
        assert json.loads(outputs[0])["unfinished"] == 0

    def test_planned_experiments_have_unique_keys(self):
        keys = [
            e.key for scenario in SCENARIOS for e in plan_experiments(scenario, 1, 1.0)
        ]
        assert len(keys) == len(set(keys))

    def test_make_pace_finds_the_pace_by_name(self):
        assert make_pace("deadline 60 s", 1.0) == DeadlinePace(60.0)
        assert make_pace("fixed 10 % of the disk link", 100.0) == FixedPace(10.0)

    @pytest.mark.parametrize("policy", Policy)
    def test_every_policy_serves_a_light_load(self, policy):
        """Guards against runs that lose requests, which no metric would include."""
        metrics = Experiment(SMALL_SCENARIO, 1, 3.0, policy, load=0.1).run()
        assert metrics["unfinished"] == 0
        assert metrics["goodput_per_s"] > 0

    def test_repair_restores_the_copies_of_a_lost_store(self):
        metrics = Experiment(
            SMALL_SCENARIO, 1, 3.0, load=0.1, pace_name="deadline 60 s"
        ).run()
        assert metrics["copied"] > 0
        assert metrics["restored_s"] is not None
