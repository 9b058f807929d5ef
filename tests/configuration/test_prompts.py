import pytest

from chivesaddle.configuration import PromptNotFound, PromptStore
from chivesaddle.core.errors import InvalidValue
from chivesaddle.core.objects import PlatformUnavailable, WriteOutcomeUnknown
from chivesaddle.objects import MemoryObjectApi, WriteFault

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
        made = run(prompts.create("a", BODY))
        for call in (prompts.get, prompts.delete):
            with pytest.raises(PromptNotFound):
                run(call("b", made.id))
        assert run(prompts.list("b")) == []
        assert run(prompts.get("a", made.id)).body == BODY

    def test_separator_in_names_does_not_mix_accounts(self, prompts, run):
        run(prompts.create("a", BODY, "b/c"))
        with pytest.raises(PromptNotFound):
            run(prompts.get("a/b", "c"))
        assert run(prompts.list("a/b")) == []


class TestCache:
    def test_second_read_within_the_deadline_needs_no_platform(
        self, api, clock, prompts, run
    ):
        made = run(prompts.create("a", BODY))
        clock.advance(8)
        run(prompts.get("a", made.id))
        assert api.calls["get"] == 0

    def test_deletion_elsewhere_is_seen_after_the_deadline(
        self, api, clock, prompts, run
    ):
        made = run(prompts.create("a", BODY))
        run(PromptStore(api, clock).delete("a", made.id))
        clock.advance(9)
        with pytest.raises(PromptNotFound):
            run(prompts.get("a", made.id))

    def test_outage_does_not_interrupt_a_known_prompt(self, api, clock, prompts, run):
        made = run(prompts.create("a", BODY))
        clock.advance(600)
        api.faults.outage = True
        assert run(prompts.get("a", made.id)) == made
        with pytest.raises(PlatformUnavailable):
            run(prompts.get("a", "other"))

    def test_cache_is_bounded(self, prompts, run):
        for i in range(20):
            run(prompts.create("a", {"text": "x" * 900_000}, f"p{i}"))
        assert prompts._cached_bytes <= 16_000_000


class TestLostAnswers:
    def test_create_whose_answer_was_lost_succeeds(self, api, prompts, run):
        api.faults.writes.append(WriteFault.LOST_AFTER_EFFECT)
        made = run(prompts.create("a", BODY, "p"))
        assert run(prompts.list("a")) == [made]

    def test_create_that_may_take_effect_late_is_not_reported_as_stored(
        self, api, prompts, run
    ):
        api.faults.writes.append(WriteFault.DELAYED)
        with pytest.raises(WriteOutcomeUnknown):
            run(prompts.create("a", BODY, "p"))
        assert run(prompts.create("a", BODY, "p")).id == "p"

    @pytest.mark.parametrize("prompt_id", ["", "a b", "x" * 201, "\ud800"])
    def test_id_that_no_url_can_name_is_refused(self, prompts, run, prompt_id):
        with pytest.raises(InvalidValue):
            run(prompts.create("a", BODY, prompt_id))
        with pytest.raises(PromptNotFound):
            run(prompts.get("a", prompt_id))

    def test_body_that_is_not_json_is_refused(self, prompts, run):
        with pytest.raises(InvalidValue):
            run(prompts.create("a", {"temperature": float("inf")}))

    def test_id_of_another_body_is_refused(self, prompts, run):
        run(prompts.create("a", BODY, "p"))
        with pytest.raises(InvalidValue, match="taken"):
            run(prompts.create("a", {"text": "other"}, "p"))
