import json
from types import SimpleNamespace

import pytest
from treq.testing import StubTreq
from twisted.web.resource import IResource

from chivesaddle.configuration import (
    ActiveConfig,
    ConfigService,
    Freshness,
    PromptStore,
)
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.events import EventKind, EventRing
from chivesaddle.core.settings import OperatorKey
from chivesaddle.objects.memory import MemoryObjectApi, WriteFault
from chivesaddle.operators import (
    FleetEvents,
    FleetStatus,
    OperatorApi,
    OperatorKeys,
    key_digest,
)

ACCOUNT = {"kind": "put_account", "id": "tartu"}


class FakeFleetClient:
    def __init__(self, events):
        self.events, self.cleared = events, []

    async def collect_status(self, deadline):
        return FleetStatus([{"daemon": "d0"}], ["d1"])

    async def collect_events(self, event_filter, deadline):
        return FleetEvents(self.events.select(event_filter)[::-1], ["d1"])

    async def clear_suspect(self, fingerprint, operator):
        self.cleared.append((fingerprint, operator))


class FakeActionResolver:
    def __init__(self):
        self.resolved, self.error = [], None

    async def resolve(self, account_id, key, outcome, operator):
        if self.error:
            raise self.error
        self.resolved.append((account_id, key, outcome, operator))
        return SimpleNamespace(state=SimpleNamespace(value=outcome), status=200)


class InMemoryServer:
    """The operator API, called through an in-memory HTTP client."""

    def __init__(self, clock):
        self._clock = clock
        self.platform = MemoryObjectApi(clock)
        self.freshness = Freshness("d0", "z")
        self.config = ConfigService(
            self.platform, clock, "d0", ActiveConfig(), self.freshness
        )
        self.events = EventRing("d0")
        self.fleet, self.actions = FakeFleetClient(self.events), FakeActionResolver()
        keys = [
            OperatorKey(name="ann", role="operator", key_sha256=key_digest("k-ann")),
            OperatorKey(name="vic", role="viewer", key_sha256=key_digest("k-vic")),
        ]
        prompts = PromptStore(self.platform, clock)
        api = OperatorApi(
            OperatorKeys(keys),
            self.config,
            prompts,
            self.fleet,
            self.actions,
            self.events,
            clock,
        )
        self._client = StubTreq(IResource(api.resource()))

    def call(self, method, path, data=None, key="k-ann", wait_s=0):
        """Send a request, wait ``wait_s``; return (status, JSON, headers)."""
        sent = self.send(method, path, data, key)
        self.advance_clock(wait_s)
        response = sent.result
        content = response.json()
        self._client.flush()
        return response.code, content.result, response.headers

    def advance_clock(self, seconds):
        self._client.flush()
        self._clock.advance(seconds)
        self._client.flush()

    def send(self, method, path, data=None, key="k-ann"):
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        body = data if isinstance(data, bytes | None) else json.dumps(data).encode()
        return self._client.request(
            method, f"http://x/operator/v1{path}", headers=headers, data=body or b""
        )

    def plan(self, *operations):
        return self.call("POST", "/plans", {"operations": list(operations)})

    def apply(self, *operations):
        _, plan, _ = self.plan(*operations)
        status, *_ = self.call("POST", f"/plans/{plan['id']}/confirm")
        assert status == 200
        return plan


@pytest.fixture
def server(clock):
    return InMemoryServer(clock)


class TestAuthentication:
    @pytest.mark.parametrize("key", [None, "", "k-other", key_digest("k-ann")])
    def test_unknown_key_is_rejected(self, server, key):
        status, data, _ = server.call("GET", "/status", key=key)
        assert (status, data["error"]["code"]) == (401, "unauthenticated")

    @pytest.mark.parametrize(
        "path",
        [
            "/plans",
            "/plans/c/confirm",
            "/actions/a/k/resolve",
            "/accounts/a/prompts",
            "/suspects/f/clear",
        ],
    )
    def test_viewer_cannot_change_anything(self, server, path):
        status, data, _ = server.call("POST", path, {}, key="k-vic")
        assert (status, data["error"]["code"]) == (403, "forbidden")

    @pytest.mark.parametrize("path", ["/status", "/configuration", "/timeline"])
    def test_viewer_can_read(self, server, path):
        assert server.call("GET", path, key="k-vic")[0] == 200


