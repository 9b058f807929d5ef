"""Communication between daemons: membership, state exchange and announcements."""

from chivesaddle.peers.addresses import ADDRESS_TTL_S, AddressList
from chivesaddle.peers.channels import Channels, PeerUnreachable
from chivesaddle.peers.fleet_queries import CollectedEvents, FleetResponse
from chivesaddle.peers.membership import Member, Membership, MemberState
from chivesaddle.peers.ports import ConfigurationPort, FreshnessPort, LeasePort
from chivesaddle.peers.reports import ServerReport
from chivesaddle.peers.service import Peers

__all__ = [
    "ADDRESS_TTL_S",
    "AddressList",
    "Channels",
    "CollectedEvents",
    "ConfigurationPort",
    "FleetResponse",
    "FreshnessPort",
    "LeasePort",
    "Member",
    "MemberState",
    "Membership",
    "PeerUnreachable",
    "Peers",
    "ServerReport",
]
