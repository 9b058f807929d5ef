"""Structured logs on standard output, bounded and without blocking."""

import logging
import os
import time

import msgspec
from twisted.python.log import PythonLoggingObserver

# Lines that may be written at once after a quiet time, in seconds of the rate.
BURST_S = 5.0
# Bytes that standard output has not taken yet; more lines are dropped.
MAX_PENDING_BYTES = 65_536

_STANDARD = set(logging.makeLogRecord({}).__dict__) | {"message", "asctime", "taskName"}


class BoundedStdout(logging.Handler):
    """Writes one JSON object a line; drops lines over a rate and counts them.

    Parameters
    ----------
    daemon : str
        Name of this daemon, in each line.
    lines_per_s : float
        Lines a second, averaged over `BURST_S`.
    descriptor : int
        File descriptor to write to; it is made non-blocking.
    """

    def __init__(self, daemon: str, lines_per_s: float, descriptor: int = 1) -> None:
        super().__init__()
        self._daemon = daemon
        self._rate = lines_per_s
        self._descriptor = descriptor
        self._tokens = lines_per_s * BURST_S
        self._filled_at = time.monotonic()
        self._pending = b""
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        if not self._take(record.levelno):
            self._dropped += 1
            return
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self._write(
                self._line("WARNING", "logs", "lines dropped", {"lines": dropped})
            )
        fields = {k: v for k, v in record.__dict__.items() if k not in _STANDARD}
        if record.exc_info:
            fields["exception"] = logging.Formatter().formatException(record.exc_info)
        part = record.name.rpartition(".")[2]
        self._write(self._line(record.levelname, part, record.getMessage(), fields))

    def _line(self, level: str, part: str, event: str, fields: dict) -> bytes:
        line = {
            "time": round(time.time(), 3),
            "daemon": self._daemon,
            "level": level,
            "part": part,
            "event": event,
            **fields,
        }
        return msgspec.json.encode(line, enc_hook=str) + b"\n"

    def _take(self, level: int) -> bool:
        now = time.monotonic()
        most = self._rate * BURST_S
        self._tokens = min(most, self._tokens + (now - self._filled_at) * self._rate)
        self._filled_at = now
        # A fifth is kept for warnings and errors.
        kept = 0.0 if level >= logging.WARNING else most / 5
        if self._tokens - 1 < kept:
            return False
        self._tokens -= 1
        return True

    def _write(self, line: bytes) -> None:
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._dropped += 1
            return
        self._pending += line
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the logs any more.
            self._pending = b""
            return
        self._pending = self._pending[written:]


def configure_logs(daemon: str, level: str, lines_per_s: float) -> None:
    """Send the logs of all parts to standard output."""
    root = logging.getLogger()
    root.handlers = [BoundedStdout(daemon, lines_per_s)]
    root.setLevel(level)
    PythonLoggingObserver().start()
    for noisy in ("twisted", "asyncio", "hpack", "h2"):
        logging.getLogger(noisy).setLevel(logging.WARNING)


__all__ = ["BoundedStdout", "configure_logs"]
