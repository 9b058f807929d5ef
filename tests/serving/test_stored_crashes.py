"""What is known of crashes after a whole fleet was killed, without a network."""

import pytest
from twisted.internet.task import Clock

from chivesaddle.core.aio import start
from chivesaddle.core.ids import BackendServerId
from chivesaddle.core.objects import PlatformUnavailable
from chivesaddle.core.serving_model import PromptPartId
from chivesaddle.forwarding import CrashRecord
from chivesaddle.forwarding.suspects import CrashSuspects, part_fingerprint
from chivesaddle.objects import StoreEra
from chivesaddle.objects.memory import MemoryClient, MemoryObjectApi, WriteFault
from chivesaddle.platform import decode_server
from chivesaddle.serving.records import RecordLoader
from chivesaddle.serving.stored_crashes import (
    CRASHES_KIND,
    MAX_FLEET_WRITES_PER_S,
    StoredCrashes,
)

SIZES = [1, 4, 9]
BAD = "bad request"
PART = part_fingerprint(PromptPartId("bad"), None, None)
COMMON = part_fingerprint(PromptPartId("common"), None, None)


class Client(MemoryClient):
    """A client that the store may turn away while it serves the others."""

    is_refused = False

    async def _call(self, call):
        if self.is_refused:
            call.close()
            raise PlatformUnavailable("turned away")
        return await super()._call(call)


class Daemon:
    def __init__(self, fleet, number):
        self.fleet = fleet
        era = StoreEra(fleet.clock)
        self.client = Client(fleet.api, era)
        self.crashes = CrashRecord(fleet.clock)
        self.crashes.on_report = self.report
        self.crashes.trial_rank = lambda key: number
        self.stored = StoredCrashes(
            self.client,
            fleet.clock,
            f"d{number}",
            self.crashes,
            lambda: len(fleet.daemons),
            era,
            lambda: fleet.clock.seconds() + fleet.unix_offset_s,
        )
        self.loader = RecordLoader(fleet.clock, self.stored)
        self.loader.start()
        self.is_running = True
        self.keep_house()

    def report(self, reports):
        for peer in self.fleet.daemons:
            if peer is not self:
                peer.crashes.apply_reports(reports)

    def keep_house(self):
        if self.is_running:
            self.stored.step()
            self.fleet.clock.callLater(1.0, self.keep_house)

    def stop(self):
        self.is_running = False
        self.loader.stop()
        self.stored.stop()

    def crash_server(self, number, request=BAD, parts=()):
        entry = {
            "service": "app",
            "address": f"10.0.0.{number % 200}:80",
            "zone": "z",
            "slots": 4,
            "state": "ready",
            "born": 1_000 + number,
        }
        server = decode_server(f"s{number}", entry)
        self.crashes.suspect(request, server, "a1", parts)
        self.crashes.confirm(BackendServerId(f"s{number}"))

    def refuses(self, request=BAD, parts=()):
        return self.crashes.find_refusal(CrashSuspects(request, parts)) is not None


class Fleet:
    def __init__(self, size):
        self.clock = Clock()
        self.clock.advance(1_000)
        self.unix_offset_s = 1.7e9
        self.api = MemoryObjectApi(self.clock)
        self.size = size
        self.daemons = []
        self.start()

    def start(self):
        self.daemons = [Daemon(self, number) for number in range(self.size)]

    def kill_all(self):
        for daemon in self.daemons:
            daemon.stop()
        self.daemons = []

    def kill_and_start(self, down_s=1.0):
        self.kill_all()
        self.advance(down_s)
        self.start()
        self.advance(0.2)

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def crash(self, servers, **kwargs):
        """Let each server's crash be observed by another daemon."""
        for number in servers:
            self.daemons[number % self.size].crash_server(number, **kwargs)
            self.advance(0.7)

    def refusals(self, **kwargs):
        return {daemon.refuses(**kwargs) for daemon in self.daemons}

    def stored(self):
        listed = []
        start(self.api.list_objects(CRASHES_KIND, deadline=1e9)).addCallback(
            listed.append
        )
        stored = listed[0].items_by_name
        return {name: item.value["crashes"] for name, item in stored.items()}


@pytest.mark.parametrize("size", SIZES)
class TestAfterAllDaemonsWereKilled:
    """Guards against a request that crashes servers again after a kill of all."""

    def test_blocked_request_is_refused(self, size):
        fleet = Fleet(size)
        fleet.crash((1, 2, 3))
        assert fleet.refusals() == {True}
        fleet.kill_and_start()
        assert fleet.refusals() == {True}

    def test_crashes_below_the_bound_count(self, size):
        fleet = Fleet(size)
        fleet.crash((1, 2))
        fleet.kill_and_start()
        assert fleet.refusals() == {False}
        fleet.crash((3,))
        assert fleet.refusals() == {True}

    def test_crashing_part_is_refused(self, size):
        fleet = Fleet(size)
        for number in (1, 2, 3):
            fleet.crash((number,), request=f"request {number}", parts=(COMMON, PART))
            fleet.daemons[0].crashes.record_answered([COMMON])
        fleet.kill_and_start()
        assert fleet.refusals(request="new", parts=(COMMON, PART)) == {True}
        assert fleet.refusals(request="new", parts=(COMMON,)) == {False}

    def test_second_kill_forgets_nothing(self, size):
        fleet = Fleet(size)
        fleet.crash((1, 2, 3))
        for _ in range(3):
            fleet.kill_and_start()
        assert fleet.refusals() == {True}

    def test_completed_request_is_served(self, size):
        fleet = Fleet(size)
        fleet.crash((1, 2, 3))
        fleet.daemons[-1].crashes.record_completed(BAD)
        fleet.advance(25)
        fleet.kill_and_start()
        assert fleet.refusals() == {False}
        assert not any(fleet.stored().values())

    def test_refusal_that_was_a_mistake_ends(self, size):
        """Guards against a harmless request that no restart frees for an hour."""
        fleet = Fleet(size)
        fleet.crash((1, 2, 3))
        fleet.kill_and_start(down_s=601)
        assert fleet.refusals() == {False}

    def test_that_servers_answered_a_request_is_still_known(self, size):
        fleet = Fleet(size)
        for daemon in fleet.daemons:
            daemon.crashes.record_completed(BAD)
        for number in (1, 2, 3, 4):
            fleet.daemons[number % size].crash_server(number)
        fleet.advance(1)
        fleet.kill_and_start()
        assert fleet.refusals() == {False}


