"""State that all daemons share: replicas of stored documents, and fleet membership."""

from chivesaddle.fleet.beacons import BeaconProtocol, ServerLoadShare
from chivesaddle.fleet.exchange import ExchangeMessage, GossipExchange
from chivesaddle.fleet.members import Member, Members
from chivesaddle.fleet.replica import Entry, Replica
from chivesaddle.fleet.watcher import StoreReachability, Watcher

__all__ = [
    "BeaconProtocol",
    "Entry",
    "ExchangeMessage",
    "GossipExchange",
    "Member",
    "Members",
    "Replica",
    "ServerLoadShare",
    "StoreReachability",
    "Watcher",
]
