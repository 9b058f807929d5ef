"""Whether a daemon can open connections to a server."""

from chivesaddle.placement.paths import ServerPath


def test_path_is_lost_at_the_first_failure_and_regained_at_the_first_connection():
    path = ServerPath()
    assert path.record_failure(1.0)
    assert not path.record_failure(1.5)
    assert path.lost_at == 1.0
    assert path.record_connected(2.0)
    assert path.lost_at is None
    assert not path.record_connected(2.5)


def test_path_that_is_lost_again_must_be_connected_three_times_in_a_row():
    """Guards against a path that flaps and gets requests at each connection."""
    path = ServerPath()
    path.record_failure(1.0)
    path.record_connected(2.0)
    path.record_failure(3.0)
    assert not path.record_connected(3.5)
    assert not path.record_connected(4.0)
    path.record_failure(4.5)
    assert not path.record_connected(5.0)
    assert not path.record_connected(5.5)
    assert path.record_connected(6.0)


def test_path_that_was_stable_is_trusted_at_once():
    path = ServerPath()
    path.record_failure(1.0)
    path.record_connected(2.0)
    path.record_failure(20.0)
    assert path.record_connected(20.5)
