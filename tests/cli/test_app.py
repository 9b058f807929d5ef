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
    ConfigHolder,
    ConfigService,
    Freshness,
    PromptStore,
)
from chivesaddle.core.aio import start
from chivesaddle.core.events import EventKind, EventRing
from chivesaddle.core.settings import OperatorKey
from chivesaddle.objects import MemoryObjectApi
from chivesaddle.operators import (
    FleetEvents,
    FleetStatus,
    OperatorApi,
    OperatorKeys,
    key_digest,
)

SERVER = ["--url", "http://127.0.0.1:1", "--zone", "z", "--model", "m"]


class Fleet:
    """Operators' API of one daemon as the driver of commands."""

    def __init__(self, clock):
        self.clock = clock
        self.http = self
        self.failure_by_host = {}
        self.hosts = []
        self.on_tick = lambda: None
        platform = MemoryObjectApi(clock)
        self.freshness = Freshness("d0", "z")
        self.events = EventRing("d0")
        self.config = ConfigService(
            platform, clock, "d0", ConfigHolder(), self.freshness
        )
        self.resolved = []
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

    async def collect_events(self, wanted, deadline):
        late = [e for e in self.late_events if wanted.matches(e)]
        return FleetEvents(self.events.select(wanted) + late, ["d9"])

    async def clear_suspect(self, fingerprint, operator):
        self.resolved.append(fingerprint)

    async def resolve(self, account, key, outcome, operator):
        self.resolved.append((account, key, outcome, operator))
        return SimpleNamespace(state=SimpleNamespace(value=outcome), status=200)

    def request(self, method, url, **options):
        host = url.split("/")[2]
        self.hosts.append(host)
        if host in self.failure_by_host:
            return fail(self.failure_by_host[host])
        return self._client.request(method, url, **options)

    def run(self, coroutine):
        work = start(coroutine)
        for _ in range(200):
            if work.called:
                break
            self._client.flush()
            if not work.called:
                self.clock.advance(0.125)
                self.on_tick()
        result = work.result
        if isinstance(result, Failure):
            work.addErrback(lambda _: None)
            result.raiseException()
        return result


@pytest.fixture
def fleet(clock):
    return Fleet(clock)


@pytest.fixture
def command(fleet):
    """Run a command; return its result with ``exit_code``, ``stdout``, ``stderr``."""

    def invoke(*args, env=None, text=None):
        env = env or {"CHIVESADDLE_URL": "http://a", "CHIVESADDLE_KEY": "k"}
        return CliRunner().invoke(app, args, obj=fleet, env=env, input=text)

    return invoke


class TestPutAndDelete:
    def test_put_prints_a_plan_and_changes_nothing(self, fleet, command):
        """Guards against a command that changes the fleet before it was read."""
        result = command("store", "put", "s", "--url", "http://1", "--zone", "z")
        assert result.exit_code == 0
        assert "add store s: url=http://1" in result.stdout
        assert "Nothing has changed yet. Run: chivesaddle confirm" in result.stdout
        assert fleet.config.holder.revision == 0

    def test_yes_confirms(self, fleet, command):
        command("model", "put", "m", "--weight-version", "1", "--yes")
        result = command("backend-server", "put", "b", *SERVER, "--yes")
        assert "is accepted as revision 2" in result.stdout
        assert command("backend-server", "drain", "b", "--yes").exit_code == 0
        listed = command("backend-server", "list", "--output", "json").stdout
        assert json.loads(listed)[0]["state"] == "draining"
        table = command("backend-server", "list").stdout
        assert "http://127.0.0.1:1" in table
        command("backend-server", "delete", "b", "--yes")
        assert command("model", "delete", "m", "--yes").exit_code == 0
        assert fleet.config.holder.revision == 5

    def test_put_keeps_fields_that_are_not_given(self, fleet, command):
        """Guards against a changed limit resetting keys and other limits."""
        made = command("account", "put", "tartu", "--weight", "3", "--yes")
        assert "tartu  ck-" in made.stdout
        before = fleet.config.holder.state.accounts_by_id["tartu"]
        command("account", "put", "tartu", "--requests-per-s", "7", "--yes")
        after = fleet.config.holder.state.accounts_by_id["tartu"]
        assert after == before.model_copy(update={"requests_per_s": 7.0})

    def test_service_operations_run_at_most_once_by_default(self, fleet, command):
        command(
            "service",
            "put",
            "booking",
            *("--url", "http://1", "--operation", "reserve"),
            *("--operation", "check:repeatable", "--yes"),
        )
        service = fleet.config.holder.state.services_by_id["booking"]
        assert [o.repeatable for o in service.operations] == [False, True]
        assert "reserve, check:repeatable" in command("service", "list").stdout

    def test_missing_fields_of_a_new_object_are_named(self, command):
        result = command("backend-server", "put", "b", "--zone", "z")
        assert result.exit_code == 1
        assert "--url, --model" in result.stderr

    def test_json_output_is_one_document(self, command):
        result = command("account", "put", "a", "--yes", "--output", "json")
        data = json.loads(result.stdout)
        assert data["plan"]["keys_by_account"]["a"].startswith("ck-")
        assert data["confirmation"]["state"] == "accepted"


