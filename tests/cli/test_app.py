import json
from types import SimpleNamespace

import pytest
from treq.testing import StubTreq
from twisted.internet.defer import fail
from twisted.internet.error import ConnectionRefusedError
from twisted.python.failure import Failure
from twisted.web._newclient import ResponseNeverReceived
from typer.testing import CliRunner

from chivesaddle.cli import app
from chivesaddle.configuration import (
    ActiveConfig,
    ConfigService,
    Freshness,
    PromptStore,
)
from chivesaddle.core.aio import start
from chivesaddle.core.events import EventKind, EventRing
from chivesaddle.core.settings import OperatorKey
from chivesaddle.objects.memory import MemoryObjectApi
from chivesaddle.operators import (
    FleetEvents,
    FleetStatus,
    OperatorApi,
    OperatorKeys,
    key_digest,
)

SERVER_OPTIONS = ["--url", "http://127.0.0.1:1", "--zone", "z", "--model", "m"]


class FakeRuntime:
    """Runs commands against the operator API of one in-memory daemon.

    Also implements the HTTP client and the interfaces that the API itself calls.
    """

    def __init__(self, clock):
        self.clock = clock
        self.http = self
        self.failure_by_host = {}
        self.requested_hosts = []
        self.on_clock_advance = lambda: None
        platform = MemoryObjectApi(clock)
        self.freshness = Freshness("d0", "z")
        self.events = EventRing("d0")
        self.config = ConfigService(
            platform, clock, "d0", ActiveConfig(), self.freshness
        )
        self.operator_calls = []
        self.late_events = []
        digest = key_digest("k")
        key = OperatorKey(name="ann", role="operator", key_sha256=digest)
        api = OperatorApi(
            OperatorKeys([key]),
            self.config,
            PromptStore(platform, clock),
            self,
            self,
            self.events,
            clock,
        )
        self._client = StubTreq(api.resource())

    async def collect_status(self, deadline):
        return FleetStatus([{"daemon": "d0", "revision": 3}], ["d9"])

    async def collect_events(self, event_filter, deadline):
        late_events = [e for e in self.late_events if event_filter.matches(e)]
        return FleetEvents(self.events.select(event_filter) + late_events, ["d9"])

    async def clear_suspect(self, fingerprint, operator):
        self.operator_calls.append(fingerprint)

    async def resolve(self, account, key, outcome, operator):
        self.operator_calls.append((account, key, outcome, operator))
        return SimpleNamespace(state=SimpleNamespace(value=outcome), status=200)

    def request(self, method, url, **options):
        host = url.split("/")[2]
        self.requested_hosts.append(host)
        if host in self.failure_by_host:
            return fail(self.failure_by_host[host])
        return self._client.request(method, url, **options)

    def run(self, coroutine):
        deferred = start(coroutine)
        for _ in range(200):
            if deferred.called:
                break
            self._client.flush()
            if not deferred.called:
                self.clock.advance(0.125)
                self.on_clock_advance()
        result = deferred.result
        if isinstance(result, Failure):
            deferred.addErrback(lambda _: None)
            result.raiseException()
        return result


@pytest.fixture
def runtime(clock):
    return FakeRuntime(clock)


@pytest.fixture
def run_command(runtime):
    """Return a function that runs a command and returns typer's result."""

    def invoke(*args, env=None, text=None):
        env = env or {"CHIVESADDLE_URL": "http://a", "CHIVESADDLE_KEY": "k"}
        return CliRunner().invoke(app, args, obj=runtime, env=env, input=text)

    return invoke


