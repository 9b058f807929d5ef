"""Which software version each stream began at, as all daemons together know it.

What two versions of a server's software write doesn't fit together, so a stream goes on
only at servers of the version that began it. Its caller may resume it at any daemon.
While a service has servers of several versions, each daemon therefore tells a few
others, chosen by the stream, where it begins; a daemon that does not know asks them.
"""

from collections import Counter, OrderedDict
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from enum import Enum

import msgspec
import xxhash
from twisted.internet.defer import Deferred

from chivesaddle.core.aio import Clock, with_deadline
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.core.ids import AccountId, RequestId, ServiceId, SoftwareVersion
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.forwarding.errors import NotRun
from chivesaddle.placement import SoftwareHistory

# Peers answer within two round trips of at most some 10 ms; a lost question is repeated
# once.
QUESTION_TIMEOUT_S = 0.1
QUESTIONS = 2
# Time after which the caller of a stream whose version nobody knows may return.
UNKNOWN_RETRY_AFTER_S = 1.0
# About the streams that 500 daemons begin, and hear of, within a caller's time limit.
MAX_ORIGINS = 16_384

log = ComponentLogger("streams")


def stream_key(account: AccountId | None, request: RequestId) -> int:
    """Return the key of the stream that a request of an account began.

    The account is part of the key, so that no account resumes a stream of another.
    """
    return xxhash.xxh3_64_intdigest(f"{account or ''}\0{request}".encode())


class Source(Enum):
    """From whom the software version of a stream is known."""

    OWN = "own"
    PEER = "peer"
    # Recorded in the store by another daemon.
    RECORD = "record"
    ONLY_VERSION = "only_version"


