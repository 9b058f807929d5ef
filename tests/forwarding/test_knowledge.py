from chivesaddle.core.ids import ModelId
from chivesaddle.forwarding import Knowledge

MODEL = ModelId("m")


class TestOldestUsableVersion:
    def test_third_version_does_not_extend_the_use_of_the_first(self, clock):
        """Guards against requests that start on the first version after its time limit.

        This happened when two newer versions were named 4 s apart.
        """
        knowledge = Knowledge(clock, 7.0)
        knowledge.put_weight_version(MODEL, 1)
        clock.advance(20)
        knowledge.put_weight_version(MODEL, 2)
        clock.advance(4)
        knowledge.put_weight_version(MODEL, 3)
        clock.advance(2.9)
        assert knowledge.oldest_usable_version(MODEL) == 1
        clock.advance(0.2)
        assert knowledge.oldest_usable_version(MODEL) == 2
        clock.advance(4)
        assert knowledge.oldest_usable_version(MODEL) == 3

    def test_version_found_at_startup_may_have_been_named_earlier(self, clock):
        """Guards against a restart that extends the use of older versions."""
        knowledge = Knowledge(clock, 7.0)
        knowledge.put_weight_version(MODEL, 5)
        clock.advance(4.1)
        assert knowledge.oldest_usable_version(MODEL) == 5

    def test_behind_s_counts_from_the_first_newer_version(self, clock):
        knowledge = Knowledge(clock, 7.0)
        for version in (1, 2, 3):
            knowledge.put_weight_version(MODEL, version)
            clock.advance(4)
        assert knowledge.behind_s(MODEL, 1) == 8
        assert knowledge.behind_s(MODEL, 2) == 4
        assert knowledge.behind_s(MODEL, 3) == 0
