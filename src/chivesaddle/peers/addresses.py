"""Selection of the daemon addresses that callers may use."""

from dataclasses import dataclass

from chivesaddle.peers.membership import Member, Membership, MemberState

ADDRESS_TTL_S = 10.0
# Enough for a caller to fail over when a zone is lost; more only lengthens the
# response.
MAX_ADDRESSES = 16


@dataclass(frozen=True)
class AddressList:
    """Base URLs for callers in order of preference.

    Attributes
    ----------
    valid_until : float
        Expiry time in seconds on the daemon's clock.
    """

    urls: tuple[str, ...]
    valid_until: float


def select_addresses(membership: Membership, now: float, rotation: int) -> AddressList:
    """Return the live daemons with confirmed configuration.

    Those in this daemon's zone come first. ``rotation`` rotates the order within
    this zone and among the others, so that callers do not all use the same first
    address and overload it.
    """
    usable = [
        member
        for member in membership.members(now, MemberState.LIVE)
        if member.confirmed and member.caller_url
    ]
    own_zone = [m for m in usable if m.zone == membership.own.zone]
    others = [m for m in usable if m.zone != membership.own.zone]
    rotated = _rotate(own_zone, rotation) + _rotate(others, rotation)
    urls = tuple(member.caller_url for member in rotated[:MAX_ADDRESSES])
    return AddressList(urls, now + ADDRESS_TTL_S)


def _rotate(members: list[Member], rotation: int) -> list[Member]:
    start = rotation % len(members) if members else 0
    return members[start:] + members[:start]


__all__ = ["ADDRESS_TTL_S", "AddressList", "select_addresses"]
