"""Datagrams that report, or ask, what a daemon has observed of backend servers."""

import msgspec

from chivesaddle.forwarding import CrashReport, OriginReport
from chivesaddle.placement import GoneVersion, LimitReport


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
    """Asks where a stream began; only a daemon that knows answers that.

    Builds that know only the first two fields ignore the others.

    Attributes
    ----------
    daemon : str
        Id of the sender.
    key : int
        Key of the stream, 0 if its caller does not name it.
    number : int
        Names the question in a `VersionsAnswer`; 0 if none is wanted.
    service : str
        Service whose software versions are asked for.
    reads_store : bool
        Whether the receiver reads the store before it answers.
    """

    daemon: str
    key: int
    number: int = 0
    service: str = ""
    reads_store: bool = False


class VersionsAnswer(msgspec.Struct, array_like=True, tag="versions"):
    """Which software versions the sender knows of a service.

    Attributes
    ----------
    daemon : str
        Id of the sender.
    number : int
        The question that is answered.
    versions : list of GoneVersion
        The versions, those that are listed at age 0.
    has_tried : bool
        Whether the sender has read the store, or tried to, since it got the question.
    is_confirmed : bool
        Whether it succeeded.
    """

    daemon: str
    number: int
    versions: list[GoneVersion]
    has_tried: bool
    is_confirmed: bool


class AnswerQuestion(msgspec.Struct, array_like=True, tag="answers?"):
    """Asks whether a service answers the receiver.

    Attributes
    ----------
    daemon : str
        Id of the sender.
    service : int
        Hash of the service.
    """

    daemon: str
    service: int


class AnswerReport(msgspec.Struct, array_like=True, tag="answers"):
    """Says that a service has just answered the sender.

    Attributes
    ----------
    daemon : str
        Id of the sender.
    service : int
        Hash of the service.
    """

    daemon: str
    service: int


__all__ = [
    "AnswerQuestion",
    "AnswerReport",
    "CrashNotice",
    "LimitNotice",
    "OriginNotice",
    "OriginQuestion",
    "VersionsAnswer",
]
