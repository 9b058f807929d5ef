"""Reads at its start what a daemon needs to know of streams that began before."""

import logging
from typing import Any, Protocol

from twisted.internet.defer import CancelledError, Deferred

from chivesaddle.core.aio import Clock, log_failure, sleep_until, start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.logs import ComponentLogger

RETRY_DELAY_S = 0.5

log = ComponentLogger("records")


class Record(Protocol):
    """Something that daemons keep in the platform's store."""

    async def load(self) -> None:
        """Read it; raises `ChivesaddleError` if the store does not answer."""


class RecordLoader:
    """Reads records until that succeeds, and tells peers that it did.

    A daemon that cannot reach the store knows what was recorded from any peer that has
    read it: peers tell each other the versions that left, and are asked for origins.

    Parameters
    ----------
    clock : Clock
        Clock of the delays.
    records : Record
        The records to read.
    """

    def __init__(self, clock: Clock, *records: Record) -> None:
        self._clock = clock
        self._records = records
        self._loop: Deferred[None] | None = None
        self._is_known = False

    def is_known(self) -> bool:
        """Return whether this daemon, or a peer that told it, has read the records."""
        return self._is_known

    def start(self) -> None:
        """Start reading."""
        self._loop = start(self._run())
        self._loop.addErrback(log_failure(log, "reading records ended"))

    def stop(self) -> None:
        """Stop reading."""
        if self._loop is not None:
            self._loop.cancel()

    def collect(self) -> Any:
        """Return whether the records are known, for peers."""
        return self._is_known

    def apply_remote(self, hint: Any) -> None:
        """Apply whether a peer knows the records."""
        self._is_known = self._is_known or hint is True

    async def _run(self) -> None:
        while True:
            try:
                for record in self._records:
                    await record.load()
            except CancelledError:
                raise
            except Exception as error:
                is_expected = isinstance(error, ChivesaddleError)
                log.log(
                    logging.INFO if is_expected else logging.ERROR,
                    "not read",
                    extra={"cause": str(error)},
                    exc_info=None if is_expected else error,
                )
                await sleep_until(self._clock, self._clock.seconds() + RETRY_DELAY_S)
                continue
            self._is_known = True
            log.info("read")
            return


__all__ = ["Record", "RecordLoader"]
