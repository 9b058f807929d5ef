"""Addresses that callers may use."""

from dataclasses import dataclass

from chivesaddle.peers.membership import Member, Membership, MemberState

ADDRESS_TTL_S = 10.0
# Enough for a caller to survive the loss of a zone; more only lengthens the answer.
MAX_ADDRESSES = 16


@dataclass(frozen=True)
class AddressAnswer:
    """Caller base URLs in order of preference.

    Attributes
    ----------
    valid_until : float
        Seconds on the daemon's clock; an answer is used no longer.
    """

    urls: tuple[str, ...]
    valid_until: float


def address_answer(membership: Membership, now: float, turn: int) -> AddressAnswer:
    """Return live daemons with confirmed configuration, own zone first.

    ``turn`` rotates the order within the own zone and among the others, because
    callers that all used the same first address would overload it.
    """
    usable = [
        member
        for member in membership.members(now, MemberState.LIVE)
        if member.confirmed and member.caller_url
    ]
    own_zone = [m for m in usable if m.zone == membership.own.zone]
    others = [m for m in usable if m.zone != membership.own.zone]
    ordered = _rotate(own_zone, turn) + _rotate(others, turn)
    urls = tuple(member.caller_url for member in ordered[:MAX_ADDRESSES])
    return AddressAnswer(urls, now + ADDRESS_TTL_S)


def _rotate(members: list[Member], turn: int) -> list[Member]:
    start = turn % len(members) if members else 0
    return members[start:] + members[:start]


__all__ = ["ADDRESS_TTL_S", "AddressAnswer", "address_answer"]