class TestPutAndDelete:
    def test_put_without_yes_prints_a_plan_and_changes_nothing(
        self, runtime, run_command
    ):
        """Guards against changing the configuration before the plan was reviewed."""
        result = run_command("store", "put", "s", "--url", "http://1", "--zone", "z")
        assert result.exit_code == 0
        assert "add store s: url=http://1" in result.stdout
        assert "Nothing has changed yet. Run: chivesaddle confirm" in result.stdout
        assert runtime.config.active_config.revision == 0

    def test_yes_confirms_the_plan(self, runtime, run_command):
        run_command("model", "put", "m", "--weight-version", "1", "--yes")
        result = run_command("backend-server", "put", "b", *SERVER_OPTIONS, "--yes")
        assert "is accepted as revision 2" in result.stdout
        assert run_command("backend-server", "drain", "b", "--yes").exit_code == 0
        listed = run_command("backend-server", "list", "--output", "json").stdout
        assert json.loads(listed)[0]["state"] == "draining"
        table = run_command("backend-server", "list").stdout
        assert "http://127.0.0.1:1" in table
        run_command("backend-server", "delete", "b", "--yes")
        assert run_command("model", "delete", "m", "--yes").exit_code == 0
        assert runtime.config.active_config.revision == 5

    def test_put_keeps_fields_that_are_not_given(self, runtime, run_command):
        """Guards against a changed limit that resets keys and other limits."""
        created = run_command("account", "put", "tartu", "--weight", "3", "--yes")
        assert "tartu  ck-" in created.stdout
        before = runtime.config.active_config.state.accounts_by_id["tartu"]
        run_command("account", "put", "tartu", "--requests-per-s", "7", "--yes")
        after = runtime.config.active_config.state.accounts_by_id["tartu"]
        assert after == before.model_copy(update={"requests_per_s": 7.0})

    def test_service_operations_run_at_most_once_by_default(self, runtime, run_command):
        run_command(
            "service",
            "put",
            "booking",
            *("--url", "http://1", "--operation", "reserve"),
            *("--operation", "check:repeatable", "--yes"),
        )
        service = runtime.config.active_config.state.services_by_id["booking"]
        assert [o.repeatable for o in service.operations] == [False, True]
        assert "reserve, check:repeatable" in run_command("service", "list").stdout

    def test_missing_options_of_a_new_entity_are_listed(self, run_command):
        result = run_command("backend-server", "put", "b", "--zone", "z")
        assert result.exit_code == 1
        assert "--url, --model" in result.stderr

    def test_json_output_is_one_document(self, run_command):
        result = run_command("account", "put", "a", "--yes", "--output", "json")
        data = json.loads(result.stdout)
        assert data["plan"]["keys_by_account"]["a"].startswith("ck-")
        assert data["confirmation"]["state"] == "accepted"


class TestPlanFromFile:
    def test_plan_show_and_confirm(self, run_command, tmp_path):
        intent = {"operations": [{"kind": "put_account", "id": "a"}], "note": "board"}
        file = tmp_path / "intent.json"
        file.write_text(json.dumps(intent))
        created = json.loads(run_command("plan", str(file), "--output", "json").stdout)
        plan_id = created["plan"]["id"]
        assert "Note: board" in run_command("show", plan_id).stdout
        assert "is accepted as revision 1" in run_command("confirm", plan_id).stdout
        assert "is accepted as revision 1" in run_command("confirm", plan_id).stdout
        assert "Revision 1" in run_command("show").stdout

    def test_plan_is_read_from_standard_input(self, run_command):
        text = '{"operations": [{"kind": "put_account", "id": "a"}]}'
        assert "add account a" in run_command("plan", "-", text=text).stdout

    @pytest.mark.parametrize("content", [None, "{"])
    def test_unreadable_or_invalid_file_is_reported(
        self, run_command, tmp_path, content
    ):
        file = tmp_path / "intent.json"
        if content is not None:
            file.write_text(content)
        result = run_command("plan", str(file))
        assert result.exit_code == 1
        assert str(file) in result.stderr and "remedy:" in result.stderr

    def test_committed_change_lists_daemons_not_yet_in_force(
        self, runtime, run_command
    ):
        runtime.freshness.set_members({"d0": "z", "d1": "z", "d2": "z"})
        runtime.freshness.record_contact("d1", "z", 0, 0)
        result = run_command("account", "put", "a", "--yes")
        assert "is committed as revision 1" in result.stdout
        assert "Not yet in force on: d1, d2" in result.stdout


