import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from chivesaddle.routing import (
    AccountLimited,
    DeadlineUnreachable,
    NoBackendServer,
    Refuse,
    Send,
    StoredCopy,
    UnknownModel,
    Wait,
)
from chivesaddle.routing.blocks import MAX_BLOCK_HOLDER_PAIRS, MAX_BLOCKS, BlockIndex
from chivesaddle.routing.naive import HashRouter, LeastLoadedRouter, RandomRouter


def send(router, request, now=0.0, **kw):
    decision = router.choose(request, now, **kw)
    assert isinstance(decision, Send), decision
    router.record_start(request, decision, now)
    return decision


class TestPlacement:
    def test_repeated_prompt_goes_to_the_server_that_holds_its_blocks(self, build):
        """Guards against recomputing a prompt that another server has cached."""
        router, request = build.router(), build.request()
        other = next(
            s for s in ("s0", "s1", "s2") if s != router.choose(request, 0).server_id
        )
        router.update_blocks(other, request.prefix_keys, ())
        assert router.choose(build.request(), 0).server_id == other

    def test_identical_requests_prefer_the_same_home(self, build):
        """Guards against copies of a crashing request running on different servers."""
        chosen = {build.router().choose(build.request(), 0).server_id for _ in range(5)}
        assert len(chosen) == 1

    def test_frequent_prompt_spreads_over_servers(self, build):
        """Guards against one server queueing a frequent prompt while others idle."""
        router = build.router()
        used = [send(router, build.request()).server_id for _ in range(18)]
        assert max(used.count(s) for s in set(used)) <= 5
        assert len(set(used)) >= 4

    def test_blocks_of_the_old_version_are_dropped_on_a_version_change(self, build):
        """Guards against reuse of blocks across weight versions."""
        router, request = build.router(), build.request()
        router.update_blocks("s0", request.prefix_keys, ())
        router.update_config(build.config(version="v2"))
        assert router.pools.blocks.leading_blocks(request.prefix_keys) == {}

    def test_report_of_a_busy_server_diverts_new_requests(self, build):
        router, request = build.router(), build.request()
        home = router.choose(request, 0).server_id
        busy = build.report(queued_prefill_tokens=80_000, running=2)
        router.update_load(home, busy, 0)
        assert router.choose(build.request(), 0).server_id != home

    def test_requests_sent_since_a_delayed_report_are_added_to_it(self, build):
        """Guards against sending everything to the server that last reported idle."""
        router = build.router(servers=1)
        send(router, build.request(), 1.0)
        router.update_load("s0", build.report(age_s=0.5), 1.2)
        assert router.pools.servers_by_id["s0"].load == 1
        router.update_load("s0", build.report(running=1, age_s=0.1), 1.3)
        assert router.pools.servers_by_id["s0"].load == 1

    def test_requests_on_a_removed_server_do_not_change_the_pool_load(self, build):
        """Guards against a pool load that drifts below zero, which lifts all limits."""
        router, request = build.router(servers=2), build.request()
        sent = send(router, request)
        config = build.config(servers=2)
        left = dict(config.backend_servers_by_id)
        del left[sent.server_id]
        router.update_config(config.model_copy(update={"backend_servers_by_id": left}))
        router.record_finish(request.request_id, 1.0)
        assert router.pools.by_model_id["m"].load == 0

    def test_block_index_evicts_the_oldest_blocks_at_its_limits(self):
        """Guards the daemon's memory against the cache events of many servers."""
        index, keys = BlockIndex(), [str(n) for n in range(40_000)]
        for server, held in (
            ("s0", keys),
            ("s1", keys[20_000:]),
            ("s2", keys[20_000:]),
        ):
            index.add(server, held)
            assert len(index) <= MAX_BLOCKS
            assert sum(map(len, index._holders_by_key.values())) == index._pair_count
            assert index._pair_count <= MAX_BLOCK_HOLDER_PAIRS
        assert index.leading_blocks(keys[-1:]) == {"s0": 1, "s1": 1, "s2": 1}
        index.discard("s1", keys)
        index.drop_servers({"s0", "s2"})
        assert (len(index), index._pair_count) == (0, 0)


