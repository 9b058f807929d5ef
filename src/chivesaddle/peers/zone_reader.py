"""Reads from the platform on behalf of a zone.

The holder of the zone's lease watches the configuration and the instance list. The
other daemons read the platform only at startup and while they receive no relayed
readings.
"""

from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from chivesaddle.core.aio import Clock, log_failure, sleep_until, start, with_deadline
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.objects import (
    ChangeType,
    ObjectApi,
    ObjectNotFound,
    PlatformUnavailable,
    RevisionCompacted,
)
from chivesaddle.peers.instances import InstanceTable
from chivesaddle.peers.ports import ConfigurationPort, FreshnessPort, LeasePort

# The age of a reading is counted from the start of the call, so a longer watch would
# bring the zone's readings closer to the maximum age of 6 s.
WATCH_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 1.0
# More than the age of relayed readings in a healthy zone, which is up to 4 s: 1 s for
# the watch, 1 s until the next reading, 1 s since the receiver's last reply and 1 s
# between pushes. With 3.0 s, 100 daemons made 22 unnecessary reads/s.
PROBE_READING_AGE_S = 4.5
# Leaves time for a probe before the reading is 6 s old. The worst case, a fleet of 500
# daemons without any relayed readings, makes 500 reads/s.
PROBE_INTERVAL_S = 1.0

_log = ComponentLogger("peers")


