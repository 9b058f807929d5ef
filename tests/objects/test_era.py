"""Leases over a store that returns from a copy some seconds old."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from chivesaddle.core.aio import start
from chivesaddle.objects import Lease, StoreEra
from chivesaddle.objects.lease import MAX_TERM, TERMS_PER_ERA, TTL_S
from chivesaddle.objects.memory import MemoryClient, MemoryObjectApi


class Process:
    """A lease of one process, with its own connection to the store."""

    def __init__(self, clock, api, name):
        self.era = StoreEra(clock)
        self.client = MemoryClient(api, self.era)
        self.lease = Lease(self.client, clock, "l", name, "1", era=self.era)
        self.lease.start()


def advance(clock, seconds, check=lambda: None):
    for _ in range(round(seconds * 8)):
        clock.advance(0.125)
        check()


class TestStoreEra:
    def test_first_era_is_no_rise(self, clock):
        era = StoreEra(clock)
        era.observe(5)
        assert era.rose_at is None

    def test_first_era_may_have_risen_just_before(self, clock):
        """Guards against a process that starts after a return and trusts the copy."""
        era = StoreEra(clock)
        era.observe(1)
        assert era.may_have_risen_within(2.0)
        clock.advance(1.0)
        era.observe(1)
        clock.advance(1.0)
        assert not era.may_have_risen_within(2.0)

    def test_store_that_never_returned_has_not_risen(self, clock):
        era = StoreEra(clock)
        era.observe(0)
        assert not era.may_have_risen_within(2.0)

    def test_rise_is_told_once(self, clock):
        era, told = StoreEra(clock), []
        era.add_listener(lambda: told.append(era.current))
        for value in (0, 1, 1, 0, 2):
            era.observe(value)
        assert told == [1, 2]
        assert era.rose_within(0.1)


class TestReturnFromACopy:
    def test_holder_gives_up_when_it_learns_of_the_new_era(self, clock):
        process = Process(clock, MemoryObjectApi(clock), "a")
        advance(clock, 2)
        assert process.lease.is_held_at(clock.seconds())
        process.era.observe(1)
        assert not process.lease.is_held_at(clock.seconds())

    def test_lost_record_is_not_replaced_before_the_holder_has_stopped(self, clock):
        """A holder that is cut off acts until its lease lapses."""
        api = MemoryObjectApi(clock)
        holder = Process(clock, api, "a")
        copied = api.take_copy()
        advance(clock, 2)
        other = Process(clock, api, "b")
        advance(clock, 1)
        holder.client.is_cut = True
        api.restore(copied, ["leases"])
        held_together = []
        advance(
            clock,
            2 * TTL_S + 2,
            lambda: held_together.append(
                holder.lease.is_held_at(clock.seconds())
                and other.lease.is_held_at(clock.seconds())
            ),
        )
        assert other.lease.is_held_at(clock.seconds())
        assert not any(held_together)

    def test_fencing_token_does_not_go_back(self, clock):
        api = MemoryObjectApi(clock)
        processes = [Process(clock, api, name) for name in "ab"]
        copied = api.take_copy()
        for process in processes * 2:
            process.client.is_cut = True
            advance(clock, 8)
            process.client.is_cut = False
        highest = max(p.lease.highest_term for p in processes)
        assert highest > 1
        api.restore(copied)
        advance(clock, 12)
        (holder,) = [p for p in processes if p.lease.is_held_at(clock.seconds())]
        assert holder.lease.fencing_token > highest

    def test_term_told_by_a_peer_counts(self, clock):
        """The record and the only process that knew the term may be lost together."""
        process = Process(clock, MemoryObjectApi(clock), "a")
        told = 5 * TERMS_PER_ERA + 41
        process.lease.observe_term(told)
        copied = MemoryObjectApi(clock).take_copy()
        process.client._api.restore(copied)
        advance(clock, 8)
        assert process.lease.fencing_token == told + 1

    def test_old_record_with_this_process_as_holder_is_not_its_own(self, clock):
        api = MemoryObjectApi(clock)
        first = Process(clock, api, "a")
        advance(clock, 1)
        copied = api.take_copy()
        first.client.is_cut = True
        second = Process(clock, api, "b")
        advance(clock, 10)
        assert second.lease.is_held_at(clock.seconds())
        api.restore(copied)
        first.client.is_cut = False
        both = []
        advance(
            clock,
            12,
            lambda: both.append(
                first.lease.is_held_at(clock.seconds())
                and second.lease.is_held_at(clock.seconds())
            ),
        )
        assert not any(both)


ACTIONS = st.one_of(
    st.tuples(st.just("copy"), st.just(0)),
    st.tuples(st.just("restore"), st.booleans()),
    st.tuples(st.sampled_from(["cut", "heal", "tell"]), st.integers(0, 2)),
    st.tuples(st.just("outage"), st.booleans()),
    st.tuples(st.just("delay"), st.sampled_from([0.0, 0.2, 0.6])),
)


class TestInterleavings:
    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given(st.lists(st.tuples(ACTIONS, st.sampled_from([0, 0.25, 1, 3])), max_size=40))
    def test_terms_rise_and_holders_do_not_overlap_over_returns_of_the_store(
        self, script
    ):
        """Guards against two holders, and a fencing token that is given out twice."""
        clock = Clock()
        api = MemoryObjectApi(clock)
        processes = [Process(clock, api, f"h{n}") for n in range(3)]
        copied = api.take_copy()
        holder_by_term = {}

        def check():
            held = [p for p in processes if p.lease.is_held_at(clock.seconds())]
            assert len(held) <= 1
            for process in held:
                term = process.lease.fencing_token
                assert term >= max(holder_by_term, default=0)
                owner = holder_by_term.setdefault(term, process.lease.holder)
                assert owner == process.lease.holder
                # Daemons tell each other the highest term all the time.
                for other in processes:
                    other.lease.observe_term(process.lease.highest_term)

        for (action, argument), pause in script:
            match action:
                case "copy":
                    copied = api.take_copy()
                case "restore":
                    api.restore(copied, ["leases"] if argument else [])
                case "cut":
                    processes[argument].client.is_cut = True
                case "heal":
                    processes[argument].client.is_cut = False
                case "tell":
                    for process in processes:
                        process.era.observe(processes[argument].era.current)
                case "outage":
                    api.faults.outage = argument
                case "delay":
                    api.faults.delay_s = argument
            check()
            advance(clock, pause, check)
        api.faults.outage, api.faults.delay_s = False, 0.0
        for process in processes:
            process.client.is_cut = False
        advance(clock, 14, check)
        assert any(p.lease.is_held_at(clock.seconds()) for p in processes)


class TestProcessThatStartsAfterTheReturn:
    """Guards against two holders with one fencing token, one of them just started."""

    @pytest.mark.parametrize("has_record", [False, True])
    def test_takes_a_term_above_that_of_a_holder_it_knows_nothing_of(
        self, clock, has_record
    ):
        api = MemoryObjectApi(clock)
        copied = api.take_copy()
        holder = Process(clock, api, "a")
        advance(clock, 2)
        if has_record:
            copied = api.take_copy()
        api.restore(copied)
        holder.client.is_cut = True
        started = Process(clock, api, "b")
        advance(clock, TTL_S - 0.25)
        assert not started.lease.is_held_at(clock.seconds())
        advance(clock, 4)
        assert started.lease.is_held_at(clock.seconds())
        assert started.lease.fencing_token > holder.lease.fencing_token

    def test_waits_also_if_the_copy_names_no_holder(self, clock):
        api = MemoryObjectApi(clock)
        released = Process(clock, api, "a")
        advance(clock, 1)
        start(released.lease.stop())
        copied = api.take_copy()
        Process(clock, api, "b")
        advance(clock, 2)
        api.restore(copied)
        started = Process(clock, api, "c")
        advance(clock, TTL_S - 0.25)
        assert not started.lease.is_held_at(clock.seconds())

    def test_term_of_a_late_era_is_one_that_others_read(self, clock):
        api = MemoryObjectApi(clock)
        api.era = 10**18
        process = Process(clock, api, "a")
        advance(clock, 5)
        assert process.lease.is_held_at(clock.seconds())
        assert 0 < process.lease.fencing_token < MAX_TERM