class TestCost:
    @pytest.mark.parametrize(
        ("block_s", "blocks"), [(0.001, 8), (0.2, 0)], ids=["fast link", "slow link"]
    )
    def test_reload_only_if_cheaper_than_recompute(self, build, block_s, blocks):
        copy = StoredCopy("store", 8, 0.0, block_s)
        sent = build.router().choose(build.request(copies=(copy,)), 0)
        assert sent.import_blocks == blocks
        assert (sent.import_from == "store") is bool(blocks)

    def test_import_does_not_rely_on_blocks_that_may_be_evicted(self, build):
        """Guards against an import that lacks leading blocks evicted by the server."""
        router = build.router(servers=1)
        copies = (StoredCopy("store", 8, 0.0, 0.001),)
        request = build.request(copies=copies)
        router.update_blocks("s0", request.prefix_keys[:3], ())
        sent = router.choose(request, 0)
        assert (sent.import_blocks, sent.cached_blocks) == (8, 0)


class TestAdmission:
    def test_unreachable_deadline_is_refused_with_a_retry_time(self, build):
        router = build.router(servers=1)
        # 8,000 queued tokens take 1 s and the prompt 0.26 s.
        router.update_load("s0", build.report(queued_prefill_tokens=8_000), 0)
        refused = router.choose(build.request(deadline=0.5), 0)
        assert isinstance(refused.error, DeadlineUnreachable)
        assert refused.error.retry_after_s == pytest.approx(0.757, abs=0.01)
        # A retry after that time with the same time to its deadline is accepted.
        later = refused.error.retry_after_s + 0.001
        assert isinstance(
            router.choose(build.request(deadline=later + 0.5), later), Send
        )

    def test_prompt_too_long_for_its_deadline_gets_no_retry_time(self, build):
        """Guards against callers retrying a request that can never succeed."""
        refused = build.router().choose(build.request(deadline=0.1), 0)
        assert refused.error.retry_after_s is None

    def test_unknown_model_and_empty_pool_are_refused(self, build):
        router = build.router(servers=1)
        unknown = router.choose(build.request(model_id="x"), 0)
        assert isinstance(unknown.error, UnknownModel)
        router.mark_leaving("s0")
        assert isinstance(router.choose(build.request(), 0).error, NoBackendServer)

    def test_server_that_refused_a_request_is_used_again_only_after_a_restart(
        self, build
    ):
        """Guards against never using a restarted server again after one refusal."""
        router = build.router(servers=1)
        router.mark_leaving("s0")
        router.update_load("s0", build.report(), 5.0)
        assert isinstance(router.choose(build.request(), 5.0).error, NoBackendServer)
        router.record_restart("s0")
        assert isinstance(router.choose(build.request(), 6.0), Send)

    def test_server_that_ended_its_draining_is_used_again(self, build):
        router = build.router(servers=1)
        router.update_load("s0", build.report(draining=True), 1.0)
        router.mark_leaving("s0")
        router.update_load("s0", build.report(), 5.0)
        assert isinstance(router.choose(build.request(), 5.0), Send)

    def test_server_that_refused_a_connection_gets_no_work_until_it_reports(
        self, build
    ):
        """Guards against requests to a crashed server that only polls have detected."""
        router = build.router(servers=1)
        router.record_connection_refused("s0")
        assert isinstance(router.choose(build.request(), 1.0).error, NoBackendServer)
        router.update_load("s0", build.report(), 2.0)
        assert isinstance(router.choose(build.request(), 2.0), Send)

    def test_server_that_is_listed_as_leaving_stays_unused_despite_its_reports(
        self, build
    ):
        router = build.router(servers=1)
        router.set_listed_leaving(frozenset({"s0"}))
        router.update_load("s0", build.report(), 100.0)
        assert isinstance(router.choose(build.request(), 100).error, NoBackendServer)

    def test_refused_request_is_not_charged(self, build):
        """Guards against refusals by an overloaded pool using up account limits."""
        router = build.router(requests_per_s=1.0)
        late = [router.choose(build.request(deadline=0.1), 0) for _ in range(3)]
        assert all(isinstance(r.error, DeadlineUnreachable) for r in late)
        assert isinstance(router.choose(build.request(), 0), Send)

    def test_account_over_its_limit_is_refused_and_charged_once_per_request(
        self, build
    ):
        router = build.router(requests_per_s=1.0)
        request = build.request()
        assert [type(router.choose(request, 0)) for _ in range(3)] == [Send] * 3
        refused = router.choose(build.request(), 0)
        assert isinstance(refused.error, AccountLimited)
        assert isinstance(router.choose(build.request(), 1.01), Send)
        assert refused.error.retry_after_s == pytest.approx(0, abs=0.001)


