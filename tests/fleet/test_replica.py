from chivesaddle.core.objects import ChangeType, ObjectChange, ObjectList, StoredObject
from chivesaddle.fleet import Entry, Replica


def item(name, version, value=1):
    return StoredObject("k", name, version, {"v": value})


def change(name, version, deleted=False):
    kind = ChangeType.DELETE if deleted else ChangeType.PUT
    return ObjectChange(kind, item(name, version))


class TestReplica:
    def test_older_change_never_replaces_a_newer_one(self):
        """Guards against a configuration that reverts after a peer's late message."""
        replica = Replica("k")
        replica.apply_changes(9, [change("a", 9)])
        replica.merge(5, [Entry("a", 5, {"v": "old"})])
        assert replica.get("a").revision == 9

    def test_listing_removes_what_it_no_longer_has(self):
        replica = Replica("k")
        replica.apply_changes(3, [change("a", 2), change("b", 3)])
        assert replica.apply_list(ObjectList(7, {"b": item("b", 3)})) == ["a"]
        assert replica.get("a") is None

    def test_listing_keeps_what_peers_know_to_be_newer(self):
        replica = Replica("k")
        replica.merge(9, [Entry("a", 9, {"v": 1})])
        replica.apply_list(ObjectList(7, {}))
        assert replica.get("a") is not None

    def test_object_deleted_and_created_again_in_one_batch_lives(self):
        replica = Replica("k")
        replica.apply_changes(4, [change("a", 2), change("a", 2, True), change("a", 4)])
        assert replica.get("a").revision == 4

    def test_peer_that_missed_a_deletion_learns_of_it(self):
        """Guards against a deletion hidden behind the last write's revision."""
        replica, peer = Replica("k"), Replica("k")
        for one in (replica, peer):
            one.apply_changes(2, [change("a", 2)])
        peer.apply_changes(30, [])
        replica.apply_changes(50, [change("a", 2, deleted=True)])
        peer.merge(replica.through, replica.newer_than(peer.through))
        assert peer.get("a") is None

    def test_listeners_hear_each_effective_change_once(self):
        replica, heard = Replica("k"), []
        replica.add_listener(heard.append)
        for _ in range(2):
            replica.apply_changes(2, [change("a", 2)])
        replica.apply_changes(3, [change("a", 2, deleted=True)])
        assert [entry.is_deleted for entry in heard] == [False, True]
