"""State that all daemons share: replicas of stored documents, and fleet membership."""

from chivesaddle.fleet.beacons import Beacon, Beacons, ServerLoadShare
from chivesaddle.fleet.catch_up import CatchUp
from chivesaddle.fleet.datagrams import PeerDatagrams
from chivesaddle.fleet.demand import RequestDemand
from chivesaddle.fleet.exchange import ExchangeMessage, GossipExchange
from chivesaddle.fleet.members import Member, Members
from chivesaddle.fleet.notices import NoticeSender
from chivesaddle.fleet.replica import Entry, Replica
from chivesaddle.fleet.replica_reader import ReplicaReader
from chivesaddle.fleet.tick_grid import TickGrid
from chivesaddle.fleet.updates import Update, UpdateRelay
from chivesaddle.fleet.watch_role import RoleWait, WatchRole
from chivesaddle.fleet.watcher import StoreReachability, Watcher
from chivesaddle.fleet.working_set import WorkingSet

__all__ = [
    "Beacon",
    "Beacons",
    "CatchUp",
    "Entry",
    "ExchangeMessage",
    "GossipExchange",
    "Member",
    "Members",
    "NoticeSender",
    "PeerDatagrams",
    "Replica",
    "ReplicaReader",
    "RequestDemand",
    "RoleWait",
    "ServerLoadShare",
    "StoreReachability",
    "TickGrid",
    "Update",
    "UpdateRelay",
    "WatchRole",
    "Watcher",
    "WorkingSet",
]