class TestPlans:
    def test_plan_can_be_read_and_confirmed(self, server):
        status, plan, _ = server.plan(ACCOUNT)
        assert status == 201
        assert plan["differences"][0].startswith("add account tartu")
        shown = server.call("GET", f"/plans/{plan['id']}", key="k-vic")[1]
        assert shown["state"] == "open"
        status, done, _ = server.call("POST", f"/plans/{plan['id']}/confirm")
        assert (status, done["state"], done["revision"]) == (200, "accepted", 1)
        shown = server.call("GET", f"/plans/{plan['id']}")[1]
        assert shown["state"] == "committed"

    def test_committed_change_lists_daemons_not_yet_in_force(self, server):
        server.freshness.set_members({"d0": "z", "d1": "z", "d2": "z"})
        server.freshness.record_contact("d1", "z", 0, 0)
        plan = server.plan(ACCOUNT)[1]
        path = f"/plans/{plan['id']}/confirm"
        status, done, _ = server.call("POST", path, wait_s=9)
        assert (status, done["state"]) == (202, "committed")
        assert done["not_in_force"] == ["d1", "d2"]

    def test_outdated_plan_is_rejected_with_a_remedy(self, server):
        plan = server.plan(ACCOUNT)[1]
        server.apply(ACCOUNT | {"id": "tallinn"})
        status, data, _ = server.call("POST", f"/plans/{plan['id']}/confirm")
        assert (status, data["error"]["code"]) == (409, "plan_outdated")
        assert data["error"]["remedy"]
        assert server.call("GET", f"/plans/{plan['id']}")[1]["state"] == "outdated"

    def test_invalid_intent_reports_its_field(self, server):
        status, data, _ = server.plan({"kind": "put_account"})
        assert status == 400
        assert data["error"]["field"] == "operations.0.put_account.id"

    def test_body_that_is_not_json_is_rejected(self, server):
        assert server.call("POST", "/plans", b"{")[0] == 400

    def test_deeply_nested_body_is_rejected(self, server):
        assert server.call("POST", "/plans", b"[" * 200_000)[0] == 400

    def test_body_over_the_limit_is_rejected(self, server):
        assert server.call("POST", "/plans", b" " * 4_194_305)[0] == 413

    def test_platform_outage_is_reported_with_its_error_code(self, server):
        server.platform.faults.outage = True
        status, data, _ = server.plan(ACCOUNT)
        assert (status, data["error"]["code"]) == (503, "platform_unavailable")

    def test_missing_majority_sets_retry_after(self, server):
        plan = server.plan(ACCOUNT)[1]
        server.freshness.set_members({"d1": "z", "d2": "z"})
        status, data, headers = server.call("POST", f"/plans/{plan['id']}/confirm")
        assert (status, data["error"]["code"]) == (503, "no_majority_contact")
        assert headers.getRawHeaders("Retry-After") == ["5"]

    def test_unknown_route_returns_a_json_error(self, server):
        status, data, _ = server.call("GET", "/nothing")
        assert (status, data["error"]["code"]) == (404, "unknown_route")


class TestAccountKeys:
    def test_new_account_gets_a_key_that_is_returned_once(self, server):
        _, plan, headers = server.plan(ACCOUNT)
        key = plan["keys_by_account"]["tartu"]
        assert headers.getRawHeaders("Cache-Control") == ["no-store"]
        server.call("POST", f"/plans/{plan['id']}/confirm")
        account = server.config.active_config.state.accounts_by_id["tartu"]
        assert account.key_sha256 == (key_digest(key),)
        again = server.call("GET", f"/plans/{plan['id']}")[1]
        assert "keys_by_account" not in again

    def test_changed_limit_keeps_the_key(self, server):
        """Guards against a limit change that removes the account's keys."""
        server.apply(ACCOUNT)
        before = server.config.active_config.state.accounts_by_id["tartu"].key_sha256
        plan = server.apply(ACCOUNT | {"weight": 2.0})
        assert plan["keys_by_account"] == {}
        after = server.config.active_config.state.accounts_by_id["tartu"]
        assert (after.key_sha256, after.weight) == (before, 2.0)

    def test_empty_key_list_replaces_the_key_and_warns(self, server):
        server.apply(ACCOUNT)
        plan = server.plan(ACCOUNT | {"key_sha256": []})[1]
        assert plan["keys_by_account"]["tartu"]
        assert "loses a key" in plan["warnings"][0]

    def test_keys_and_digests_appear_in_no_response_event_or_log(self, server, caplog):
        """Guards against secrets in plans, event timelines and logs."""
        caplog.set_level("DEBUG")
        plan = server.plan(ACCOUNT)[1]
        key = plan.pop("keys_by_account")["tartu"]
        server.call("POST", f"/plans/{plan['id']}/confirm")
        shown = [
            plan,
            *(
                server.call("GET", path)
                for path in ("/configuration", "/timeline", f"/plans/{plan['id']}")
            ),
            [event.to_json() for event in server.events],
            caplog.text,
        ]
        for secret in (key, key_digest(key), "k-ann"):
            assert secret not in str(shown)


