import pytest

from chivesaddle.core.errors import InvalidValue
from chivesaddle.standins.blocks import block_keys
from chivesaddle.standins.engine_core import (
    Completion,
    EngineConfig,
    EngineCore,
    StreamState,
)
from chivesaddle.standins.engine_models import LoadedModels
from chivesaddle.standins.errors import Rejected
from chivesaddle.standins.expected import expected_text
from chivesaddle.standins.faults import EngineFaults

SALT = "0a" * 16
PROMPT = "course handbook " * 512  # 8 blocks, 2,048 tokens
CONFIG = EngineConfig(
    prefill_tokens_per_s=2_048,
    decode_tokens_per_s=10,
    max_running=2,
    max_queued=3,
    cache_blocks=16,
)


@pytest.fixture
def crash_times():
    return []


@pytest.fixture
def engine(clock, crash_times):
    models = LoadedModels.from_config(["m:v1:a1"], checks_fence=True)
    return EngineCore(
        clock, CONFIG, models, lambda: crash_times.append(clock.seconds())
    )


def submit_request(
    engine, request_id, prompt=PROMPT, max_tokens=5, salt=SALT, **fields
):
    completion = Completion(
        request_id, "m", prompt, max_tokens, cache_salt=salt, **fields
    )
    return engine.submit(completion)


def generated_text(stream):
    return "".join(stream.tokens)


class TestText:
    def test_generated_text_matches_the_expected_text(self, engine, clock):
        stream = submit_request(engine, "r")
        clock.pump([1.0] + [0.1] * 5)
        assert stream.state is StreamState.FINISHED
        assert generated_text(stream) == expected_text("m", "v1", PROMPT, 5)

    def test_repeated_request_id_returns_the_existing_stream(self, engine, clock):
        """Guards against running a request twice when it is submitted again."""
        first = submit_request(engine, "r")
        clock.pump([1.1])
        assert submit_request(engine, "r") is first

    def test_resume_text_continues_an_uninterrupted_run(self, engine, clock):
        """Guards against continuations that repeat or skip tokens."""
        whole = expected_text("m", "v1", PROMPT, 5)
        start = expected_text("m", "v1", PROMPT, 2)
        stream = submit_request(engine, "r", resume_text=start, max_tokens=3)
        clock.pump([1.1] + [0.1] * 5)
        assert start + generated_text(stream) == whole
        assert stream.first_index == 2

    def test_adapter_and_version_change_the_text(self):
        plain = expected_text("m", "v1", PROMPT, 5)
        assert plain != expected_text("m", "v2", PROMPT, 5)
        assert plain != expected_text("m", "v1", PROMPT, 5, adapter="a1")

    def test_wrong_cached_payload_changes_the_text(self, engine, clock):
        """Guards against reuse of a damaged block that the text does not reveal."""
        keys = block_keys(SALT, PROMPT.encode())
        engine.cache.store(SALT, [(keys[0], b"damaged")])
        stream = submit_request(engine, "r")
        clock.pump([1.0] + [0.1] * 5)
        assert stream.cached_tokens == 256
        assert generated_text(stream) != expected_text("m", "v1", PROMPT, 5)


class TestPrefillAndQueue:
    def test_cached_prefix_shortens_prefill(self, engine, clock):
        submit_request(engine, "first", max_tokens=1)
        clock.advance(1.0)
        again = submit_request(engine, "second", PROMPT + "x" * 1_024, max_tokens=1)
        clock.advance(0.125)
        assert again.state is StreamState.FINISHED
        assert again.usage()["prompt_tokens_details"]["cached_tokens"] == 2_048

    def test_another_salt_shares_no_blocks(self, engine, clock):
        """Guards against reuse of one account's cached blocks for another account."""
        submit_request(engine, "first", max_tokens=1)
        clock.advance(1.0)
        other = submit_request(engine, "second", max_tokens=1, salt="0b" * 16)
        assert other.cached_tokens == 0

    def test_interactive_requests_run_before_batch(self, engine, clock):
        submit_request(engine, "running", max_tokens=1)
        batch = submit_request(
            engine, "batch", max_tokens=1, priority=1, salt="0b" * 16
        )
        interactive = submit_request(
            engine, "interactive", max_tokens=1, salt="0c" * 16
        )
        clock.advance(1.0)
        assert interactive.state is StreamState.PREFILLING
        assert batch.state is StreamState.QUEUED

    def test_full_queue_rejects_with_retry_after(self, engine):
        for number in range(4):
            submit_request(engine, str(number))
        with pytest.raises(Rejected) as rejected:
            submit_request(engine, "one too many")
        assert rejected.value.status == 429
        assert rejected.value.retry_after_s

    def test_at_most_max_running_requests_run(self, engine, clock):
        for number in range(4):
            submit_request(engine, str(number), "short", max_tokens=100)
        clock.pump([0.01] * 50)
        report = engine.load()
        assert (report["running"], report["queued"]) == (2, 2)

    def test_cancelled_stream_frees_its_slot(self, engine, clock):
        streams = [
            submit_request(engine, str(n), "short", max_tokens=100) for n in range(3)
        ]
        clock.pump([0.01] * 50)
        assert streams[2].state is StreamState.QUEUED
        engine.cancel("0", SALT)
        clock.pump([0.01] * 50)
        assert streams[2].state is StreamState.DECODING


