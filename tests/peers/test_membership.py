import pytest

from chivesaddle.peers import Member, Membership, MemberState
from chivesaddle.peers.membership import HEARD_TTL_S, digest_of


@pytest.fixture
def membership():
    return Membership(Member("own", "zone-1"))


def hear(membership, now=0.0, incarnation=1, leaving=False):
    return membership.record_message(
        "d-1",
        "zone-2",
        incarnation=incarnation,
        leaving=leaving,
        confirmed=True,
        now=now,
    )


LISTED = {"d-1": {"role": "daemon", "zone": "zone-2", "peer_address": "a:1"}}


class TestStates:
    def test_listed_daemon_is_unreachable_until_it_is_heard(self, membership):
        membership.update_instances(LISTED)
        assert membership.state_of("d-1", 0.0) is MemberState.UNREACHABLE
        hear(membership)
        assert membership.state_of("d-1", 0.0) is MemberState.LIVE

    def test_daemon_that_the_list_does_not_name_yet_is_live_while_heard(
        self, membership
    ):
        """Guards against ignoring new daemons because the list lags."""
        hear(membership)
        assert membership.state_of("d-1", 0.0) is MemberState.LIVE
        assert membership.state_of("d-1", HEARD_TTL_S) is MemberState.GONE

    def test_relayed_hearing_counts_with_its_age(self, membership):
        hear(membership, now=0.0)
        membership.record_relayed(digest_of("d-1"), 2.0, now=5.0)
        assert membership.state_of("d-1", 8.9) is MemberState.LIVE
        assert membership.state_of("d-1", 9.0) is not MemberState.LIVE

    def test_leaving_is_final_until_a_restart(self, membership):
        """Guards against messages that arrive out of order."""
        hear(membership, leaving=True)
        hear(membership, leaving=False)
        assert membership.state_of("d-1", 0.0) is MemberState.LEAVING
        hear(membership, incarnation=2)
        assert membership.state_of("d-1", 0.0) is MemberState.LIVE

    def test_message_of_an_older_incarnation_is_ignored(self, membership):
        hear(membership, incarnation=2)
        assert hear(membership, incarnation=1, leaving=True) is None
        assert membership.state_of("d-1", 0.0) is MemberState.LIVE

    def test_late_announcement_does_not_remove_a_restarted_daemon(self, membership):
        hear(membership, incarnation=20)
        membership.record_leaving("d-1", incarnation=10)
        assert membership.state_of("d-1", 0.0) is MemberState.LIVE

    def test_ids_with_one_digest_are_not_relayed(self, membership, monkeypatch):
        """Guards against a wrong hearing that keeps a dead daemon in use."""
        monkeypatch.setattr("chivesaddle.peers.membership.digest_of", lambda name: 7)
        membership.update_instances(LISTED | {"d-2": {"role": "daemon"}})
        assert membership.record_relayed(7, 0.0, now=0.0) is None

    def test_gone_daemons_are_forgotten(self, membership):
        hear(membership)
        assert membership.forget_gone(30.0) == []
        assert membership.forget_gone(100.0) == ["d-1"]
        assert membership.get("d-1") is None

    def test_leaving_daemon_is_not_relayed(self, membership):
        hear(membership, leaving=True)
        assert membership.recent_hearings(0.0) == []
