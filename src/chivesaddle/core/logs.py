"""Structured logs: one JSON object per line, with a prefix for each component."""

import logging
import sys

from chivesaddle.core.ids import DaemonId


def configure(daemon: DaemonId, level: str) -> None:
    """Write logs to standard error as JSON lines, including Twisted's own errors."""
    # Imported here, since the serving daemon formats its lines by other means.
    from pythonjsonlogger.json import JsonFormatter
    from twisted.python import log as twisted_log

    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            static_fields={"daemon": daemon},
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    logging.getLogger("twisted").setLevel(logging.WARNING)
    twisted_log.PythonLoggingObserver().start()


class ComponentLogger(logging.LoggerAdapter):
    """Logger that prefixes its messages with the name of a component.

    Examples
    --------
    >>> ComponentLogger("peers").process("lost peer", {})[0]
    '[peers] lost peer'
    """

    def __init__(self, part: str) -> None:
        super().__init__(logging.getLogger(f"chivesaddle.{part}"), {})
        self._part = part

    def process(self, msg, kwargs):
        """Add the prefix to the message."""
        return f"[{self._part}] {msg}", kwargs


__all__ = ["ComponentLogger", "configure"]
