from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from chivesaddle.routing.fair_queue import FairQueue


def add(queue, request_id, account, cost=1.0, weight=1.0, interactive=True):
    return queue.add(
        request_id, account, cost=cost, weight=weight, interactive=interactive, now=0.0
    )


def serve(queue, requests):
    """Serve one request at a time; yield its id in order of service."""
    left = dict.fromkeys(requests)
    while left:
        for request_id in left:
            if queue.poll(request_id, free=1, free_batch=1, now=0.0):
                del left[request_id]
                yield request_id
                break


class TestFairness:
    def test_large_account_does_not_starve_ten_small_ones(self):
        """Guards against an account with a long backlog going first throughout."""
        queue, account_of = FairQueue(), {}
        for n in range(200):
            add(queue, f"large-{n}", "large", cost=100)
            account_of[f"large-{n}"] = "large"
        for n in range(10):
            add(queue, f"small-{n}", f"small-{n}", cost=100)
            account_of[f"small-{n}"] = "small"
        first = [
            account_of[r]
            for r, _ in zip(serve(queue, account_of), range(12), strict=False)
        ]
        assert first.count("small") == 10

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(
        costs=st.lists(
            st.tuples(st.sampled_from("ab"), st.integers(1, 50)), max_size=60
        ),
        weight=st.integers(1, 4),
    )
    def test_served_cost_differs_at_most_by_the_largest_requests(self, costs, weight):
        """Guards the bound of start-time fair queueing while both accounts wait."""
        queue, weights = FairQueue(), {"a": 1, "b": weight}
        requests = {f"r{i}": item for i, item in enumerate(costs)}
        for request_id, (account, cost) in requests.items():
            add(queue, request_id, account, cost, weights[account])
        left = Counter(account for account, _ in costs)
        largest = {a: max((c for b, c in costs if a == b), default=0) for a in "ab"}
        bound = sum(largest[a] / weights[a] for a in "ab")
        served = {"a": 0.0, "b": 0.0}
        for request_id in serve(queue, requests):
            if not (left["a"] and left["b"]):
                break
            account, cost = requests[request_id]
            served[account] += cost / weights[account]
            left[account] -= 1
            assert abs(served["a"] - served["b"]) <= bound

    def test_batch_gets_one_grant_in_ten_while_interactive_waits(self):
        """Guards against batch starving, and against it taking more."""
        queue = FairQueue()
        for n in range(100):
            add(queue, f"i{n}", "a")
            add(queue, f"b{n}", "a", interactive=False)
        ids = [f"{kind}{n}" for n in range(100) for kind in "ib"]
        first = [r[0] for r, _ in zip(serve(queue, ids), range(50), strict=False)]
        assert first.count("b") == 5


class TestBounds:
    def test_full_queue_displaces_the_largest_account_only(self):
        """Guards against one account filling the queue and locking others out."""
        queue = FairQueue(capacity=4)
        assert all(add(queue, f"l{n}", "large") for n in range(4))
        assert not add(queue, "l4", "large")
        assert add(queue, "s", "small")
        assert len(queue) == 4
        assert "l3" not in queue

    def test_given_up_requests_make_room(self):
        queue = FairQueue(capacity=1)
        add(queue, "old", "a")
        assert queue.add("new", "a", cost=1, weight=1, interactive=True, now=9.0)
        assert queue.poll("new", free=1, free_batch=1, now=9.0)