class OriginReport(msgspec.Struct, array_like=True, frozen=True):
    """What one daemon tells others about the origin of a stream.

    Attributes
    ----------
    key : int
        See `stream_key`.
    valid_ms : int
        Milliseconds for which the stream may still be resumed.
    """

    key: int
    service: str
    version: str
    valid_ms: int


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began.

    Attributes
    ----------
    valid_until : float
        Until when the stream may be resumed, in seconds of the daemon's clock.
    """

    service: ServiceId
    version: SoftwareVersion
    valid_until: float
    source: Source


class StreamOrigins:
    """The origins of streams that may still be resumed.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    software : SoftwareHistory
        Software versions of the services.
    confirm : callable
        Returns, for a service and a stream's key (0 without any), whether the known
        software versions are all that there were until now. Those that it learns of
        become known before it returns.
    """

    def __init__(
        self,
        clock: Clock,
        software: SoftwareHistory,
        confirm: Callable[[ServiceId, int], Awaitable[bool]],
    ) -> None:
        self._clock = clock
        self._software = software
        self._confirm = confirm
        self._origins_by_key: OrderedDict[int, StreamOrigin] = OrderedDict()
        self._waiters_by_key: dict[int, list[Deferred[None]]] = {}
        self._listeners: list[Callable[[list[OriginReport]], None]] = []
        # Called with the key of a stream whose origin other daemons may know.
        self.on_question: Callable[[int], None] = lambda key: None
        self.resumed_by_result: Counter[str] = Counter()
        software.on_mixed = self._report_all

    def add_listener(self, listener: Callable[[list[OriginReport]], None]) -> None:
        """Call ``listener(reports)`` with origins that others must know."""
        self._listeners.append(listener)

    def __len__(self) -> int:
        return len(self._origins_by_key)

    def record_start(
        self,
        key: int,
        service: ServiceId,
        version: SoftwareVersion,
        valid_until: float,
    ) -> None:
        """Record that this daemon passes on a stream's first event, or goes on."""
        self._put(key, StreamOrigin(service, version, valid_until, Source.OWN))
        if len(self._software.versions(service)) > 1:
            self._report([key])

    async def find(
        self,
        account: AccountId | None,
        resumed_request: RequestId | None,
        service: ServiceId,
    ) -> StreamOrigin:
        """Return the origin of a stream that a caller resumes.

        Parameters
        ----------
        resumed_request : RequestId or None
            The request that began the stream, if the caller names it.
        service : ServiceId
            Service of the route.

        Raises
        ------
        NotRun
            If the software version at which the stream began is not known.
        """
        origin = await self._find(account, resumed_request, service)
        if origin is None:
            self.resumed_by_result["unknown"] += 1
            raise NotRun(
                "The software version at which the stream began is not known; "
                f"versions of {service}: {sorted(self._software.versions(service))}",
                retry_after_s=UNKNOWN_RETRY_AFTER_S,
            )
        self.resumed_by_result[origin.source.value] += 1
        return origin

    async def _find(
        self,
        account: AccountId | None,
        resumed_request: RequestId | None,
        service: ServiceId,
    ) -> StreamOrigin | None:
        key = None if resumed_request is None else stream_key(account, resumed_request)
        if key is not None and (known := self._get(key)) is not None:
            return known
        versions = self._software.versions(service)
        if len(versions) == 1:
            is_confirmed = await self._confirm(service, key or 0)
            if key is not None and (known := self._get(key)) is not None:
                return known
            if is_confirmed and self._software.versions(service) == versions:
                valid_until = self._clock.seconds()
                return StreamOrigin(
                    service, versions.pop(), valid_until, Source.ONLY_VERSION
                )
        return None if key is None else await self._ask(key)

    async def _ask(self, key: int) -> StreamOrigin | None:
        for _ in range(QUESTIONS):
            answered: Deferred[None] = Deferred()
            waiters = self._waiters_by_key.setdefault(key, [])
            waiters.append(answered)
            deadline = self._clock.seconds() + QUESTION_TIMEOUT_S
            self.on_question(key)
            try:
                await with_deadline(self._clock, deadline, answered, "stream origin")
            except DeadlineExceeded:
                log.info("stream origin not answered", extra={"key": key})
            finally:
                waiters.remove(answered)
                if not waiters:
                    self._waiters_by_key.pop(key, None)
            if (known := self._get(key)) is not None:
                return known
        return None

    def reports(self, keys: Iterable[int]) -> list[OriginReport]:
        """Return reports of the streams among ``keys`` that are known."""
        now = self._clock.seconds()
        return [
            OriginReport(
                key,
                origin.service,
                origin.version,
                round((origin.valid_until - now) * 1_000),
            )
            for key in keys
            if (origin := self._get(key)) is not None
        ]

    def own_reports(self) -> list[OriginReport]:
        """Return reports of this daemon's streams that others must know."""
        is_mixed_by_service: dict[ServiceId, bool] = {}
        keys = []
        for key, origin in self._origins_by_key.items():
            if origin.source is not Source.OWN:
                continue
            service = origin.service
            if service not in is_mixed_by_service:
                versions = self._software.versions(service)
                is_mixed_by_service[service] = len(versions) > 1
            if is_mixed_by_service[service]:
                keys.append(key)
        return self.reports(keys)

    def apply_reports(
        self, reports: Iterable[OriginReport], source: Source = Source.PEER
    ) -> None:
        """Apply reports of peers, or what daemons have recorded in the store."""
        now = self._clock.seconds()
        for report in reports:
            valid_until = now + report.valid_ms / 1_000
            known = self._get(report.key)
            if known is not None and known.valid_until >= valid_until:
                continue
            origin = StreamOrigin(
                ServiceId(report.service),
                SoftwareVersion(report.version),
                valid_until,
                source,
            )
            self._put(report.key, origin)
            for waiter in list(self._waiters_by_key.get(report.key, ())):
                if not waiter.called:
                    waiter.callback(None)

    def _get(self, key: int) -> StreamOrigin | None:
        origin = self._origins_by_key.get(key)
        is_valid = origin is not None and origin.valid_until > self._clock.seconds()
        return origin if is_valid else None

    def _put(self, key: int, origin: StreamOrigin) -> None:
        self._origins_by_key[key] = origin
        self._origins_by_key.move_to_end(key)
        now = self._clock.seconds()
        while self._origins_by_key:
            oldest = next(iter(self._origins_by_key.values()))
            if oldest.valid_until > now and len(self._origins_by_key) <= MAX_ORIGINS:
                break
            self._origins_by_key.popitem(last=False)

    def _report_all(self, service: ServiceId) -> None:
        """Report the streams of a service that has a second version from now on."""
        keys = [
            key
            for key, origin in self._origins_by_key.items()
            if origin.service == service and origin.source is Source.OWN
        ]
        if keys:
            self._report(keys)

    def _report(self, keys: Iterable[int]) -> None:
        reports = self.reports(keys)
        for listener in self._listeners:
            listener(reports)


__all__ = ["OriginReport", "Source", "StreamOrigin", "StreamOrigins", "stream_key"]