class TestWaiting:
    def test_interactive_is_served_before_batch_that_came_first(self, build):
        router = build.router(servers=1)
        runs = [build.request() for _ in range(5)]
        for run in runs:
            send(router, run)
        batch, interactive = build.request(interactive=False), build.request()
        assert isinstance(router.choose(batch, 0.0), Wait)
        assert isinstance(router.choose(interactive, 0.0), Wait)
        router.record_finish(runs[0].request_id, 0.1)
        assert isinstance(router.choose(batch, 0.1), Wait)
        send(router, interactive, 0.1)

    def test_freed_slot_notifies_the_next_waiting_request(self, build):
        """Guards against a slot staying free until the next request polls."""
        router, notified = build.router(servers=1), []
        router.set_grant_listener(notified.append)
        runs = [build.request() for _ in range(5)]
        first, second = build.request(), build.request(account="b")
        for run in runs:
            send(router, run)
        assert isinstance(router.choose(first, 0), Wait)
        assert isinstance(router.choose(second, 0), Wait)
        assert notified == []
        router.record_finish(runs[0].request_id, 0.01)
        assert notified == [first.request_id]
        assert isinstance(router.choose(second, 0.01), Wait)
        send(router, first, 0.01)

    def test_large_account_does_not_starve_ten_small_ones(self, build):
        """Guards the fairness of the router as a whole, not only of its queue."""
        small = [f"small{n}" for n in range(10)]
        router = build.router(servers=1, accounts=("large", *small))
        waiting = [build.request(str(n), account="large") for n in range(100)]
        waiting += [build.request(account=account) for account in small]
        running, served, now = [], [], 0.0
        while len(served) < 30:
            for request in list(waiting):
                match router.choose(request, now):
                    case Send() as sent:
                        router.record_start(request, sent, now)
                        running.append(request.request_id)
                        served.append(request.account_id)
                        waiting.remove(request)
            router.record_finish(running.pop(0), now)
            now += 0.1
        # The first five requests get free slots; then the accounts take turns.
        assert set(served[:17]) >= set(small)

    def test_batch_occupies_at_most_half_of_the_slots(self, build):
        router = build.router(servers=2)
        for _ in range(5):
            send(router, build.request(interactive=False))
        assert isinstance(router.choose(build.request(interactive=False), 0), Wait)
        assert isinstance(router.choose(build.request(), 0), Send)

    def test_abandoned_request_does_not_block_the_queue(self, build):
        router = build.router(servers=1)
        runs = [build.request() for _ in range(5)]
        for run in runs:
            send(router, run)
        router.choose(build.request(), 0)
        router.record_finish(runs[0].request_id, 1)
        send(router, build.request(), 5)


# The fixture only holds functions, so that examples can share it.
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["leave", "drain", "crash", "fail", "versions", "load", "remove", "finish"]
        ),
        st.integers(0, 6),
        st.floats(0, 2),
    ),
    max_size=60,
)


