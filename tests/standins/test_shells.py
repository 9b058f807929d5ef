import pytest
from twisted.internet.defer import CancelledError

from chivesaddle.standins.booking import BookingShell
from chivesaddle.standins.engine import EngineShell
from chivesaddle.standins.engine_core import Completion, EngineConfig
from chivesaddle.standins.engine_models import LoadedModels
from chivesaddle.standins.faults import EngineFaults


@pytest.fixture
def booking(clock):
    return BookingShell(clock, "b")


@pytest.fixture
def engine(clock):
    models = LoadedModels.from_config(["m:v1"], checks_fence=True)
    return EngineShell(clock, EngineConfig(), models, on_crash=lambda: None)


class TestRunEvenIfCallerLeaves:
    def test_delayed_run_happens_after_the_caller_has_gone(self, booking, clock):
        """Guards against a fake that hides duplicate runs by dropping them."""
        runs = []
        waiting = booking.run_even_if_caller_leaves(2.0, lambda: runs.append("run"))
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
        assert [run["seq"] for run in booking.core.log] == [1, 2, 3]


class TestSwappedAnswers:
    def test_swapped_answer_is_another_requests_stream(self, engine):
        """Guards against a fault that changes nothing a caller could see."""
        streams = [
            engine.core.submit(Completion(name, "m", name, 4)) for name in ("a", "b")
        ]
        engine.faults = EngineFaults(swap_next=1)
        assert engine._swapped(streams[1]) is streams[0]
        assert engine.faults.swap_next == 0
