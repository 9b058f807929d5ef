"""What all daemons know alike: documents of the store, and each other."""

from chivesaddle.fleet.beacons import Beacons, ServerShare
from chivesaddle.fleet.exchange import Exchange, ExchangeMessage
from chivesaddle.fleet.members import Member, Members
from chivesaddle.fleet.replica import Entry, Replica
from chivesaddle.fleet.watching import StoreContact, Watcher

__all__ = [
    "Beacons",
    "Entry",
    "Exchange",
    "ExchangeMessage",
    "Member",
    "Members",
    "Replica",
    "ServerShare",
    "StoreContact",
    "Watcher",
]
