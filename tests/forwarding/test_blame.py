"""Which parts are said to crash servers, from crashes and their suspects alone."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from chivesaddle.core.ids import AccountId, ModelId
from chivesaddle.core.serving_model import PromptPartId
from chivesaddle.forwarding.blame import PartEvidence, find_crashing_parts
from chivesaddle.forwarding.crashes import (
    CrashRecord,
    CrashReport,
    CrashState,
    CrashSuspects,
    part_fingerprint,
)
from chivesaddle.platform import decode_server


def evidence(*numbers, was_answered=False):
    """Return evidence of crashes one second apart."""
    times = {(f"s{number}", 1): float(number) for number in numbers}
    return PartEvidence(times, was_answered)


def found(**evidence_by_part):
    return [set(group.parts) for group in find_crashing_parts(evidence_by_part)]


class TestFewestPartsThatExplainTheCrashes:
    def test_two_crashes_are_not_enough(self):
        assert found(a=evidence(1, 2)) == []

    def test_part_of_every_crash_explains_the_others(self):
        assert found(
            common=evidence(1, 2, 3), bad=evidence(1, 2, 3, 4), other=evidence(2, 3, 4)
        ) == [{"bad"}]

    def test_parts_with_the_same_crashes_are_found_together(self):
        assert found(a=evidence(1, 2, 3), b=evidence(1, 2, 3)) == [{"a", "b"}]

    def test_two_crashing_parts_are_both_found(self):
        assert found(a=evidence(1, 2, 3, 4), b=evidence(4, 5, 6)) == [{"a"}, {"b"}]

    def test_parts_of_one_request_that_crashes_servers_are_not_blamed(self):
        bad_request = [frozenset(evidence(1, 2, 3).time_by_crash)]
        crashes_of_part = evidence(1, 2, 3)
        assert find_crashing_parts({"a": crashes_of_part}, bad_request) == []
        crashes_of_part = evidence(1, 2, 3, 4)
        (group,) = find_crashing_parts({"a": crashes_of_part}, bad_request)
        assert group.parts == {"a"}

    def test_answered_part_is_not_blamed_beside_one_that_never_was(self):
        assert found(
            common=evidence(1, 2, 3, 4, 5, was_answered=True), bad=evidence(1, 2, 3, 4)
        ) == [{"bad"}]

    def test_answered_part_is_blamed_after_five_moments(self):
        assert found(a=evidence(1, 2, 3, 4, was_answered=True)) == []
        assert found(a=evidence(1, 2, 3, 4, 5, was_answered=True)) == [{"a"}]

    def test_servers_of_a_zone_that_end_together_count_once(self):
        zone = PartEvidence({(f"s{n}", 1): 7.0 + n / 100 for n in range(9)}, True)
        assert found(a=zone) == []

    @given(
        st.dictionaries(
            st.sampled_from("abcdefgh"),
            st.builds(
                lambda numbers, was_answered: evidence(
                    *numbers, was_answered=was_answered
                ),
                st.sets(st.integers(1, 9)),
                st.booleans(),
            ),
        ),
        st.randoms(use_true_random=False),
    )
    @settings(derandomize=True, deadline=None)
    def test_result_explains_crashes_in_any_order(self, evidence_by_part, random):
        shuffled = list(evidence_by_part.items())
        random.shuffle(shuffled)
        groups = find_crashing_parts(evidence_by_part)
        assert find_crashing_parts(dict(shuffled)) == groups
        explained = set().union(*(group.crashes for group in groups))
        for _part, part_evidence in evidence_by_part.items():
            unexplained = set(part_evidence.time_by_crash) - explained
            if part_evidence.is_sufficient:
                assert len(unexplained) < 2
        for group in groups:
            assert all(evidence_by_part[part].is_sufficient for part in group.parts)


def server(number, started_ms=1):
    return decode_server(
        f"s{number}",
        {
            "service": "app",
            "address": f"10.0.0.{number}:80",
            "zone": "z",
            "slots": 4,
            "state": "ready",
            "born": started_ms,
        },
    )


BAD = part_fingerprint(PromptPartId("bad"), None, None)
COMMON = part_fingerprint(PromptPartId("common"), None, None)


class TestRecord:
    @pytest.fixture
    def clock(self):
        clock = Clock()
        clock.advance(100)
        return clock

    def crash(self, record, numbers, parts=(BAD,)):
        for number in numbers:
            record.suspect(f"request-{number}", server(number), f"id-{number}", parts)

    def refuses(self, record, *parts, request="request"):
        return record.find_refusal(CrashSuspects(request, parts)) is not None

    def test_part_is_refused_after_three_crashes(self, clock):
        record = CrashRecord(clock)
        self.crash(record, (1, 2))
        assert not self.refuses(record, COMMON, BAD)
        self.crash(record, (3,))
        assert self.refuses(record, COMMON, BAD)
        assert not self.refuses(record, COMMON)

    def test_one_daemon_after_the_other_tries_one_of_two_possible_causes(self, clock):
        """Guards against a harmless part that is refused together with the cause."""
        records = [CrashRecord(clock) for _ in range(2)]
        for rank, record in enumerate(records):
            record.trial_rank = lambda part, rank=rank: rank
            self.crash(record, (1, 2, 3), (BAD, COMMON))
        assert [self.refuses(record, COMMON) for record in records] == [True, True]
        clock.advance(0.35)
        assert [self.refuses(record, COMMON) for record in records] == [False, True]
        assert not self.refuses(records[0], COMMON), "its second check"
        assert self.refuses(records[0], COMMON, request="other"), "one is being tried"
        assert self.refuses(records[0], BAD, COMMON), "it would tell nothing"
        records[0].record_answered([COMMON])
        assert not self.refuses(records[0], COMMON)
        assert self.refuses(records[0], BAD)

    def test_answer_clears_a_part(self, clock):
        record = CrashRecord(clock)
        self.crash(record, (1, 2, 3))
        record.record_answered([BAD])
        assert not self.refuses(record, BAD)

    def test_server_that_continues_a_response_has_not_crashed(self, clock):
        record = CrashRecord(clock)
        self.crash(record, (1, 2, 3))
        record.confirm("s1")
        clock.advance(2)
        now = clock.seconds()
        record.disprove(server(1), connected_at=now - 1.9, alive_at=now)
        assert record.count(BAD) == 3, "the connection is of the next start"
        record.disprove(server(1), connected_at=now - 9.0, alive_at=now - 1.5)
        assert record.count(BAD) == 3, "the bytes may have been written before"
        record.disprove(server(1), connected_at=now - 9.0, alive_at=now)
        assert record.count(BAD) == 2
        assert record.count("request-1") == 0

    def test_harmless_request_at_servers_that_a_part_crashed_is_not_blocked(
        self, clock
    ):
        record = CrashRecord(clock)
        for number in (1, 2, 3):
            record.suspect("harmless", server(number), "a1", [COMMON])
        assert record.blocked_until("harmless") is not None
        self.crash(record, (1, 2, 3, 4))
        suspects = CrashSuspects("harmless", (COMMON,))
        assert record.find_refusal(suspects) is None

    def test_few_requests_with_a_suspected_part_run_at_once(self, clock):
        record = CrashRecord(clock)
        self.crash(record, (1,))
        record.start_run("x", BAD)
        assert not self.refuses(record, BAD)
        record.start_run("y", BAD)
        assert self.refuses(record, BAD)

    @pytest.mark.parametrize("knows_first", [True, False])
    def test_daemons_share_that_a_part_was_answered(self, clock, knows_first):
        records = [CrashRecord(clock) for _ in range(3)]
        for record in records:
            peers = [other for other in records if other is not record]
            record.on_report = lambda reports, peers=peers: [
                peer.apply_reports(reports) for peer in peers
            ]
        records[0].record_answered([COMMON])
        reporters = records if knows_first else list(reversed(records))
        for number, record in zip((1, 2, 3), reporters, strict=True):
            record.suspect(f"r{number}", server(number), "a1", [COMMON])
        assert [self.refuses(record, COMMON) for record in records] == [False] * 3

    def test_isolated_accounts_share_no_parts(self):
        part, model = PromptPartId("p"), ModelId("m")
        accounts = (None, AccountId("a"), AccountId("b"))
        keys = {part_fingerprint(part, model, account) for account in accounts}
        assert len(keys) == 3

    def test_reports_of_older_daemons_are_read(self, clock):
        record = CrashRecord(clock)
        report = [BAD, "s1", 1, int(CrashState.CONFIRMED), 100]
        record.apply_remote(msgspec.json.decode(msgspec.json.encode([report])))
        assert record.count(BAD) == 1
        assert record.collect() == [[*report, False, True]]

    def test_memory_is_bounded_under_random_parts(self, clock):
        record = CrashRecord(clock)
        record.apply_reports(
            CrashReport(f"part:{n}", f"s{n}", 1, CrashState.SUSPECTED, 0)
            for n in range(3_000)
        )
        record.record_answered(f"part:{n}" for n in range(9_000))
        assert len(record) <= 1_024
        self.crash(record, (1, 2, 3))
        assert self.refuses(record, BAD)
