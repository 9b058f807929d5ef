import pytest
from twisted.internet.defer import CancelledError

from chivesaddle.standins.booking import FakeBookingService
from chivesaddle.standins.engine import FakeEngine
from chivesaddle.standins.engine_core import Completion, EngineConfig
from chivesaddle.standins.engine_models import LoadedModels
from chivesaddle.standins.faults import EngineFaults


@pytest.fixture
def booking(clock):
    return FakeBookingService(clock, "b")


@pytest.fixture
def engine(clock):
    models = LoadedModels.from_config(["m:v1"], checks_fence=True)
    return FakeEngine(clock, EngineConfig(), models, on_crash=lambda: None)


class TestRunDespiteDisconnect:
    def test_delayed_action_runs_after_a_disconnect(self, booking, clock):
        """Guards against a fake that drops late runs and so hides duplicate ones."""
        runs = []
        waiting = booking.run_despite_disconnect(2.0, lambda: runs.append("run"))
        waiting.addErrback(lambda failure: failure.trap(CancelledError))
        waiting.cancel()
        clock.advance(2.0)
        assert runs == ["run"]


class TestBookings:
    def test_each_run_is_logged_with_its_own_booking(self, booking):
        first = booking.core.run("reserve_seat", {"course": "c"})
        second = booking.core.run("reserve_seat", {"course": "c"})
        assert first["booking_id"] != second["booking_id"]
        check = {"booking_id": first["booking_id"]}
        assert booking.core.run("check_reservation", check)["reserved"]
        assert [run["seq"] for run in booking.core.run_log] == [1, 2, 3]


class TestSwappedStreams:
    def test_swap_returns_the_stream_of_another_request(self, engine):
        """Guards against a fault that has no effect visible to the client."""
        streams = [
            engine.core.submit(Completion(name, "m", name, 4)) for name in ("a", "b")
        ]
        engine.faults = EngineFaults(swap_next=1)
        assert engine._swap_stream(streams[1]) is streams[0]
        assert engine.faults.swap_next == 0