class TestStoreInTrouble:
    def test_that_is_down_gets_the_record_later(self):
        fleet = Fleet(4)
        fleet.api.faults.outage = True
        fleet.crash((1, 2, 3))
        fleet.advance(5)
        fleet.api.faults.outage = False
        fleet.advance(1.5)
        fleet.kill_and_start()
        assert fleet.refusals() == {True}

    @pytest.mark.parametrize("refused", [(0,), (1,), (1, 2, 3)])
    def test_that_turns_some_daemons_away_has_the_record_of_others(self, refused):
        fleet = Fleet(4)
        for number in refused:
            fleet.daemons[number].client.is_refused = True
        fleet.crash((1, 2, 3))
        fleet.kill_and_start()
        assert fleet.refusals() == {True}

    def test_that_is_slow_has_the_record(self):
        fleet = Fleet(4)
        fleet.api.faults.delay_s = 0.6
        fleet.crash((1, 2, 3))
        fleet.advance(2.5)
        fleet.kill_all()
        fleet.api.faults.delay_s = 0.0
        fleet.kill_and_start()
        assert fleet.refusals() == {True}

    def test_that_returns_from_an_older_copy_is_written_again(self):
        fleet = Fleet(4)
        copy = fleet.api.take_copy()
        fleet.crash((1, 2, 3))
        fleet.api.restore(copy)
        # A daemon learns the era from its next call.
        for daemon in fleet.daemons:
            start(daemon.client.list_objects(CRASHES_KIND, deadline=1e9))
        fleet.advance(1.0)
        fleet.kill_and_start()
        assert fleet.refusals() == {True}

    def test_that_is_down_at_the_start_is_read_later(self):
        fleet = Fleet(4)
        fleet.crash((1, 2, 3))
        fleet.api.faults.outage = True
        fleet.kill_and_start()
        assert fleet.refusals() == {False}
        fleet.api.faults.outage = False
        fleet.advance(1.0)
        assert fleet.refusals() == {True}

    def test_whose_answer_was_lost_is_written_once_more(self):
        fleet = Fleet(1)
        fleet.api.faults.writes.append(WriteFault.LOST_AFTER_EFFECT)
        fleet.crash((1, 2))
        fleet.api.faults.writes.append(WriteFault.LOST_BEFORE_EFFECT)
        fleet.crash((3,))
        fleet.advance(1.5)
        fleet.kill_and_start()
        assert fleet.refusals() == {True}


class TestTimeOfDay:
    @pytest.mark.parametrize("jump_s", [-30.0, 30.0, -1e9])
    def test_that_jumps_keeps_the_refusal(self, jump_s):
        fleet = Fleet(2)
        fleet.crash((1, 2, 3))
        fleet.unix_offset_s += jump_s
        fleet.kill_and_start()
        assert fleet.refusals() == {True}


class TestCost:
    def test_one_crash_under_many_requests_is_not_written(self):
        fleet = Fleet(9)
        for number in range(64):
            fleet.daemons[number % 9].crash_server(1, f"request {number}", (COMMON,))
        fleet.advance(3)
        assert fleet.stored() == {}

    def test_writes_of_a_large_fleet_are_limited(self):
        """Guards against more writes than the store accepts."""
        fleet = Fleet(70)
        before = fleet.api.revision
        for moment in range(40):
            for number, daemon in enumerate(fleet.daemons):
                daemon.crash_server(1_000 * moment + number % 3, f"request {number}")
            fleet.advance(0.1)
        assert fleet.api.revision > before
        # 4 s, and the first write of each daemon.
        limit = 4 * MAX_FLEET_WRITES_PER_S + 70
        assert fleet.api.revision - before <= limit

    def test_refused_writes_are_not_repeated_at_once(self):
        fleet = Fleet(4)
        fleet.api.faults.outage = True
        fleet.crash((1, 2, 3))
        before = fleet.api.calls.total()
        fleet.advance(10)
        assert fleet.api.calls.total() - before <= 4 * 20 + 4


@pytest.mark.parametrize(
    "value",
    [
        None,
        {},
        {"crashes": 3},
        {"crashes": [["f"]]},
        {"crashes": [["x" * 65, "s", 1, 1, False]]},
        {"crashes": [["f", "s", -1, 1, False]]},
        {"crashes": [["f", "s", 1, 10**30, False]]},
        {"crashes": [["f", "s", 1, 1, False]] * 4_097},
        "unreadable",
    ],
)
def test_unreadable_records_are_ignored(value):
    """Guards against one record of another writer that hides all others."""
    fleet = Fleet(2)
    fleet.crash((1, 2, 3))
    start(fleet.api.create(CRASHES_KIND, "another", value, deadline=1e9))
    fleet.kill_and_start()
    assert fleet.refusals() == {True}
