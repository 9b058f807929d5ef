"""Structured logs on standard output, rate-limited and non-blocking."""

import logging
import os
import time

import msgspec
from twisted.python.log import PythonLoggingObserver

# Size of the token bucket, as seconds of the average rate.
BURST_S = 5.0
# Limit of bytes not yet written to standard output; further lines are dropped.
MAX_PENDING_BYTES = 65_536
# Length of the text of a value that cannot be encoded.
MAX_TEXT_CHARS = 500

_STANDARD_FIELDS = set(logging.makeLogRecord({}).__dict__) | {
    "message",
    "asctime",
    "taskName",
}


class RateLimitedStdoutHandler(logging.Handler):
    """Writes one JSON object per line; drops and counts lines over the rate limit.

    Parameters
    ----------
    daemon : str
        Name of this daemon, written in each line.
    lines_per_s : float
        Average rate limit; `BURST_S` seconds' worth of lines may be written at once.
    descriptor : int
        File descriptor to write to; set to non-blocking mode.
    """

    def __init__(self, daemon: str, lines_per_s: float, descriptor: int = 1) -> None:
        super().__init__()
        self._daemon = daemon
        self._rate = lines_per_s
        self._descriptor = descriptor
        self._tokens = lines_per_s * BURST_S
        self._refilled_at = time.monotonic()
        self._pending = b""
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        if not self._take_token(record):
            self._dropped += 1
            return
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self._write(
                self._line("WARNING", "logs", "lines dropped", {"lines": dropped})
            )
        fields = {k: v for k, v in record.__dict__.items() if k not in _STANDARD_FIELDS}
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
        }
        line |= {
            f"{name}_field" if name in line else name: value
            for name, value in fields.items()
        }
        try:
            return msgspec.json.encode(line, enc_hook=str) + b"\n"
        except (ValueError, TypeError, OverflowError, RecursionError) as error:
            # Values come from outside, such as the names of entries in the store.
            texts = {
                name: _printable(value)
                for name, value in {**line, "not_encoded": error}.items()
            }
            return msgspec.json.encode(texts) + b"\n"

    def _take_token(self, record: logging.LogRecord) -> bool:
        now = time.monotonic()
        capacity = self._rate * BURST_S
        self._tokens = min(
            capacity, self._tokens + (now - self._refilled_at) * self._rate
        )
        self._refilled_at = now
        # Lines about single requests leave a fifth of the bucket to the others, and
        # these a tenth of it to warnings and errors.
        if record.levelno >= logging.WARNING:
            reserved = 0.0
        else:
            reserved = capacity / (5 if hasattr(record, "request") else 10)
        if self._tokens - 1 < reserved:
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
            # The reading end was closed.
            self._pending = b""
            return
        self._pending = self._pending[written:]


def _printable(value: object) -> str:
    """Return a bounded text for a value that is not valid JSON."""
    try:
        text = str(value)
    except (ValueError, RecursionError) as error:
        text = type(error).__name__
    return text[:MAX_TEXT_CHARS].encode("ascii", "backslashreplace").decode()


def configure_logs(daemon: str, level: str, lines_per_s: float) -> None:
    """Send all logs of the process to standard output."""
    # No line names the caller, thread or process, which are looked up for each record.
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    root = logging.getLogger()
    root.handlers = [RateLimitedStdoutHandler(daemon, lines_per_s)]
    root.setLevel(level)
    PythonLoggingObserver().start()
    for library in ("twisted", "asyncio", "hpack", "h2"):
        logging.getLogger(library).setLevel(logging.WARNING)


__all__ = ["RateLimitedStdoutHandler", "configure_logs"]