class TestRecordedEvents:
    def test_plan_confirm_and_resolve_events_include_the_operator(self, server):
        server.apply(ACCOUNT)
        server.call("POST", "/actions/tartu/seat%2F1/resolve", {"outcome": "done"})
        recorded = [
            (e.kind, e.detail["operator"], e.detail["step"]) for e in server.events
        ]
        assert recorded == [
            (EventKind.CONFIG_CONFIRMED, "ann", "planned"),
            (EventKind.CONFIG_CONFIRMED, "ann", "confirmed"),
            (EventKind.ACTION_CHANGED, "ann", "resolved"),
        ]
        assert server.actions.resolved == [("tartu", "seat/1", "done", "ann")]

    def test_confirm_is_completed_and_recorded_after_client_disconnects(self, server):
        """Guards against a committed change without an event.

        klein cancels the handler when the client disconnects during the confirm.
        """
        plan = server.plan(ACCOUNT)[1]
        server.platform.faults.delay_s = 0.1
        sent = server.send("POST", f"/plans/{plan['id']}/confirm")
        sent.addErrback(lambda _: None)
        sent.cancel()
        for _ in range(20):
            server.advance_clock(0.1)
        assert server.config.active_config.revision == 1
        assert [e.detail["step"] for e in server.events] == ["planned", "confirmed"]

    def test_failed_confirm_is_recorded(self, server):
        server.call("POST", "/plans/none/confirm")
        (event,) = server.events
        assert event.detail["outcome"] == "plan_not_found"

    def test_failed_resolve_is_recorded(self, server):
        server.actions.error = ChivesaddleError("not in doubt")
        server.call("POST", "/actions/tartu/k/resolve", {"outcome": "done"})
        (event,) = server.events
        assert event.detail["step"] == "resolve_failed"

    @pytest.mark.parametrize("body", [{}, {"outcome": "sending"}, []])
    def test_resolve_rejects_an_invalid_outcome(self, server, body):
        assert server.call("POST", "/actions/a/k/resolve", body)[0] == 400
        assert not server.actions.resolved

    def test_clear_suspect_is_sent_to_the_fleet_and_recorded(self, server):
        assert server.call("POST", "/suspects/f1/clear")[0] == 200
        assert server.fleet.cleared == [("f1", "ann")]
        assert next(iter(server.events)).kind is EventKind.SUSPECT_CHANGED


class TestTimeline:
    def test_events_are_ordered_and_missing_daemons_listed(self, server):
        server.apply(ACCOUNT)
        data = server.call("GET", "/timeline")[1]
        assert [e["detail"]["step"] for e in data["events"]] == ["planned", "confirmed"]
        assert data["missing_daemons"] == ["d1"]
        at = data["events"][0]["at"]
        rest = server.call("GET", f"/timeline?after={at['wall_us']}.{at['counter']}")
        assert len(rest[1]["events"]) == 1

    @pytest.mark.parametrize(
        "query", ["after=x", "limit=0", "limit=x", "limit=" + "9" * 5_000]
    )
    def test_invalid_query_parameter_is_reported(self, server, query):
        status, data, _ = server.call("GET", f"/timeline?{query}")
        assert (status, data["error"]["field"]) == (400, query.partition("=")[0])


class TestPrompts:
    def test_prompt_is_created_listed_without_content_and_deleted(self, server):
        server.apply(ACCOUNT)
        path = "/accounts/tartu/prompts"
        made = server.call("POST", path, {"id": "a/b", "body": {"text": "private"}})
        assert made[:2] == (201, {"id": "a/b"})
        listed = server.call("GET", path, key="k-vic")[1]
        assert listed == {"prompts": [{"id": "a/b", "bytes": 19}]}
        assert server.call("DELETE", f"{path}/a%2Fb")[0] == 200
        assert server.call("DELETE", f"{path}/a%2Fb")[0] == 404

    def test_prompt_of_an_unknown_account_is_rejected(self, server):
        data = server.call("POST", "/accounts/none/prompts", {"body": {}})[1]
        assert data["error"]["code"] == "account_not_found"

    def test_failed_prompt_write_is_reported_as_outcome_unknown(self, server):
        server.apply(ACCOUNT)
        server.platform.faults.writes.append(WriteFault.LOST_BEFORE_EFFECT)
        data = server.call(
            "POST", "/accounts/tartu/prompts", {"id": "p", "body": {"a": 1}}
        )[1]
        assert data["error"]["code"] == "write_outcome_unknown"
