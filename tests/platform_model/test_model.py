import pytest

from chivesaddle.tools.bench.virtual import EventClock
from chivesaddle.tools.platform_model import (
    REQUEST_KINDS,
    EngineRequest,
    EngineSpec,
    Policy,
    SimulatedEngine,
    SimulatedFleet,
    TrafficGenerator,
)

DIGEST, ASK, TAG = REQUEST_KINDS


class EngineHarness:
    """A simulated engine that records cached parts and the times of its requests."""

    def __init__(self, **figures):
        self.clock = EventClock()
        self.tokens_by_part = {}
        self.engine = SimulatedEngine(
            self.clock, EngineSpec(**figures), self.tokens_by_part.__setitem__
        )
        self.first_token_at = {}
        self.finished_at = {}

    def submit(
        self, name, part="a", shared_tokens=6_120, own=612, output_tokens=10, **fields
    ):
        request = EngineRequest(
            part,
            shared_tokens,
            own,
            output_tokens,
            fields.pop("rank", 5),
            lambda: self.first_token_at.setdefault(name, self.clock.seconds()),
            lambda: self.finished_at.setdefault(name, self.clock.seconds()),
            **fields,
        )
        self.engine.submit(request)
        return request

    def simulate(self, until):
        self.clock.run_until(until)


class TestEngine:
    def test_prompt_is_prefilled_at_the_published_rate(self):
        engine = EngineHarness(attention_ms_per_million_pairs=0.0)
        engine.submit("r")
        engine.simulate(1.0)
        # 6,732 tokens at 61.2 tokens/ms, in four chunks with one step each.
        assert engine.first_token_at["r"] == pytest.approx(
            0.110 + 4 * 0.0034, abs=0.002
        )

    def test_cached_part_is_not_prefilled_again(self):
        engine = EngineHarness(attention_ms_per_million_pairs=0.0)
        engine.submit("first")
        engine.simulate(1.0)
        engine.submit("second")
        engine.simulate(2.0)
        assert engine.first_token_at["second"] - 1.0 < 0.02
        assert engine.engine.counts.prefilled_tokens == 6_120 + 2 * 612

    def test_fetched_part_takes_link_time_and_is_not_prefilled(self):
        engine = EngineHarness(attention_ms_per_million_pairs=0.0)
        engine.submit("r", is_fetched=True)
        engine.simulate(1.0)
        assert engine.first_token_at["r"] == pytest.approx(
            6_120 / 198_000 + 0.013, abs=0.004
        )
        assert engine.engine.counts.prefilled_tokens == 612

    def test_prefill_slows_running_requests(self):
        alone, beside = EngineHarness(), EngineHarness()
        for engine in (alone, beside):
            engine.submit("run", output_tokens=100)
            engine.simulate(0.2)
        for number in range(4):
            beside.submit(f"reader{number}", part=str(number))
        for engine in (alone, beside):
            engine.simulate(3.0)
        assert beside.finished_at["run"] > alone.finished_at["run"] + 0.3

    def test_least_recently_used_part_is_evicted(self):
        engine = EngineHarness(memory_tokens=14_500)
        for number, part in enumerate("abc"):
            engine.simulate(number * 1.0)
            engine.submit(part, part=part)
        engine.simulate(4.0)
        assert engine.tokens_by_part["a"] == 0
        assert engine.tokens_by_part["b"] == engine.tokens_by_part["c"] == 6_120

    def test_requests_wait_for_memory_in_order_of_rank(self):
        engine = EngineHarness(memory_tokens=8_000)
        engine.submit("running", output_tokens=50)
        engine.simulate(0.2)
        engine.submit("later", part="b", rank=5)
        engine.submit("urgent", part="c", rank=1)
        engine.simulate(3.0)
        assert engine.finished_at["running"] < engine.first_token_at["urgent"]
        assert engine.first_token_at["urgent"] < engine.first_token_at["later"]

    def test_cancelled_request_frees_its_memory(self):
        engine = EngineHarness(memory_tokens=8_000)
        request = engine.submit("cancelled", output_tokens=10_000)
        engine.simulate(0.5)
        engine.submit("next", part="b")
        engine.engine.cancel(request)
        engine.simulate(2.0)
        assert "next" in engine.finished_at


class TestTraffic:
    def test_same_seed_gives_the_same_requests(self):
        assert list(TrafficGenerator(1.0, 3).prompts(5.0)) == list(
            TrafficGenerator(1.0, 3).prompts(5.0)
        )

    def test_sizes_and_arrival_rates_have_the_published_means(self):
        digests = [
            p for p in TrafficGenerator(4.0, 1).prompts(200.0) if p.kind is DIGEST
        ]
        assert len(digests) == pytest.approx(4 * 200 * DIGEST.arrivals_per_s, rel=0.1)
        own = sum(prompt.own_tokens for prompt in digests) / len(digests)
        assert own == pytest.approx(DIGEST.own_tokens, rel=0.05)


class TestFleet:
    def simulate(self, policy, load=1.0, until=12.0, **fields):
        return SimulatedFleet(policy, 1, daemons=3, engines=2).simulate(
            TrafficGenerator(load, 1, **fields), until
        )

    def test_every_request_has_one_outcome(self):
        result = self.simulate(Policy("all"), load=1.2, until=5.0)
        outcomes = result.on_time + result.late + result.refused + result.abandoned
        assert outcomes == result.arrived > 100

    def test_same_seed_gives_the_same_result(self):
        assert self.simulate(Policy("all"), until=3.0) == self.simulate(
            Policy("all"), until=3.0
        )

    def test_queue_earns_more_when_engine_memory_is_short(self):
        with_queue = self.simulate(Policy("queue"), load=0.7, until=20.0)
        without_queue = self.simulate(
            Policy("no queue", queue=False), load=0.7, until=20.0
        )
        assert with_queue.worth > without_queue.worth
        assert with_queue.abandoned < without_queue.abandoned

    def test_stores_and_cache_events_reduce_recomputed_tokens(self):
        cached = self.simulate(Policy("cached"), load=0.8)
        uncached = self.simulate(
            Policy("uncached", kv_stores=False, cache_events=False), load=0.8
        )
        assert cached.recomputed_tokens < uncached.recomputed_tokens
