import pytest

from chivesaddle.cachemap import CacheIndex, TransferPlanner
from chivesaddle.core.serving_model import EngineSpec, KvStore

ENGINE = EngineSpec(64, 98_000, 163_840, 260_000.0, 12)
STORE = KvStore("vault", "10.9.0.1:80", "z", 90_000, 640_000.0, 0.0005)
PARTS = [("small", 500), ("album", 8_600), ("own", 2_800)]
SERVERS = {"10.0.0.1:80": "z", "10.0.0.2:80": "z"}
SERVER, OTHER_SERVER = SERVERS


@pytest.fixture
def index(clock):
    return CacheIndex(clock)


@pytest.fixture
def transfers(clock, index):
    planner = TransferPlanner(clock, index)
    planner.set_stores({STORE.address: STORE})
    index.replace(STORE.address, 1, [])
    index.replace(SERVER, 1, [])
    index.replace(OTHER_SERVER, 1, [])
    return planner


def plan_prompt(transfers, scope="1", **kwargs):
    return transfers.plan(PARTS, scope, SERVER, "z", ENGINE, SERVERS, **kwargs)


class TestPlan:
    def test_unknown_parts_are_read_and_saved(self, transfers):
        prompt_plan = plan_prompt(transfers)
        assert prompt_plan.read_tokens == 11_900
        assert prompt_plan.save_to == (STORE.address, STORE.address, "")
        assert not any(prompt_plan.fetch_from)

    def test_parts_that_the_server_holds_are_neither_read_nor_transferred(
        self, transfers, index
    ):
        for part, tokens in PARTS[:2]:
            index.put(SERVER, ("1", part), tokens)
        prompt_plan = plan_prompt(transfers)
        assert prompt_plan.read_tokens == 2_800
        assert prompt_plan.transfer_ms == 0
        assert not any(prompt_plan.save_to)

    def test_held_part_keeps_a_source_in_case_it_is_evicted(self, transfers, index):
        index.put(SERVER, ("1", "album"), 8_600)
        index.put(STORE.address, ("1", "album"), 8_600)
        prompt_plan = plan_prompt(transfers)
        assert prompt_plan.fetch_from[1] == f"{STORE.address}/8600"
        assert prompt_plan.transfer_ms == 0

    def test_complete_part_in_a_store_is_fetched_with_its_token_count(
        self, transfers, index
    ):
        index.put(STORE.address, ("1", "album"), 8_600)
        prompt_plan = plan_prompt(transfers)
        assert prompt_plan.fetch_from[1] == f"{STORE.address}/8600"
        assert prompt_plan.read_tokens == 3_300
        assert 30 < prompt_plan.transfer_ms < 60

    def test_incomplete_part_is_not_fetched(self, transfers, index):
        index.put(STORE.address, ("1", "album"), 4_000)
        assert plan_prompt(transfers).fetch_from[1] == ""

    def test_parts_of_other_weights_or_accounts_are_not_used(self, transfers, index):
        index.put(STORE.address, ("1", "album"), 8_600)
        assert plan_prompt(transfers, scope="2").fetch_from[1] == ""
        assert plan_prompt(transfers, scope="1.acme").fetch_from[1] == ""

    def test_store_without_recent_responses_is_not_used(self, transfers, index, clock):
        """Guards against fetching a part that a restarted store is rewriting."""
        index.put(STORE.address, ("1", "album"), 8_600)
        clock.advance(2)
        prompt_plan = plan_prompt(transfers)
        assert not any(prompt_plan.fetch_from + prompt_plan.save_to)

    def test_parts_of_a_restarted_store_are_dropped(self, transfers, index):
        index.put(STORE.address, ("1", "album"), 8_600)
        assert not index.confirm(STORE.address, 2)
        assert plan_prompt(transfers).fetch_from[1] == ""

    def test_part_is_fetched_from_another_server(self, transfers, index):
        index.put(OTHER_SERVER, ("1", "album"), 8_600)
        assert plan_prompt(transfers).fetch_from[1] == OTHER_SERVER

    def test_full_store_gets_no_saves(self, transfers, index):
        index.put(STORE.address, ("1", "other"), 89_000)
        assert not any(plan_prompt(transfers).save_to)

    def test_requested_save_is_not_repeated_immediately(self, transfers, clock):
        prompt_plan = plan_prompt(transfers)
        transfers.record_saves(PARTS, "1", prompt_plan)
        assert not any(plan_prompt(transfers).save_to)
        clock.advance(1)

    def test_part_assumed_at_the_server_is_not_read(self, transfers):
        prompt_plan = plan_prompt(
            transfers, assumed_parts=frozenset(["small", "album"])
        )
        assert prompt_plan.read_tokens == 2_800


class TestIndex:
    def test_used_tokens_follow_events(self, index):
        index.replace("a", 1, [(("1", "p"), 10)])
        index.put("a", ("1", "p"), 4)
        index.put("a", ("1", "q"), 5)
        assert index.used_tokens("a") == 9
        index.put("a", ("1", "p"), 0)
        assert index.used_tokens("a") == 5
        assert index.holders(("1", "p")) == []

    def test_forgotten_holder_holds_nothing(self, index):
        index.replace("a", 1, [(("1", "p"), 10)])
        index.forget("a")
        assert index.holders(("1", "p")) == []