class ZoneReader:
    """Keeps the configuration, its freshness and the instance table up to date.

    Parameters
    ----------
    on_instances : callable
        Called after each change of the instance table.
    on_platform_call : callable
        Called after each platform call with whether the platform responded.
    """

    def __init__(
        self,
        clock: Clock,
        api: ObjectApi,
        lease: LeasePort,
        configuration: ConfigurationPort,
        freshness: FreshnessPort,
        instance_table: InstanceTable,
        on_instances: Callable[[], None],
        on_platform_call: Callable[[bool], None],
    ) -> None:
        self._clock = clock
        self._api = api
        self._lease = lease
        self._configuration = configuration
        self._freshness = freshness
        self._instance_table = instance_table
        self._on_instances = on_instances
        self._on_platform_call = on_platform_call
        self._loops: list[Deferred] = []

    def start(self) -> None:
        """Start to acquire the lease, and to read while it is held."""
        self._lease.start()
        self._loops = [
            self._start_loop(self._list_instances_once()),
            self._start_loop(self._watch("config", self._read_config)),
            self._start_loop(self._watch("instances", self._read_instances)),
            self._start_loop(self._probe_while_stale()),
        ]

    def stop(self) -> None:
        """Stop reading; the owner of the lease object releases the lease."""
        for loop in self._loops:
            loop.cancel()

    def is_reader(self) -> bool:
        """Return whether this daemon is the reader of its zone now."""
        return self._lease.is_held_at(self._clock.seconds())

    def _start_loop(self, loop: Coroutine[Any, Any, None]) -> Deferred:
        return start(loop).addErrback(log_failure(_log, "zone reader loop failed"))

    async def _sleep(self, seconds: float) -> None:
        await sleep_until(self._clock, self._clock.seconds() + seconds)

    async def _attempt(self, read: Coroutine[Any, Any, int]) -> int | None:
        """Return the revision that ``read`` returned; None after a failure."""
        try:
            revision = await read
        except (PlatformUnavailable, DeadlineExceeded) as error:
            _log.warning("no platform reading: %s", error.message)
            self._freshness.record_platform_failure(self._clock.seconds())
            self._on_platform_call(False)
            return None
        except RevisionCompacted:
            return None
        except CancelledError:
            raise
        # A malformed object must not end the loop.
        except Exception as error:
            is_expected = isinstance(error, ChivesaddleError)
            _log.error(
                "platform read failed: %r",
                error,
                exc_info=None if is_expected else error,
            )
            return None
        self._on_platform_call(True)
        return revision

    async def _watch(
        self, kind: str, read: Callable[[int | None], Coroutine[Any, Any, int]]
    ) -> None:
        revision: int | None = None
        while True:
            if not self.is_reader():
                revision = None
                await self._sleep(RETRY_INTERVAL_S / 4)
                continue
            revision = await self._attempt(read(revision))
            if revision is None:
                await self._sleep(RETRY_INTERVAL_S)

    async def _list_instances_once(self) -> None:
        """Read the first instance list; later ones are pushed by the zone reader."""
        while self._instance_table.revision == 0:
            if await self._attempt(self._read_instances(None)) is None:
                await self._sleep(RETRY_INTERVAL_S)

    async def _probe_while_stale(self) -> None:
        while True:
            age = self._freshness.reading_age(self._clock.seconds())
            if (age is None or age > PROBE_READING_AGE_S) and not self.is_reader():
                await self._attempt(self._probe())
            await self._sleep(PROBE_INTERVAL_S)

    async def _probe(self) -> int:
        sent_at = self._clock.seconds()
        try:
            head = await self._with_timeout(
                self._api.get("config", "head", deadline=sent_at + CALL_TIMEOUT_S),
                CALL_TIMEOUT_S,
            )
            head_revision = head.value["revision"]
        except ObjectNotFound:
            head_revision = 0
        await self._apply_up_to(head_revision, sent_at)
        return head_revision

    async def _read_config(self, after: int | None) -> int:
        sent_at = self._clock.seconds()
        head_revision = self._configuration.revision
        if after is None:
            listing = await self._with_timeout(
                self._api.list_objects("config", deadline=sent_at + CALL_TIMEOUT_S),
                CALL_TIMEOUT_S,
            )
            head = listing.items_by_name.get("head")
            head_revision = head.value["revision"] if head else 0
            after = listing.revision
        else:
            batch = await self._with_timeout(
                self._api.wait_for_changes(
                    "config", after=after, deadline=sent_at + WATCH_TIMEOUT_S
                ),
                WATCH_TIMEOUT_S + CALL_TIMEOUT_S,
            )
            for change in batch.changes:
                if change.item.name == "head" and change.type is ChangeType.PUT:
                    head_revision = change.item.value["revision"]
            after = batch.revision
        await self._apply_up_to(head_revision, sent_at)
        return after

    async def _apply_up_to(self, head_revision: int, sent_at: float) -> None:
        """Apply the changes up to the head that was read, then record the reading."""
        if head_revision > self._configuration.revision:
            await self._configuration.refresh()
        if head_revision > self._configuration.revision:
            raise PlatformUnavailable(
                f"Configuration revision {head_revision} could not be applied",
                remedy="The next read tries again",
            )
        now = self._clock.seconds()
        self._freshness.record_platform_reading(now - sent_at, now)

    async def _read_instances(self, after: int | None) -> int:
        now = self._clock.seconds()
        if after is None:
            listing = await self._with_timeout(
                self._api.list_objects("instances", deadline=now + CALL_TIMEOUT_S),
                CALL_TIMEOUT_S,
            )
            values = {n: item.value for n, item in listing.items_by_name.items()}
            self._instance_table.replace(listing.revision, values)
            self._on_instances()
            return listing.revision
        batch = await self._with_timeout(
            self._api.wait_for_changes(
                "instances", after=after, deadline=now + WATCH_TIMEOUT_S
            ),
            WATCH_TIMEOUT_S + CALL_TIMEOUT_S,
        )
        changes = [
            (c.item.name, c.item.value if c.type is ChangeType.PUT else None)
            for c in batch.changes
        ]
        if changes:
            self._instance_table.update(batch.revision, changes)
            self._on_instances()
        return batch.revision

    async def _with_timeout(
        self, call: Coroutine[Any, Any, Any], timeout_s: float
    ) -> Any:
        deadline = self._clock.seconds() + timeout_s
        return await with_deadline(self._clock, deadline, call, "platform call")


__all__ = ["ZoneReader"]
