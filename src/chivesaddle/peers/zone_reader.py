"""Reading the platform on behalf of a zone.

The holder of the zone's lease watches the configuration and the instance list. Every
other daemon reads the platform only at its start and while no relayed reading reaches
it.
"""

from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import Clock, log_failure, sleep_until, start, with_deadline
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.objects import (
    ChangeType,
    ObjectApi,
    ObjectNotFound,
    PlatformUnavailable,
    RevisionCompacted,
)
from chivesaddle.peers.instances import InstanceTable
from chivesaddle.peers.ports import ConfigurationPort, FreshnessPort, LeasePort

# A reading is as old as the call that brought it, so a longer wait would age the zone's
# configuration towards the bound of 6 s.
WATCH_S = 1.0
CALL_S = 2.0
RETRY_S = 1.0
# Later than relayed readings are in a healthy zone: up to 1 s of watching, 1 s until
# the next reading, 1 s since the receiver's last reply and 1 s between pushes. At 3.0 s
# 100 daemons made 22 needless reads/s.
PROBE_AFTER_S = 4.5
# Leaves a probe time before the reading is 6 s old. At 500 daemons this is 500 reads/s
# in the worst case, a failure of all relays.
PROBE_EVERY_S = 1.0

_log = PartLogger("peers")


class ZoneReader:
    """Keeps the configuration, its freshness and the instance table up to date.

    Parameters
    ----------
    on_instances : callable
        Called after each change of the instance table.
    on_platform : callable
        Called with whether the platform answered, after each attempt.
    """

    def __init__(
        self,
        clock: Clock,
        api: ObjectApi,
        lease: LeasePort,
        configuration: ConfigurationPort,
        freshness: FreshnessPort,
        table: InstanceTable,
        on_instances: Callable[[], None],
        on_platform: Callable[[bool], None],
    ) -> None:
        self._clock = clock
        self._api = api
        self._lease = lease
        self._configuration = configuration
        self._freshness = freshness
        self._table = table
        self._on_instances = on_instances
        self._on_platform = on_platform
        self._loops: list[Deferred] = []

    def start(self) -> None:
        """Start to take the lease and to read when it is held."""
        self._lease.start()
        self._loops = [
            self._start_loop(self._list_instances_once()),
            self._start_loop(self._follow("config", self._read_config)),
            self._start_loop(self._follow("instances", self._read_instances)),
            self._start_loop(self._probe_without_relay()),
        ]

    def stop(self) -> None:
        """Stop reading; the owner of the lease releases it."""
        for loop in self._loops:
            loop.cancel()

    def is_reader(self) -> bool:
        """Tell whether this daemon reads for its zone now."""
        return self._lease.held_at(self._clock.seconds())

    def _start_loop(self, loop: Coroutine[Any, Any, None]) -> Deferred:
        return start(loop).addErrback(log_failure(_log, "zone reader stopped"))

    async def _sleep(self, seconds: float) -> None:
        await sleep_until(self._clock, self._clock.seconds() + seconds)

    async def _try(self, read: Coroutine[Any, Any, int]) -> int | None:
        """Return the revision up to which ``read`` read; None after a failure."""
        try:
            revision = await read
        except (PlatformUnavailable, DeadlineExceeded) as error:
            _log.warning("platform not reached: %s", error.message)
            self._freshness.record_platform_failure(self._clock.seconds())
            self._on_platform(False)
            return None
        except RevisionCompacted:
            return None
        # A refresh that meets an unreadable object must not end the loop.
        except ChivesaddleError as error:
            _log.error("reading failed: %s", error)
            return None
        self._on_platform(True)
        return revision

    async def _follow(
        self, kind: str, read: Callable[[int | None], Coroutine[Any, Any, int]]
    ) -> None:
        revision: int | None = None
        while True:
            if not self.is_reader():
                revision = None
                await self._sleep(RETRY_S / 4)
                continue
            revision = await self._try(read(revision))
            if revision is None:
                await self._sleep(RETRY_S)

    async def _list_instances_once(self) -> None:
        """Find the first peers; afterwards the zone reader pushes the list."""
        while self._table.revision == 0:
            if await self._try(self._read_instances(None)) is None:
                await self._sleep(RETRY_S)

    async def _probe_without_relay(self) -> None:
        while True:
            age = self._freshness.reading_age(self._clock.seconds())
            if (age is None or age > PROBE_AFTER_S) and not self.is_reader():
                await self._try(self._probe())
            await self._sleep(PROBE_EVERY_S)

    async def _probe(self) -> int:
        sent_at = self._clock.seconds()
        try:
            head = await self._limited(
                self._api.get("config", "head", deadline=sent_at + CALL_S), CALL_S
            )
            wanted = head.value["revision"]
        except ObjectNotFound:
            wanted = 0
        await self._apply_up_to(wanted, sent_at)
        return wanted

    async def _read_config(self, after: int | None) -> int:
        sent_at = self._clock.seconds()
        wanted = self._configuration.revision
        if after is None:
            listing = await self._limited(
                self._api.list_objects("config", deadline=sent_at + CALL_S), CALL_S
            )
            head = listing.items_by_name.get("head")
            wanted = head.value["revision"] if head else 0
            after = listing.revision
        else:
            seen = await self._limited(
                self._api.wait_for_changes(
                    "config", after=after, deadline=sent_at + WATCH_S
                ),
                WATCH_S + CALL_S,
            )
            for change in seen.changes:
                if change.item.name == "head" and change.type is ChangeType.PUT:
                    wanted = change.item.value["revision"]
            after = seen.revision
        await self._apply_up_to(wanted, sent_at)
        return after

    async def _apply_up_to(self, wanted: int, sent_at: float) -> None:
        """Apply the configuration that was read, then count the reading."""
        if wanted > self._configuration.revision:
            await self._configuration.refresh()
        if wanted > self._configuration.revision:
            raise PlatformUnavailable(
                f"Revision {wanted} was announced but could not be applied",
                remedy="The next reading tries again",
            )
        now = self._clock.seconds()
        self._freshness.record_platform_reading(now - sent_at, now)

    async def _read_instances(self, after: int | None) -> int:
        now = self._clock.seconds()
        if after is None:
            listing = await self._limited(
                self._api.list_objects("instances", deadline=now + CALL_S), CALL_S
            )
            values = {n: item.value for n, item in listing.items_by_name.items()}
            self._table.replace(listing.revision, values)
            self._on_instances()
            return listing.revision
        seen = await self._limited(
            self._api.wait_for_changes(
                "instances", after=after, deadline=now + WATCH_S
            ),
            WATCH_S + CALL_S,
        )
        changes = [
            (c.item.name, c.item.value if c.type is ChangeType.PUT else None)
            for c in seen.changes
        ]
        if changes:
            self._table.update(seen.revision, changes)
            self._on_instances()
        return seen.revision

    async def _limited(self, call: Coroutine[Any, Any, Any], seconds: float) -> Any:
        deadline = self._clock.seconds() + seconds
        return await with_deadline(self._clock, deadline, call, "platform call")


__all__ = ["ZoneReader"]
