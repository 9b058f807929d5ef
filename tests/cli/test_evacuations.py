"""Evacuations from the command line, against a store and daemons in memory."""

import json

import msgspec
import pytest
from twisted.internet.defer import fail, succeed
from twisted.internet.error import ConnectionRefusedError
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from typer.testing import CliRunner

from chivesaddle.cli import app
from chivesaddle.core.aio import start
from chivesaddle.core.objects import WriteOutcomeUnknown
from chivesaddle.fleet import Replica, StoreReachability, Watcher
from chivesaddle.objects.memory import MemoryObjectApi
from chivesaddle.placement import Evacuations, ServerTable
from chivesaddle.platform import EVACUATIONS_KIND, decode_server
from chivesaddle.serving.status import StatusPage

SERVERS = {
    "s1": ("app", "x", ["m"]),
    "s2": ("app", "y", ["m", "n"]),
    "s3": ("images", "y", []),
    "s4": ("app", "z", ["m"]),
}


def server_value(name):
    service, zone, models = SERVERS[name]
    return {
        "service": service,
        "address": f"10.0.0.{name[1:]}:80",
        "zone": zone,
        "slots": 4,
        "state": "ready",
        "models": [{"name": model, "version": 1} for model in models],
    }


class Response:
    """Response of treq's client."""

    def __init__(self, body):
        self._body, self.length = body, len(body)

    def deliverBody(self, protocol):  # noqa: N802
        protocol.dataReceived(self._body)
        protocol.connectionLost(Failure(ResponseDone()))


class Daemon:
    """What a serving daemon applies of the evacuations in the store."""

    def __init__(self, clock, store, name, *, watches):
        self.is_down = False
        self.servers = ServerTable(clock)
        for server in SERVERS:
            self.servers.put(decode_server(server, server_value(server)))
        self.servers.record_send("s2", 0, 0)
        self.evacuations = Evacuations(clock, self.servers)
        replica = Replica(EVACUATIONS_KIND)
        replica.add_listener(self._apply)
        self.page = StatusPage(clock, name, self.servers, self.evacuations, replica)
        self.watcher = Watcher(
            store, clock, replica, StoreReachability(clock), lambda: 1
        )
        if watches:
            self.watcher.start()

    def _apply(self, entry):
        change = self.evacuations
        (change.remove if entry.is_deleted else change.put)(entry.name)


class Runtime:
    """Runs commands against a store and daemons in memory."""

    def __init__(self, clock):
        self.clock = clock
        self.http = self
        self.store = MemoryObjectApi(clock)
        self.daemons_by_host = {}
        for name in SERVERS:
            self.write("servers", name, server_value(name))

    def write(self, kind, name, value):
        start(self.store.create(kind, name, value, deadline=1e9))

    def entry(self, zone):
        listing = start(self.store.list_objects(EVACUATIONS_KIND, deadline=1e9))
        return listing.result.items_by_name.get(zone)

    def add_daemon(self, name, *, watches=True):
        host = f"{name}:9464"
        registration = {
            "id": name,
            "incarnation": "1",
            "zone": "x",
            "callers": "",
            "peers": "",
            "status": host,
        }
        self.write("daemons", name, registration)
        daemon = Daemon(self.clock, self.store, name, watches=watches)
        self.daemons_by_host[host] = daemon
        return daemon

    def open_store(self, url):
        return self.store

    def request(self, method, url):
        daemon = self.daemons_by_host[url.split("/")[2]]
        if daemon.is_down:
            return fail(ConnectionRefusedError())
        return succeed(Response(msgspec.json.encode(daemon.page.status())))

    def run(self, coroutine):
        deferred = start(coroutine)
        for _ in range(400):
            if deferred.called:
                break
            self.clock.advance(0.125)
        result = deferred.result
        if isinstance(result, Failure):
            deferred.addErrback(lambda _: None)
            result.raiseException()
        return result


@pytest.fixture
def runtime(clock):
    return Runtime(clock)


@pytest.fixture
def run_command(runtime):
    def invoke(*args, env=None):
        env = {"CHIVESADDLE_STORE": "http://s", "CHIVESADDLE_OPERATOR": "ann"} | (
            env or {}
        )
        return CliRunner().invoke(app, args, obj=runtime, env=env)

    return invoke


class TestPlan:
    @pytest.mark.parametrize("option", [(), ("--plan",)])
    def test_tells_what_would_change_and_changes_nothing(
        self, runtime, run_command, option
    ):
        result = run_command("evacuate", "y", *option)
        assert result.exit_code == 0
        assert "app: no new requests to s2; 2 ready servers left" in result.stdout
        assert "WARNING: requests will be REFUSED" in result.stdout
        assert "service images has no server left" in result.stdout
        assert "service app has no server left with model n" in result.stdout
        assert "Nothing has changed yet" in result.stdout
        assert runtime.entry("y") is None

    def test_without_loss_has_no_warning(self, run_command):
        result = run_command("evacuate", "x")
        assert "WARNING" not in result.stdout

    def test_counts_zones_that_are_evacuated_already(self, runtime, run_command):
        """Guards against the evacuation of the last zone that is left."""
        for zone in ("y", "z"):
            runtime.write(EVACUATIONS_KIND, zone, None)
        result = run_command("evacuate", "x", "--output", "json")
        assert json.loads(result.stdout)["plan"]["lost_services"] == ["app"]

    def test_of_an_unknown_zone_says_so(self, run_command):
        assert "check its name" in run_command("evacuate", "w").stdout

    def test_two_modes_at_once_are_refused(self, runtime, run_command):
        assert run_command("evacuate", "x", "--confirm", "--end").exit_code == 2
        assert runtime.entry("x") is None