class TestStreams:
    def test_stream_of_another_salt_is_unknown(self, engine):
        """Guards against one account reading another's response."""
        submit_request(engine, "r")
        with pytest.raises(Rejected) as rejected:
            engine.find_stream("r", "0b" * 16)
        assert rejected.value.status == 404

    def test_finished_stream_is_kept_for_the_retention_time(self, engine, clock):
        submit_request(engine, "r", max_tokens=1)
        clock.advance(1.0)
        clock.advance(CONFIG.retention_s - 1)
        assert engine.find_stream("r", SALT).end_index == 1
        clock.advance(1)
        with pytest.raises(Rejected):
            engine.find_stream("r", SALT)

    def test_request_with_invalid_salt_is_refused_before_it_runs(self, engine):
        """Guards against an exception during prefill that blocks the engine's queue."""
        with pytest.raises(InvalidValue):
            submit_request(engine, "r", salt="not hexadecimal")
        assert submit_request(engine, "next").state is StreamState.PREFILLING


class TestModels:
    @pytest.mark.parametrize(
        ("fields", "status"),
        [({"weight_version": "v9"}, 409), ({"adapter": "a9"}, 404)],
    )
    def test_version_or_adapter_that_is_not_loaded_is_rejected(
        self, engine, fields, status
    ):
        with pytest.raises(Rejected) as rejected:
            submit_request(engine, "r", **fields)
        assert rejected.value.status == status

    def test_running_request_keeps_its_version_after_a_swap(self, engine, clock):
        stream = submit_request(engine, "r")
        engine.models.apply({"order": "load_version", "model": "m", "version": "v2"})
        clock.pump([1.0] + [0.1] * 5)
        assert generated_text(stream) == expected_text("m", "v1", PROMPT, 5)

    def test_stale_fencing_token_is_rejected_unless_ignored(self, engine):
        engine.models.check_fencing_token(7, ignore=False)
        with pytest.raises(Rejected):
            engine.models.check_fencing_token(6, ignore=False)
        engine.models.check_fencing_token(6, ignore=True)
        assert engine.models.highest_fencing_token == 7


class TestCacheAndEvents:
    def test_eviction_starts_at_the_end_of_the_oldest_prefix(self, engine, clock):
        for number, salt in enumerate(("0a" * 16, "0b" * 16, "0c" * 16)):
            submit_request(
                engine, str(number), PROMPT[: 6 * 1_024], max_tokens=1, salt=salt
            )
            clock.advance(1.0)
        first_keys = block_keys("0a" * 16, PROMPT[: 6 * 1_024].encode())
        assert len(engine.cache) == 16
        assert len(engine.cache.match_prefix("0a" * 16, first_keys)) == 4

    def test_events_are_delayed_and_lost_ones_leave_a_gap(self, engine, clock):
        engine.set_faults(EngineFaults(events_lost_next=2))
        submit_request(engine, "r", max_tokens=1)
        clock.advance(1.0)
        assert engine.events.after(0)["events"] == []
        clock.advance(CONFIG.events_lag_s)
        found = engine.events.after(0)
        assert [event["seq"] for event in found["events"]] == [3, 4, 5, 6, 7, 8]
        assert found["next"] == 8

    def test_sequence_number_from_before_a_restart_returns_zero(self, engine):
        """Guards against readers that wait forever for numbers of an ended process."""
        assert engine.events.after(500) == {"next": 0, "events": []}


class TestFaults:
    def test_prompt_with_crash_marker_crashes_when_it_runs(
        self, engine, clock, crash_times
    ):
        engine.set_faults(EngineFaults(crash_marker="BOOM"))
        submit_request(engine, "first")
        submit_request(engine, "second", "BOOM")
        assert crash_times == []
        clock.advance(1.0)
        assert crash_times == [1.0]

    def test_frozen_engine_proceeds_after_unfreezing(self, engine, clock):
        stream = submit_request(engine, "r", max_tokens=1)
        engine.set_faults(EngineFaults(frozen=True))
        clock.advance(10)
        assert stream.tokens == []
        engine.set_faults(EngineFaults())
        assert stream.state is StreamState.FINISHED

    def test_draining_engine_finishes_running_requests(self, engine, clock):
        stream = submit_request(engine, "r", max_tokens=1)
        engine.set_faults(EngineFaults(draining=True))
        with pytest.raises(Rejected) as rejected:
            submit_request(engine, "late")
        assert rejected.value.status == 503
        clock.advance(1.0)
        assert stream.state is StreamState.FINISHED

    def test_load_report_is_as_old_as_its_lag(self, engine, clock):
        clock.advance(5.0)
        submit_request(engine, "r", max_tokens=100)
        engine.set_faults(EngineFaults(load_lag_s=3))
        clock.advance(2.0)
        assert engine.load()["running"] == 0
        clock.advance(1.0)
        assert engine.load()["running"] == 1
