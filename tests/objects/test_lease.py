from collections import deque

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from chivesaddle.core.aio import start
from chivesaddle.objects import Lease, LeaseState, MemoryObjectApi, WriteFault


class PausableProcess:
    """Clock and platform of one process; while paused, nothing reaches the process."""

    def __init__(self, clock, api):
        self._clock, self._api = clock, api
        self._withheld = None

    def pause(self):
        if self._withheld is None:
            self._withheld = []

    def resume(self):
        withheld, self._withheld = self._withheld or [], None
        for call in withheld:
            call()

    def _deliver(self, call):
        if self._withheld is None:
            call()
        else:
            self._withheld.append(call)

    def seconds(self):
        return self._clock.seconds()

    def callLater(self, delay, function, *args, **kw):  # noqa: N802
        cancelled = []
        inner = self._clock.callLater(
            delay,
            self._deliver,
            lambda: None if cancelled else cancelled.append(1) or function(*args, **kw),
        )
        handle = type("Call", (), {})()
        handle.active = lambda: not cancelled
        handle.cancel = lambda: (
            cancelled.append(1),
            inner.cancel() if inner.active() else None,
        )
        return handle

    def __getattr__(self, name):
        method = getattr(self._api, name)

        async def call(*args, **kw):
            answer = Deferred()
            sent = start(method(*args, **kw))
            sent.addBoth(lambda result: self._deliver(lambda: answer.callback(result)))
            return await answer

        return call


def advance(clock, seconds, check=lambda: None):
    # Eighths are exact in binary, so timers fire at the tick they are due.
    for _ in range(round(seconds * 8)):
        clock.advance(0.125)
        check()


@pytest.fixture
def api(clock):
    return MemoryObjectApi(clock)


@pytest.fixture
def lease(api, clock):
    return Lease(api, clock, "repair/r", "one", "1")


@pytest.fixture
def rival(api, clock):
    return Lease(api, clock, "repair/r", "two", "1")


class TestHolding:
    def test_holder_keeps_the_lease_and_listeners_hear_it_once(self, lease, clock):
        heard = []
        lease.add_listener(heard.append)
        lease.start()
        advance(clock, 20)
        assert lease.held_at(clock.seconds())
        assert heard == [True]
        assert lease.fencing_token == 1

    # Without relays a candidate reads once per TTL, which adds up to one TTL.
    @pytest.mark.parametrize("relayed, takeover_s", [(True, 4), (False, 7)])
    def test_dead_holder_is_replaced(self, api, clock, rival, relayed, takeover_s):
        process = PausableProcess(clock, api)
        dead = Lease(process, process, "repair/r", "dead", "1")
        dead.start()
        rival.start()
        advance(clock, 5, lambda: rival.observe(dead.version) if relayed else None)
        process.pause()
        advance(clock, takeover_s)
        assert rival.held_at(clock.seconds())
        assert rival.fencing_token == 2

    def test_paused_holder_no_longer_considers_itself_in_time(self, api, clock):
        """Guards against acting on a lease whose expiry timer has not run yet."""
        process = PausableProcess(clock, api)
        lease = Lease(process, process, "repair/r", "one", "1")
        lease.start()
        process.pause()
        advance(clock, 2.6)
        assert lease.state is LeaseState.HELD
        assert not lease.held_at(clock.seconds())

    def test_release_lets_another_holder_in_without_waiting(self, run, lease, rival):
        lease.start()
        run(lease.stop())
        rival.start()
        assert rival.held_at(0)
        assert rival.fencing_token == 2

    def test_restarted_process_waits_for_its_predecessor(self, api, clock, lease):
        """Guards against two incarnations of one name holding at the same time."""
        lease.start()
        again = Lease(api, clock, "repair/r", "one", "2")
        again.start()
        advance(clock, 1)
        assert not again.held_at(clock.seconds())


