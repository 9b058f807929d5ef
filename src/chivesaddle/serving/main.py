"""Command line of the serving daemon.

The platform starts the daemon without arguments, through ``deploy/serve.py``, and names
the settings file in an environment variable.
"""

import gc
import signal
import sys
from pathlib import Path
from typing import Any

from chivesaddle.serving.settings import ServingSettings, SettingsError

EXIT_INVALID_SETTINGS = 2
# Net container allocations that trigger a garbage collection. Higher than the default,
# since reference counting frees most short-lived objects anyway.
GC_THRESHOLD_OBJECTS = 20_000


def main(settings_path: str) -> int:
    """Run the daemon until SIGTERM or SIGINT; return the exit status."""
    try:
        settings = ServingSettings.from_config(Path(settings_path))
    except SettingsError as error:
        print(f"chivesaddle-serve: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    return 0 if _run(settings, Path(settings_path)) else 1


def _run(settings: ServingSettings, path: Path) -> bool:
    """Run the reactor until the daemon stops; return False if it failed to start."""
    # The imports create some 80,000 objects that live as long as the process, which
    # collections would walk again and again.
    gc.disable()
    # Imported here, so that collection is off and ``--check`` does without them.
    from chivesaddle.core.aio import install_reactor, log_failure, start
    from chivesaddle.core.logs import ComponentLogger
    from chivesaddle.serving.logs import configure_logs

    log = ComponentLogger("serving")
    configure_logs(settings.daemon_id, settings.log_level, settings.log_lines_per_s)
    install_reactor()
    # These modules import the reactor, which must be installed first.
    from twisted.internet import reactor as installed

    from chivesaddle.serving.app import ServingDaemon

    reactor: Any = installed
    daemon = ServingDaemon(settings, reactor)
    started = True
    stopping = False

    def on_start_error(failure: Any) -> None:
        nonlocal started
        started = False
        log.error("not started", extra={"cause": failure.getErrorMessage()})
        reactor.stop()

    def stop(signalled_at: float) -> None:
        nonlocal stopping
        if not stopping:
            stopping = True
            stopped = start(daemon.stop(signalled_at))
            stopped.addErrback(log_failure(log, "shutdown failed"))
            stopped.addBoth(lambda _: reactor.stop())

    def handle_stop_signal(*_: Any) -> None:
        # A busy event loop runs `stop` later; the time until SIGKILL counts from now.
        reactor.callFromThread(stop, reactor.seconds())

    signal.signal(signal.SIGTERM, handle_stop_signal)
    signal.signal(signal.SIGINT, handle_stop_signal)
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(daemon.reload, path))
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS, 50, 100)
    gc.enable()
    # grpclib needs a running asyncio loop; callWhenRunning would call too early.
    reactor.callLater(0, lambda: start(daemon.start()).addErrback(on_start_error))
    reactor.run(installSignalHandlers=False)
    return started


def run_command(arguments: list[str]) -> int:
    """Run ``FILE [--check]``; return the exit status.

    Parsed by hand, because importing a command-line library would take a third of the
    restart time.
    """
    paths = [argument for argument in arguments if argument != "--check"]
    if len(paths) != 1:
        print("usage: chivesaddle-serve FILE [--check]", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if "--check" not in arguments:
        return main(paths[0])
    try:
        ServingSettings.from_config(Path(paths[0]))
    except SettingsError as error:
        print(f"chivesaddle-serve: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    print("settings are valid")
    return 0


def command() -> None:
    """Entry point of the ``chivesaddle-serve`` command."""
    sys.exit(run_command(sys.argv[1:]))


if __name__ == "__main__":
    command()


__all__ = ["command", "main", "run_command"]
