"""Datagrams that report what a daemon has observed of backend servers."""

import msgspec

from chivesaddle.forwarding import CrashReport, OriginReport
from chivesaddle.placement import LimitReport


class CrashNotice(msgspec.Struct, array_like=True, tag="crashes"):
    """What the sender has just observed of crashes."""

    items: list[CrashReport]


class LimitNotice(msgspec.Struct, array_like=True, tag="limits"):
    """What the sender has just observed of limits, and sent to limited servers."""

    items: list[LimitReport]


class OriginNotice(msgspec.Struct, array_like=True, tag="origins"):
    """Where streams began that the receiver may be asked for, or has asked for."""

    items: list[OriginReport]


class OriginQuestion(msgspec.Struct, array_like=True, tag="origin?"):
    """Asks where a stream began; only a daemon that knows answers.

    Attributes
    ----------
    daemon : str
        Id of the sender.
    """

    daemon: str
    key: int


__all__ = ["CrashNotice", "LimitNotice", "OriginNotice", "OriginQuestion"]
