import pytest

from chivesaddle.configuration import Freshness


@pytest.fixture
def freshness():
    freshness = Freshness("d0", "z0")
    freshness.set_members({f"d{i}": f"z{i % 3}" for i in range(5)})
    return freshness


def record_contacts(freshness, daemon_numbers, now, age_s=0.0):
    for i in daemon_numbers:
        freshness.record_contact(f"d{i}", f"z{i % 3}", age_s, now)


class TestPlatformReading:
    def test_reading_counts_until_six_seconds_after_the_original_read(self, freshness):
        """Guards against ages that restart at each relay and exceed 9 s in total."""
        freshness.record_platform_reading(4.0, now=10)
        assert freshness.is_confirmed(11.9)
        assert not freshness.is_confirmed(12)

    def test_older_relayed_reading_does_not_replace_a_newer_one(self, freshness):
        freshness.record_platform_reading(0, now=10)
        freshness.record_platform_reading(5, now=11)
        assert freshness.reading_age(11) == 1

    def test_majority_does_not_confirm_while_the_platform_answers(self, freshness):
        """Guards against serving a stale state while the platform is reachable."""
        freshness.record_platform_failure(now=5)
        freshness.record_platform_reading(0, now=10)
        record_contacts(freshness, [1, 2, 3], now=17)
        assert not freshness.is_confirmed(17)


class TestPlatformOutage:
    def test_majority_contact_confirms_until_contacts_are_too_old(self, freshness):
        freshness.record_platform_reading(0, now=10)
        freshness.record_platform_failure(now=12)
        record_contacts(freshness, [1, 2], now=20, age_s=1)
        assert freshness.is_confirmed(24.9)
        assert not freshness.is_confirmed(25)

    def test_minority_is_not_confirmed(self, freshness):
        freshness.record_platform_reading(0, now=10)
        freshness.record_platform_failure(now=12)
        record_contacts(freshness, [1], now=20)
        assert not freshness.is_confirmed(20)

    def test_new_daemon_without_any_reading_is_not_confirmed(self, freshness):
        """Guards against serving the empty configuration of a new process."""
        freshness.record_platform_failure(now=1)
        record_contacts(freshness, [1, 2, 3, 4], now=1)
        assert not freshness.is_confirmed(1)

    def test_daemon_without_a_member_list_is_not_confirmed_by_itself(self):
        alone = Freshness("d0", "z0")
        alone.record_platform_reading(0, now=0)
        alone.record_platform_failure(now=1)
        assert not alone.is_confirmed(7)


class TestMajority:
    def test_half_is_not_a_majority(self):
        freshness = Freshness("d0", "z0")
        freshness.set_members({f"d{i}": "z0" for i in range(4)})
        record_contacts(freshness, [1], now=0)
        assert not freshness.has_majority_contact(0)

    def test_large_fleet_is_counted_in_zones(self):
        freshness = Freshness("d0", "z0")
        freshness.set_members({f"d{i}": f"z{i % 3}" for i in range(33)})
        assert not freshness.has_majority_contact(0)
        record_contacts(freshness, [1], now=0)
        assert freshness.has_majority_contact(0)

    def test_removed_member_no_longer_counts(self, freshness):
        record_contacts(freshness, [1, 2], now=0)
        freshness.set_members({f"d{i}": "z0" for i in (0, 3, 4)})
        assert not freshness.has_majority_contact(0)