class TestPlanFile:
    def test_plan_show_and_confirm(self, command, tmp_path):
        intent = {"operations": [{"kind": "put_account", "id": "a"}], "note": "board"}
        file = tmp_path / "intent.json"
        file.write_text(json.dumps(intent))
        made = json.loads(command("plan", str(file), "--output", "json").stdout)
        plan_id = made["plan"]["id"]
        assert "Note: board" in command("show", plan_id).stdout
        assert "is accepted as revision 1" in command("confirm", plan_id).stdout
        assert "is accepted as revision 1" in command("confirm", plan_id).stdout
        assert "Revision 1" in command("show").stdout

    def test_plan_is_read_from_standard_input(self, command):
        text = '{"operations": [{"kind": "put_account", "id": "a"}]}'
        assert "add account a" in command("plan", "-", text=text).stdout

    @pytest.mark.parametrize("content", [None, "{"])
    def test_unusable_file_is_reported(self, command, tmp_path, content):
        file = tmp_path / "intent.json"
        if content is not None:
            file.write_text(content)
        result = command("plan", str(file))
        assert result.exit_code == 1
        assert str(file) in result.stderr and "remedy:" in result.stderr

    def test_committed_change_names_the_daemons_behind(self, fleet, command):
        fleet.freshness.set_members({"d0": "z", "d1": "z", "d2": "z"})
        fleet.freshness.record_heard("d1", "z", 0, 0)
        result = command("account", "put", "a", "--yes")
        assert "is committed as revision 1" in result.stdout
        assert "Not yet in force on: d1, d2" in result.stdout


class TestErrors:
    def test_error_names_value_and_remedy_on_standard_error(self, command):
        result = command("store", "delete", "gone")
        assert (result.exit_code, result.stdout) == (1, "")
        assert "There is no store gone" in result.stderr
        assert "remedy: " in result.stderr

    @pytest.mark.parametrize("missing", ["CHIVESADDLE_URL", "CHIVESADDLE_KEY"])
    def test_missing_connection_setting_is_named(self, command, missing):
        env = {"CHIVESADDLE_URL": "http://a", "CHIVESADDLE_KEY": "k", missing: ""}
        result = command("status", env=env)
        assert result.exit_code == 1 and missing in result.stderr


class TestSeveralServers:
    ENV = {"CHIVESADDLE_URL": "http://a,http://b", "CHIVESADDLE_KEY": "k"}

    def test_next_server_is_asked_when_one_is_down(self, fleet, command):
        fleet.failure_by_host["a"] = ConnectionRefusedError()
        assert command("status", env=self.ENV).exit_code == 0
        assert fleet.hosts == ["a", "b"]

    def test_all_servers_down_names_each(self, fleet, command):
        fleet.failure_by_host = dict.fromkeys("ab", ConnectionRefusedError())
        result = command("status", env=self.ENV)
        assert result.exit_code == 1
        assert "http://a:" in result.stderr and "http://b:" in result.stderr

    def test_refusal_of_the_plan_is_final(self, fleet, command):
        command("confirm", "none", env=self.ENV)
        assert fleet.hosts == ["a"]

    def test_refusal_after_a_lost_answer_is_not_told_as_nothing(self, fleet, command):
        """Guards against "nothing was written" when the first daemon may have."""
        intent = {"operations": [{"kind": "put_account", "id": "x"}]}
        plan = fleet.run(fleet.config.plan(intent, "ann"))
        fleet.failure_by_host["a"] = ResponseNeverReceived([])
        fleet.freshness.set_members({"d1": "z", "d2": "z"})
        result = command("confirm", plan.change.id, env=self.ENV)
        assert result.exit_code == 1
        assert "http://a may have carried out the request" in result.stderr


class TestTimeline:
    def test_events_are_printed_in_order_with_missing_daemons(self, command):
        command("account", "put", "a", "--yes")
        result = command("timeline")
        assert "step=planned" in result.stdout.splitlines()[0]
        assert "No answer from: d9" in result.stderr

    def test_object_filter_selects_one_plan(self, command):
        command("account", "put", "a", "--yes")
        result = command("timeline", "--object", "plan/none", "--output", "json")
        assert result.stdout == ""

    def test_follow_prints_late_events_once(self, fleet, command):
        """Guards against lost events of daemons whose answers arrive late."""
        late = EventRing("d1").record(EventKind.DAEMON_STARTED)
        fleet.events.record(EventKind.DAEMON_STARTED)
        ticks = iter(range(1_000))

        def tick():
            if next(ticks) == 4:
                fleet.late_events.append(late)
            if fleet.clock.seconds() > 3:
                raise KeyboardInterrupt

        fleet.on_tick = tick
        result = command("timeline", "--follow")
        assert result.exit_code == 130
        assert [line.split()[1] for line in result.stdout.splitlines()] == ["d0", "d1"]


class TestOtherCommands:
    def test_status_names_daemons_and_the_missing(self, command):
        result = command("status")
        assert "d0" in result.stdout
        assert "No answer from: d9" in result.stdout

    def test_prompt_commands(self, command, tmp_path):
        command("account", "put", "a", "--yes")
        body = '{"text": "handbook"}'
        assert command("prompt", "put", "a", "-", "--id", "p/1", text=body).stdout
        assert "p/1" in command("prompt", "list", "a").stdout
        assert "deleted p/1" in command("prompt", "delete", "a", "p/1").stdout

    def test_action_commands(self, fleet, command):
        result = command("action", "resolve", "a", "k/1", "--outcome", "not_run")
        assert result.stdout == "not_run\n"
        command("action", "clear-suspect", "f")
        assert fleet.resolved == [("a", "k/1", "not_run", "ann"), "f"]
