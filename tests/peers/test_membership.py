import pytest

from chivesaddle.peers import Member, Membership, MemberState
from chivesaddle.peers.membership import UNREACHABLE_AFTER_S, digest_of


@pytest.fixture
def membership():
    return Membership(Member("own", "zone-1"))


def record_contact(membership, now=0.0, incarnation=1, leaving=False):
    return membership.record_direct_contact(
        "d-1",
        "zone-2",
        incarnation=incarnation,
        leaving=leaving,
        confirmed=True,
        now=now,
    )


LISTED = {"d-1": {"role": "daemon", "zone": "zone-2", "peer_address": "a:1"}}


class TestStates:
    def test_listed_daemon_is_unreachable_until_first_contact(self, membership):
        membership.update_instances(LISTED)
        assert membership.state_of("d-1", 0.0) is MemberState.UNREACHABLE
        record_contact(membership)
        assert membership.state_of("d-1", 0.0) is MemberState.LIVE

    def test_unlisted_daemon_is_live_while_in_contact(self, membership):
        """Guards against ignoring new daemons while the instance list lags."""
        record_contact(membership)
        assert membership.state_of("d-1", 0.0) is MemberState.LIVE
        assert membership.state_of("d-1", UNREACHABLE_AFTER_S) is MemberState.GONE

    def test_relayed_contact_counts_with_its_age(self, membership):
        record_contact(membership, now=0.0)
        membership.record_relayed_contact(digest_of("d-1"), 2.0, now=5.0)
        assert membership.state_of("d-1", 8.9) is MemberState.LIVE
        assert membership.state_of("d-1", 9.0) is not MemberState.LIVE

    def test_leaving_is_final_until_a_restart(self, membership):
        """Guards against state messages that arrive out of order."""
        record_contact(membership, leaving=True)
        record_contact(membership, leaving=False)
        assert membership.state_of("d-1", 0.0) is MemberState.LEAVING
        record_contact(membership, incarnation=2)
        assert membership.state_of("d-1", 0.0) is MemberState.LIVE

    def test_message_of_an_older_incarnation_is_ignored(self, membership):
        record_contact(membership, incarnation=2)
        assert record_contact(membership, incarnation=1, leaving=True) is None
        assert membership.state_of("d-1", 0.0) is MemberState.LIVE

    def test_late_announcement_does_not_remove_a_restarted_daemon(self, membership):
        record_contact(membership, incarnation=20)
        membership.record_leaving("d-1", incarnation=10)
        assert membership.state_of("d-1", 0.0) is MemberState.LIVE

    def test_contacts_of_ids_with_equal_digests_are_ignored(
        self, membership, monkeypatch
    ):
        """Guards against keeping a dead daemon in use through another's contacts."""
        monkeypatch.setattr("chivesaddle.peers.membership.digest_of", lambda name: 7)
        membership.update_instances(LISTED | {"d-2": {"role": "daemon"}})
        assert membership.record_relayed_contact(7, 0.0, now=0.0) is None

    def test_gone_daemons_are_removed(self, membership):
        record_contact(membership)
        assert membership.remove_gone(30.0) == []
        assert membership.remove_gone(100.0) == ["d-1"]
        assert membership.get("d-1") is None

    def test_contact_with_a_leaving_daemon_is_not_relayed(self, membership):
        record_contact(membership, leaving=True)
        assert membership.recent_contacts(0.0) == []