class TestInvariants:
    @settings(SETTINGS, max_examples=200)
    @given(events=EVENTS)
    @pytest.mark.fault("leaving", step="any", fault="any order of reports and failures")
    def test_never_a_leaving_ejected_draining_or_wrong_version_server(
        self, build, events
    ):
        """Guards against requests to unusable servers, under any order of events."""
        router, now, running = build.router(servers=7), 0.0, []
        leaving, draining, removed, versions = set(), set(), set(), {}
        for kind, index, delay in events:
            now += delay
            server = f"s{index}"
            match kind:
                case "leave":
                    router.mark_leaving(server)
                    leaving.add(server)
                case "drain" | "load":
                    if kind == "load" and server in draining:
                        # A server that ended its draining is no longer leaving.
                        leaving.discard(server)
                    (draining.add if kind == "drain" else draining.discard)(server)
                    report = build.report(draining=kind == "drain")
                    router.update_load(server, report, now)
                case "crash":
                    router.record_crash(server, now)
                case "fail" if running:
                    router.record_failure(running.pop().request_id, now)
                case "remove" if delay > 1.8:
                    removed.add(server)
                    config = build.config(servers=7)
                    left = config.backend_servers_by_id.items()
                    left = {k: v for k, v in left if k not in removed}
                    router.update_config(
                        config.model_copy(update={"backend_servers_by_id": left})
                    )
                case "versions" if server not in removed:
                    versions[server] = "v1" if delay < 1 else "v2"
                    router.update_versions(server, {"m": [versions[server]]})
                case "finish" if running:
                    done = running.pop()
                    router.record_finish(done.request_id, now, done.prefix_keys)
            usable = {f"s{i}" for i in range(7)} - leaving - draining - removed
            pool = router.pools.by_model_id["m"]
            assert {s.id for s in pool.servers} == usable
            assert pool.load == sum(s.load for s in pool.servers)
            ejected = {s for s in usable if router.outliers.is_ejected(s, now)}
            assert len(ejected) <= len(usable) // 3
            request = build.request(prompt=str(index), deadline=now + 50)
            excluded = frozenset({f"s{(index + 1) % 7}"})
            match router.choose(request, now, excluded):
                case Send(server_id) as sent:
                    assert server_id in usable - ejected - excluded
                    assert versions.get(server_id, "v1") == "v1"
                    router.record_start(request, sent, now)
                    running.append(request)
                case Refuse(NoBackendServer()):
                    right = {s for s in usable if versions.get(s, "v1") == "v1"}
                    assert not right - ejected - excluded


class TestAgainstNaiveRouters:
    @pytest.mark.parametrize("naive", [RandomRouter, LeastLoadedRouter, HashRouter])
    @settings(SETTINGS, max_examples=30)
    @given(prompts=st.lists(st.integers(0, 5), max_size=40))
    def test_without_faults_the_same_requests_complete(self, build, naive, prompts):
        """Guards against losing or refusing requests that a baseline router serves."""
        baseline = naive()
        baseline.update_config(build.config())
        outcomes = [
            self._completed(router, prompts, build)
            for router in (build.router(), baseline)
        ]
        assert outcomes[0] == outcomes[1] == set(range(len(prompts)))

    def _completed(self, router, prompts, build):
        waiting = [(i, build.request(prompt=str(p))) for i, p in enumerate(prompts)]
        done, now = set(), 0.0
        while waiting and now < 50:
            running, later = [], []
            for index, request in waiting:
                match router.choose(request, now):
                    case Send() as sent:
                        router.record_start(request, sent, now)
                        running.append((index, request))
                    case Wait():
                        later.append((index, request))
            now += 0.2
            for index, request in running:
                router.record_first_token(request.request_id, now)
                router.record_finish(request.request_id, now, request.prefix_keys)
                done.add(index)
            waiting = later
        return done
