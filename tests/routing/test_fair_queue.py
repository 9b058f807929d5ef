from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from chivesaddle.routing.fair_queue import FairQueue


def add(queue, request_id, account, cost=1.0, weight=1.0, interactive=True):
    return queue.add(
        request_id, account, cost=cost, weight=weight, interactive=interactive, now=0.0
    )


def serve(queue, requests):
    """Serve one request at a time; yield the ids in the order of service."""
    remaining = dict.fromkeys(requests)
    while remaining:
        for request_id in remaining:
            if queue.poll(request_id, free_slots=1, free_batch_slots=1, now=0.0):
                del remaining[request_id]
                yield request_id
                break


class TestFairness:
    def test_large_account_does_not_starve_ten_small_ones(self):
        """Guards against an account with a long backlog always being served first."""
        queue, account_by_request_id = FairQueue(), {}
        for n in range(200):
            add(queue, f"large-{n}", "large", cost=100)
            account_by_request_id[f"large-{n}"] = "large"
        for n in range(10):
            add(queue, f"small-{n}", f"small-{n}", cost=100)
            account_by_request_id[f"small-{n}"] = "small"
        first_served = [
            account_by_request_id[r]
            for r, _ in zip(
                serve(queue, account_by_request_id), range(12), strict=False
            )
        ]
        assert first_served.count("small") == 10

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(
        costs=st.lists(
            st.tuples(st.sampled_from("ab"), st.integers(1, 50)), max_size=60
        ),
        weight=st.integers(1, 4),
    )
    def test_served_cost_differs_by_at_most_the_largest_requests(self, costs, weight):
        """Guards the fairness bound while both accounts have waiting requests."""
        queue, weights = FairQueue(), {"a": 1, "b": weight}
        requests = {f"r{i}": item for i, item in enumerate(costs)}
        for request_id, (account, cost) in requests.items():
            add(queue, request_id, account, cost, weights[account])
        remaining = Counter(account for account, _ in costs)
        largest = {a: max((c for b, c in costs if a == b), default=0) for a in "ab"}
        bound = sum(largest[a] / weights[a] for a in "ab")
        served = {"a": 0.0, "b": 0.0}
        for request_id in serve(queue, requests):
            if not (remaining["a"] and remaining["b"]):
                break
            account, cost = requests[request_id]
            served[account] += cost / weights[account]
            remaining[account] -= 1
            assert abs(served["a"] - served["b"]) <= bound

    def test_batch_gets_one_grant_in_ten_while_interactive_waits(self):
        """Guards against starving batch requests, and against preferring them."""
        queue = FairQueue()
        for n in range(100):
            add(queue, f"i{n}", "a")
            add(queue, f"b{n}", "a", interactive=False)
        ids = [f"{kind}{n}" for n in range(100) for kind in "ib"]
        first_served = [
            r[0] for r, _ in zip(serve(queue, ids), range(50), strict=False)
        ]
        assert first_served.count("b") == 5


class TestBounds:
    def test_full_queue_displaces_the_largest_account_only(self):
        """Guards against one account filling the queue and excluding the others."""
        queue = FairQueue(capacity=4)
        assert all(add(queue, f"l{n}", "large") for n in range(4))
        assert not add(queue, "l4", "large")
        assert add(queue, "s", "small")
        assert len(queue) == 4
        assert "l3" not in queue

    def test_abandoned_requests_free_queue_capacity(self):
        queue = FairQueue(capacity=1)
        add(queue, "old", "a")
        assert queue.add("new", "a", cost=1, weight=1, interactive=True, now=9.0)
        assert queue.poll("new", free_slots=1, free_batch_slots=1, now=9.0)
