import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chivesaddle.core.model import Account
from chivesaddle.routing.limits import AccountLimits
from chivesaddle.routing.outliers import OutlierDetector
from chivesaddle.routing.retry_budget import RetryBudget

ACCOUNTS = {"a": Account(id="a", requests_per_s=1e6, tokens_per_s=100.0)}


class TestLimits:
    def test_prompt_larger_than_the_burst_runs_and_makes_the_balance_negative(self):
        """Guards against a long prompt that could never be admitted."""
        limits = AccountLimits()
        limits.set_accounts(ACCOUNTS)
        assert limits.admit("a", 1_000, 0.0) == 0
        assert limits.admit("a", 1, 1.0) == pytest.approx(8.0, abs=0.001)
        assert limits.admit("a", 1, 9.001) == 0

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        requests_per_second_by_daemon=st.lists(
            st.integers(0, 40), min_size=2, max_size=6
        )
    )
    def test_admitted_sum_over_all_daemons_is_bounded(
        self, requests_per_second_by_daemon
    ):
        """Guards the limit without a central counter, however load is distributed."""
        daemons = [AccountLimits() for _ in requests_per_second_by_daemon]
        for daemon in daemons:
            daemon.set_accounts(ACCOUNTS)
            daemon.update_demand({}, len(requests_per_second_by_daemon), 0.0)
        admitted, now, seconds, tokens = 0, 0.0, 60, 10
        for _ in range(seconds):
            for daemon, request_count in zip(
                daemons, requests_per_second_by_daemon, strict=True
            ):
                for n in range(request_count):
                    is_admitted = daemon.admit("a", tokens, now + n / 50) == 0
                    admitted += tokens if is_admitted else 0
            now += 1.0
            demand = [daemon.own_demand(now).get("a", 0.0) for daemon in daemons]
            for daemon, own in zip(daemons, demand, strict=True):
                daemon.update_demand(
                    {"a": sum(demand) - own}, len(requests_per_second_by_daemon), now
                )
        # 1.25 x the limit, one burst, and per daemon one request that makes its balance
        # negative.
        assert admitted <= 1.25 * 100 * seconds + 125 + tokens * len(
            requests_per_second_by_daemon
        )

    def test_burst_on_all_daemons_before_any_report_stays_within_the_limit(self):
        """Guards against every daemon granting the whole limit to an idle account."""
        daemons = [AccountLimits() for _ in range(5)]
        admitted = 0
        for daemon in daemons:
            daemon.set_accounts(ACCOUNTS)
            daemon.update_demand({}, len(daemons), 0.0)
            admitted += sum(daemon.admit("a", 10, 0.0) == 0 for _ in range(20))
        assert admitted == 10


class TestRetryBudget:
    def test_retries_are_a_tenth_of_the_requests_of_ten_seconds(self):
        """Guards against retries multiplying the load of a failing pool."""
        budget = RetryBudget()
        for n in range(100):
            budget.record_request(n / 100)
        assert [budget.try_spend(1.0) for _ in range(12)].count(True) == 10
        assert [budget.try_spend(20.0) for _ in range(5)].count(True) == 3


class TestOutliers:
    def test_five_failures_eject_for_a_doubling_time(self):
        outliers = OutlierDetector()
        outliers.set_pools({"m": frozenset("abc")}, 0)
        assert [outliers.record_failure("a", 0) for _ in range(5)][-1]
        assert outliers.is_ejected("a", 4.9)
        assert not outliers.is_ejected("a", 5.0)
        for _ in range(5):
            outliers.record_failure("a", 6)
        assert outliers.is_ejected("a", 15.9)

    def test_server_of_a_small_pool_is_ranked_last_instead_of_ejected(self):
        outliers = OutlierDetector()
        outliers.set_pools({"m": frozenset("ab")}, 0)
        assert not outliers.record_failure("a", 0, crashed=True)
        assert outliers.penalty_s("a", 1) > 0

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["fail", "crash", "leave"]),
                st.integers(0, 8),
                st.floats(0, 3),
            )
        )
    )
    def test_at_most_a_third_of_every_pool_is_ejected(self, events):
        """Guards against ejection emptying a pool, also while servers leave."""
        outliers, now = OutlierDetector(), 0.0
        pools = {"m": set(range(9)), "n": {0, 1, 2, 3}}
        outliers.set_pools({k: frozenset(v) for k, v in pools.items()}, now)
        for kind, server, delay in events:
            now += delay
            if kind == "leave":
                for members in pools.values():
                    members.discard(server)
                outliers.set_pools({k: frozenset(v) for k, v in pools.items()}, now)
            else:
                outliers.record_failure(server, now, crashed=kind == "crash")
            for members in pools.values():
                ejected = sum(outliers.is_ejected(s, now) for s in members)
                assert ejected <= len(members) // 3