class TestErrorOutput:
    def test_error_and_remedy_are_printed_to_standard_error(self, run_command):
        result = run_command("store", "delete", "gone")
        assert (result.exit_code, result.stdout) == (1, "")
        assert "There is no store gone" in result.stderr
        assert "remedy: " in result.stderr

    @pytest.mark.parametrize("missing", ["CHIVESADDLE_URL", "CHIVESADDLE_KEY"])
    def test_missing_connection_setting_is_reported(self, run_command, missing):
        env = {"CHIVESADDLE_URL": "http://a", "CHIVESADDLE_KEY": "k", missing: ""}
        result = run_command("status", env=env)
        assert result.exit_code == 1 and missing in result.stderr


class TestDaemonFailover:
    ENV = {"CHIVESADDLE_URL": "http://a,http://b", "CHIVESADDLE_KEY": "k"}

    def test_next_daemon_is_called_when_one_is_unreachable(self, runtime, run_command):
        runtime.failure_by_host["a"] = ConnectionRefusedError()
        assert run_command("status", env=self.ENV).exit_code == 0
        assert runtime.requested_hosts == ["a", "b"]

    def test_error_lists_all_unreachable_daemons(self, runtime, run_command):
        runtime.failure_by_host = dict.fromkeys("ab", ConnectionRefusedError())
        result = run_command("status", env=self.ENV)
        assert result.exit_code == 1
        assert "http://a:" in result.stderr and "http://b:" in result.stderr

    def test_rejection_is_not_retried_on_the_next_daemon(self, runtime, run_command):
        run_command("confirm", "none", env=self.ENV)
        assert runtime.requested_hosts == ["a"]

    def test_rejection_after_a_lost_response_reports_an_unknown_outcome(
        self, runtime, run_command
    ):
        """Guards against an error that denies any change after a lost response.

        The first daemon may have confirmed the plan although the second rejects it.
        """
        intent = {"operations": [{"kind": "put_account", "id": "x"}]}
        plan = runtime.run(runtime.config.plan(intent, "ann"))
        runtime.failure_by_host["a"] = ResponseNeverReceived([])
        runtime.freshness.set_members({"d1": "z", "d2": "z"})
        result = run_command("confirm", plan.change.id, env=self.ENV)
        assert result.exit_code == 1
        assert "http://a may have carried out the request" in result.stderr


class TestTimeline:
    def test_events_are_printed_in_order_and_missing_daemons_listed(self, run_command):
        run_command("account", "put", "a", "--yes")
        result = run_command("timeline")
        assert "step=planned" in result.stdout.splitlines()[0]
        assert "No answer from: d9" in result.stderr

    def test_object_filter_selects_one_plan(self, run_command):
        run_command("account", "put", "a", "--yes")
        result = run_command("timeline", "--object", "plan/none", "--output", "json")
        assert result.stdout == ""

    def test_follow_prints_each_late_event_once(self, runtime, run_command):
        """Guards against skipping an event that arrives after newer ones."""
        late_event = EventRing("d1").record(EventKind.DAEMON_STARTED)
        runtime.events.record(EventKind.DAEMON_STARTED)
        ticks = iter(range(1_000))

        def tick():
            if next(ticks) == 4:
                runtime.late_events.append(late_event)
            if runtime.clock.seconds() > 3:
                raise KeyboardInterrupt

        runtime.on_clock_advance = tick
        result = run_command("timeline", "--follow")
        assert result.exit_code == 130
        assert [line.split()[1] for line in result.stdout.splitlines()] == ["d0", "d1"]


class TestOtherCommands:
    def test_status_lists_daemons_and_missing_daemons(self, run_command):
        result = run_command("status")
        assert "d0" in result.stdout
        assert "No answer from: d9" in result.stdout

    def test_prompt_commands(self, run_command, tmp_path):
        run_command("account", "put", "a", "--yes")
        body = '{"text": "handbook"}'
        assert run_command("prompt", "put", "a", "-", "--id", "p/1", text=body).stdout
        assert "p/1" in run_command("prompt", "list", "a").stdout
        assert "deleted p/1" in run_command("prompt", "delete", "a", "p/1").stdout

    def test_action_commands(self, runtime, run_command):
        result = run_command("action", "resolve", "a", "k/1", "--outcome", "not_run")
        assert result.stdout == "not_run\n"
        run_command("action", "clear-suspect", "f")
        assert runtime.operator_calls == [("a", "k/1", "not_run", "ann"), "f"]
