import pytest

from chivesaddle.core.aio import start
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.kv import LinkBusy, LinkId, LinkScheduler
from chivesaddle.kv.link import MAX_WAITING_TRANSFERS

LINK = LinkId("st", "memory")


@pytest.fixture
def links(clock):
    links = LinkScheduler(clock)
    # A window of 50,000 bytes in flight.
    links.set_reported_bandwidth(LINK, 1_000_000)
    return links


def acquire(links, length=30_000, interactive=False, deadline=9.0):
    return start(
        links.acquire(LINK, length, interactive=interactive, deadline=deadline)
    )


class TestLinkScheduler:
    def test_bytes_in_flight_are_bounded_and_interactive_goes_first(self, links):
        """Guards against batch transfers delaying the import of a waiting request."""
        first, batch = acquire(links), acquire(links)
        interactive = acquire(links, interactive=True)
        assert (batch.called, interactive.called) == (False, False)
        links.release(first.result, moved_bytes=30_000)
        assert (batch.called, interactive.called) == (False, True)
        assert links.in_flight(LINK) == 30_000

    def test_transfer_larger_than_the_window_runs_alone(self, links):
        large = acquire(links, 900_000)
        assert large.called
        assert not acquire(links, 1).called

    def test_waiter_that_misses_its_deadline_leaves_the_queue(self, links, clock):
        """Guards against starting a transfer whose caller has stopped waiting."""
        first, second = acquire(links), acquire(links, deadline=1.0)
        second.addErrback(lambda f: f.check(DeadlineExceeded))
        clock.advance(1)
        links.release(first.result, moved_bytes=30_000)
        assert links.in_flight(LINK) == 0
        assert links.wait_s(LINK, interactive=False) == 0

    def test_waiting_transfers_are_bounded(self, links):
        waiting = [acquire(links) for _ in range(MAX_WAITING_TRANSFERS + 1)]
        extra = acquire(links)
        extra.addErrback(lambda f: f.check(LinkBusy))
        assert extra.result is LinkBusy
        assert sum(w.called for w in waiting) == 1

    def test_estimate_drops_on_a_slow_link_and_recovers_later(self, links, clock):
        """Guards against a link that stays unused forever after one slow period."""
        for _ in range(8):
            transfer = acquire(links).result
            clock.advance(0.3)
            links.release(transfer, moved_bytes=30_000)
        assert links.bandwidth(LINK) == pytest.approx(100_000, rel=0.1)
        clock.advance(60)
        assert links.bandwidth(LINK) == 1_000_000

    def test_small_transfers_do_not_lower_the_estimate(self, links, clock):
        """Guards against latency being measured as low bandwidth.

        The smaller window would lead to smaller transfers and still lower measurements.
        """
        for _ in range(20):
            transfer = acquire(links, 100).result
            clock.advance(0.02)
            links.release(transfer, moved_bytes=100)
        assert links.bandwidth(LINK) == 1_000_000

    def test_timed_out_transfer_lowers_the_estimate(self, links, clock):
        transfer = acquire(links).result
        clock.advance(1)
        links.release(transfer, moved_bytes=None, timed_out=True)
        assert links.bandwidth(LINK) == 500_000
