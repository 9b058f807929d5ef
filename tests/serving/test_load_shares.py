from chivesaddle.fleet import ServerLoadShare
from chivesaddle.fleet.beacons import server_hash
from chivesaddle.placement import Load, ServerTable
from chivesaddle.platform import decode_server
from chivesaddle.serving.hints import ServerLoadShares


def put(table, id):
    entry = {"service": "app", "address": f"10.0.0.{id[1]}:80", "zone": "z", "slots": 4}
    table.put(decode_server(id, {**entry, "state": "ready"}))


def share(id, requests):
    return ServerLoadShare(server_hash(id), requests, 10, 100)


def test_peer_has_only_the_load_of_its_last_beacon(clock):
    """A load that stays counted, or a new server without one, misleads the choice."""
    table = ServerTable(clock)
    shares = ServerLoadShares(clock, table, list)
    put(table, "s0")
    shares.apply_remote("d1", [share("s0", 2), share("s1", 1)], [], 1.5)
    shares.apply_remote("d2", [share("s0", 1)], [], 0.5)
    put(table, "s1")
    assert table.get("s0").load(clock.seconds()) == Load(3, 20, 200)
    shares.apply_remote("d1", [share("s1", 4)], [server_hash("s1")], 1.5)
    assert table.get("s0").load(clock.seconds()) == Load(1, 10, 100)
    assert table.get("s1").load(clock.seconds()) == Load(4, 10, 100)
    assert table.get("s1").busy_until > clock.seconds()
    clock.advance(0.5)
    assert table.get("s0").load(clock.seconds()) == Load(0, 0, 0)
