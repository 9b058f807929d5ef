"""State that all daemons share: replicas of stored documents, and fleet membership."""

from chivesaddle.fleet.beacons import BeaconProtocol, ServerLoadShare
from chivesaddle.fleet.exchange import Exchange, ExchangeMessage
from chivesaddle.fleet.members import Member, Members
from chivesaddle.fleet.replica import Entry, Replica
from chivesaddle.fleet.watcher import StoreReachability, Watcher

__all__ = [
    "BeaconProtocol",
    "Entry",
    "Exchange",
    "ExchangeMessage",
    "Member",
    "Members",
    "Replica",
    "ServerLoadShare",
    "StoreReachability",
    "Watcher",
]