class TestPlatformFaults:
    def test_outage_lapses_the_lease_and_the_holder_regains_it(self, api, clock, lease):
        lease.start()
        api.faults.outage = True
        advance(clock, 3)
        assert lease.state is LeaseState.LAPSED
        api.faults.outage = False
        advance(clock, 1)
        assert lease.held_at(clock.seconds())

    @pytest.mark.parametrize("fault", list(WriteFault))
    def test_one_faulty_renewal_does_not_interrupt_holding(
        self, api, clock, lease, fault
    ):
        lease.start()
        api.faults.writes.append(fault)
        advance(clock, 6, lambda: _assert_held(lease, clock))

    @pytest.mark.parametrize("fault", list(WriteFault))
    def test_lease_is_acquired_after_a_faulty_first_write(
        self, api, clock, lease, fault
    ):
        api.faults.writes.append(fault)
        lease.start()
        advance(clock, 2)
        assert lease.held_at(clock.seconds())

    def test_period_of_a_late_renewal_counts_from_its_sending(self, api, clock, lease):
        """Guards against a renewal that took effect late extending the period."""
        lease.start()
        api.faults.late_effect_s = 2.0
        api.faults.writes.append(WriteFault.DELAYED)
        advance(clock, 1)
        api.faults.writes.extend([WriteFault.REFUSED] * 9)
        advance(clock, 2.375)
        assert lease.held_at(1.0 + 2.49)
        assert not lease.held_at(1.0 + 2.5)

    def test_release_covers_a_write_in_flight(self, api, clock, lease, run):
        """Guards against a stopped process leaving a lease until it expires."""
        lease.start()
        api.faults.delay_s = 0.1
        advance(clock, 1)
        stopped = start(lease.stop())
        assert not lease.held_at(clock.seconds())
        advance(clock, 1)
        assert stopped.called
        api.faults.delay_s = 0
        assert run(api.get("leases", "repair/r", deadline=9)).value["holder"] == ""

    def test_start_during_a_release_waits_for_it(self, api, clock, lease, run):
        """Guards against a release that gives away a lease acquired meanwhile."""
        lease.start()
        api.faults.delay_s = 0.25
        start(lease.stop())
        api.faults.delay_s = 0.0
        lease.start()

        def check():
            stored = run(api.get("leases", "repair/r", deadline=9)).value["holder"]
            assert lease.held_at(clock.seconds()) <= (stored == lease.holder)

        advance(clock, 3, check)
        assert lease.held_at(clock.seconds())


class TestRelayedObservations:
    def test_candidate_that_hears_the_holder_does_not_read_the_platform(
        self, api, clock, lease, rival
    ):
        lease.start()
        rival.start()
        reads = api.calls["get"]
        advance(clock, 10, lambda: rival.observe(lease.version))
        assert api.calls["get"] == reads

    def test_relay_of_an_older_version_does_not_delay_a_takeover(
        self, api, clock, lease, rival, run
    ):
        lease.start()
        old = lease.version
        advance(clock, 3)
        api.faults.outage = True
        run(lease.stop())
        api.faults.outage = False
        rival.start()
        advance(clock, 4, lambda: rival.observe(old))
        assert rival.held_at(clock.seconds())


def _assert_held(lease, clock):
    assert lease.held_at(clock.seconds())


ACTIONS = st.one_of(
    st.tuples(
        st.sampled_from(["pause", "resume", "stop", "start", "relay"]),
        st.integers(0, 2),
    ),
    st.tuples(st.just("fault"), st.sampled_from([None, *WriteFault])),
    st.tuples(st.just("outage"), st.booleans()),
    st.tuples(st.just("delay"), st.sampled_from([0.0, 0.2, 0.6, 2.0])),
    st.tuples(st.just("late"), st.sampled_from([0.1, 1.0, 4.0])),
)


class TestRelayedAges:
    def test_relayed_renewal_counts_from_its_sending(self, clock, api):
        """Guards against waiting for a holder that only repeats an old renewal."""
        lease = Lease(api, clock, "l", "b")
        lease.observe(5, 1.0)
        lease.start()
        clock.advance(1.9)
        assert not lease.held_at(clock.seconds())
        clock.advance(0.2)
        assert lease.held_at(clock.seconds())


class TestInterleavings:
    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given(
        st.lists(st.tuples(ACTIONS, st.sampled_from([0, 0.25, 1, 3, 5])), max_size=40)
    )
    @pytest.mark.fault("orders", step="lease", fault="any interleaving of holders")
    def test_never_two_holders_in_time_and_terms_follow_holders(self, script):
        """Guards against two holders at one instant, paused ones included."""
        clock = Clock()
        api = MemoryObjectApi(clock)
        processes = [PausableProcess(clock, api) for _ in range(3)]
        leases = [Lease(p, p, "l", f"h{i}", "1") for i, p in enumerate(processes)]
        holder_by_term = {}

        def check():
            held = [x for x in leases if x.held_at(clock.seconds())]
            assert len(held) <= 1
            for lease in held:
                assert lease.fencing_token >= max(holder_by_term, default=0)
                owner = holder_by_term.setdefault(lease.fencing_token, lease.holder)
                assert owner == lease.holder

        for lease in leases:
            lease.start()
        for (action, argument), pause in script:
            match action:
                case "pause":
                    processes[argument].pause()
                case "resume":
                    processes[argument].resume()
                case "stop":
                    start(leases[argument].stop())
                case "start":
                    leases[argument].start()
                case "relay":
                    version = leases[argument].version
                    for other in leases:
                        if leases[argument].held_at(clock.seconds()):
                            other.observe(version)
                case "fault":
                    api.faults.writes.append(argument)
                case "outage":
                    api.faults.outage = argument
                case "delay":
                    api.faults.delay_s = argument
                case "late":
                    api.faults.late_effect_s = argument
            check()
            advance(clock, pause, check)
        api.faults.outage, api.faults.delay_s = False, 0.0
        api.faults.writes = deque()
        for process, lease in zip(processes, leases, strict=True):
            process.resume()
            lease.start()
        advance(clock, 12, check)
        assert any(lease.held_at(clock.seconds()) for lease in leases)