class TestConfirm:
    def test_waits_until_the_daemons_apply_it(self, runtime, run_command):
        daemons = [runtime.add_daemon(name) for name in ("d1", "d2")]
        result = run_command("evacuate", "x", "--confirm")
        assert result.exit_code == 0
        assert "Applied by: d1, d2" in result.stdout
        assert runtime.entry("x").value["applied_by"] == "ann"
        assert all(d.evacuations.includes("x") for d in daemons)

    def test_names_daemons_that_do_not_apply_it(self, runtime, run_command):
        """Guards against a success while requests still go to the zone."""
        runtime.add_daemon("d1")
        runtime.add_daemon("d2", watches=False)
        result = run_command("evacuate", "x", "--confirm", "--wait-s", "3")
        assert result.exit_code == 1
        assert "Applied by: d1\nNOT applied by: d2" in result.stdout
        assert "1 of 2 daemons that answered do not follow" in result.stderr
        assert runtime.clock.seconds() < 10

    def test_tells_that_nothing_is_known_of_silent_daemons(self, runtime, run_command):
        runtime.add_daemon("d1")
        runtime.add_daemon("d2").is_down = True
        runtime.write("daemons", "d3", {"id": "d3"})
        result = run_command("evacuate", "x", "--confirm")
        assert result.exit_code == 0
        assert "Applied by: d1\n" in result.stdout
        assert "No answer from d2, not known what it applies" in result.stdout
        assert "No answer from d3" in result.stdout

    def test_without_any_answer_fails(self, runtime, run_command):
        runtime.add_daemon("d1").is_down = True
        result = run_command("evacuate", "x", "--confirm", "--wait-s", "1")
        assert result.exit_code == 1
        assert "not known whether any follows" in result.stderr

    def test_does_not_replace_the_entry_of_another_operator(self, runtime, run_command):
        runtime.add_daemon("d1")
        runtime.write(EVACUATIONS_KIND, "x", {"applied_by": "bob"})
        result = run_command("evacuate", "x", "--confirm")
        assert "Zone x was evacuated before" in result.stdout
        assert runtime.entry("x").value == {"applied_by": "bob"}

    @pytest.mark.parametrize("is_written", [True, False])
    def test_reads_back_a_write_without_a_response(
        self, runtime, run_command, is_written
    ):
        create = runtime.store.create

        async def lose_response(*args, **kwargs):
            if is_written:
                await create(*args, **kwargs)
            raise WriteOutcomeUnknown("lost")

        runtime.add_daemon("d1")
        runtime.store.create = lose_response
        result = run_command("evacuate", "x", "--confirm")
        assert (result.exit_code == 0) is is_written
        assert ("Entry written for zone x" in result.stdout) is is_written


class TestEnd:
    def test_removes_the_entry_and_waits_for_the_daemons(self, runtime, run_command):
        daemon = runtime.add_daemon("d1")
        run_command("evacuate", "x", "--confirm")
        result = run_command("evacuate", "x", "--end")
        assert result.exit_code == 0
        assert "Ended by: d1" in result.stdout
        assert runtime.entry("x") is None
        assert not daemon.evacuations.includes("x")

    def test_names_daemons_that_still_apply_it(self, runtime, run_command):
        daemon = runtime.add_daemon("d1")
        run_command("evacuate", "x", "--confirm")
        daemon.watcher.stop()
        result = run_command("evacuate", "x", "--end", "--wait-s", "1")
        assert result.exit_code == 1
        assert "NOT ended by: d1" in result.stdout

    def test_of_a_zone_that_is_not_evacuated_is_an_error(self, run_command):
        result = run_command("evacuate", "x", "--end")
        assert result.exit_code == 1
        assert "Zone x is not evacuated" in result.stderr


class TestList:
    def test_shows_entries_and_what_each_zone_serves(self, runtime, run_command):
        runtime.add_daemon("d1")
        runtime.add_daemon("d2", watches=False)
        runtime.add_daemon("d3").is_down = True
        run_command("evacuate", "y", "--confirm", "--wait-s", "1")
        runtime.write(EVACUATIONS_KIND, "w", None)
        runtime.clock.advance(1)
        result = run_command("evacuations", "--output", "json")
        data = json.loads(result.stdout)
        rows = {row["zone"]: row for row in data["zones"]}
        assert set(rows) == {"w", "x", "y", "z"}
        assert rows["y"]["entry"] == "yes"
        assert rows["y"]["applied_by"] == "ann"
        assert rows["y"]["version"] == runtime.entry("y").version
        assert 0 <= rows["y"]["age_s"] < 60
        assert rows["y"]["daemons"] == "1 of 2"
        assert rows["y"]["servers"] == 2
        assert rows["y"]["in_flight"] == 2
        assert rows["w"]["entry"] == "yes, invalid value"
        assert rows["w"]["age_s"] == rows["w"]["applied_by"] == "unknown"
        assert rows["x"]["entry"] == "no"
        assert list(data["no_answer"]) == ["d3"]
        assert "No answer from d3" in run_command("evacuations").stdout

    def test_without_a_store_url_names_the_option(self, run_command):
        result = run_command("evacuations", env={"CHIVESADDLE_STORE": ""})
        assert result.exit_code == 1
        assert "CHIVESADDLE_STORE" in result.stderr
