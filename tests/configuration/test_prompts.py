import pytest

from chivesaddle.configuration import PromptNotFound, PromptStore
from chivesaddle.core.errors import InvalidValue
from chivesaddle.core.objects import PlatformUnavailable, WriteOutcomeUnknown
from chivesaddle.objects.memory import MemoryObjectApi, WriteFault

BODY = {"messages": [{"role": "system", "content": "handbook"}]}


@pytest.fixture
def api(clock):
    return MemoryObjectApi(clock)


@pytest.fixture
def prompts(api, clock):
    return PromptStore(api, clock)


class TestAccounts:
    def test_prompt_of_another_account_is_not_found(self, prompts, run):
        """Guards against one account reading or deleting another's prompt."""
        created = run(prompts.create("a", BODY))
        for call in (prompts.get, prompts.delete):
            with pytest.raises(PromptNotFound):
                run(call("b", created.id))
        assert run(prompts.list("b")) == []
        assert run(prompts.get("a", created.id)).body == BODY

    def test_slash_in_ids_does_not_mix_accounts(self, prompts, run):
        run(prompts.create("a", BODY, "b/c"))
        with pytest.raises(PromptNotFound):
            run(prompts.get("a/b", "c"))
        assert run(prompts.list("a/b")) == []


class TestCache:
    def test_second_read_within_the_deadline_needs_no_platform(
        self, api, clock, prompts, run
    ):
        created = run(prompts.create("a", BODY))
        clock.advance(8)
        run(prompts.get("a", created.id))
        assert api.calls["get"] == 0

    def test_deletion_elsewhere_is_seen_after_the_deadline(
        self, api, clock, prompts, run
    ):
        created = run(prompts.create("a", BODY))
        run(PromptStore(api, clock).delete("a", created.id))
        clock.advance(9)
        with pytest.raises(PromptNotFound):
            run(prompts.get("a", created.id))

    def test_expired_cache_entry_is_used_during_an_outage(
        self, api, clock, prompts, run
    ):
        created = run(prompts.create("a", BODY))
        clock.advance(600)
        api.faults.outage = True
        assert run(prompts.get("a", created.id)) == created
        with pytest.raises(PlatformUnavailable):
            run(prompts.get("a", "other"))

    def test_cache_is_bounded(self, prompts, run):
        for i in range(20):
            run(prompts.create("a", {"text": "x" * 900_000}, f"p{i}"))
        assert prompts._cached_bytes <= 16_000_000


class TestUnknownWriteOutcomes:
    def test_create_with_a_lost_response_succeeds(self, api, prompts, run):
        api.faults.writes.append(WriteFault.LOST_AFTER_EFFECT)
        created = run(prompts.create("a", BODY, "p"))
        assert run(prompts.list("a")) == [created]

    def test_create_that_may_take_effect_late_is_not_reported_as_stored(
        self, api, prompts, run
    ):
        api.faults.writes.append(WriteFault.DELAYED)
        with pytest.raises(WriteOutcomeUnknown):
            run(prompts.create("a", BODY, "p"))
        assert run(prompts.create("a", BODY, "p")).id == "p"

    @pytest.mark.parametrize("prompt_id", ["", "a b", "x" * 201, "\ud800"])
    def test_malformed_prompt_id_is_rejected(self, prompts, run, prompt_id):
        with pytest.raises(InvalidValue):
            run(prompts.create("a", BODY, prompt_id))
        with pytest.raises(PromptNotFound):
            run(prompts.get("a", prompt_id))

    def test_body_that_is_not_json_is_refused(self, prompts, run):
        with pytest.raises(InvalidValue):
            run(prompts.create("a", {"temperature": float("inf")}))

    def test_id_already_used_with_another_body_is_rejected(self, prompts, run):
        run(prompts.create("a", BODY, "p"))
        with pytest.raises(InvalidValue, match="taken"):
            run(prompts.create("a", {"text": "other"}, "p"))
