"""Command line of the serving daemon.

The platform starts the daemon without arguments and names the settings file in an
environment variable.
"""

import gc
import signal
import sys
from pathlib import Path
from typing import Any

from chivesaddle.core.aio import install_reactor, start
from chivesaddle.core.logs import PartLogger
from chivesaddle.serving.logs import configure_logs
from chivesaddle.serving.settings import ServingSettings, SettingsError

EXIT_INVALID_SETTINGS = 2
# Objects allocated before a collection; short-lived ones are freed by reference counts.
GC_THRESHOLD = 20_000

log = PartLogger("serving")


def main(settings_path: str) -> int:
    """Serve until SIGTERM; return the exit status."""
    try:
        settings = ServingSettings.from_config(Path(settings_path))
    except SettingsError as error:
        print(f"chivesaddle-serve: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    configure_logs(settings.daemon_id, settings.log_level, settings.log_lines_per_s)
    return 0 if _run(settings, Path(settings_path)) else 1


def _run(settings: ServingSettings, path: Path) -> bool:
    """Run the daemon; return False if it could not start."""
    install_reactor()
    # Imported here: these modules import the reactor, which must be ours.
    from twisted.internet import reactor as installed

    from chivesaddle.serving.app import ServingDaemon

    reactor: Any = installed
    daemon = ServingDaemon(settings, reactor)
    started = True
    stopping = False

    def failed(failure: Any) -> None:
        nonlocal started
        started = False
        log.error("not started", extra={"cause": failure.getErrorMessage()})
        reactor.stop()

    def stop() -> None:
        nonlocal stopping
        if not stopping:
            stopping = True
            start(daemon.stop()).addBoth(lambda _: reactor.stop())

    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(stop))
    signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(stop))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(daemon.reload, path))
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 50, 100)
    # callWhenRunning would run before the asyncio loop does, which grpclib needs.
    reactor.callLater(0, lambda: start(daemon.start()).addErrback(failed))
    reactor.run(installSignalHandlers=False)
    return started


def run_command(arguments: list[str]) -> int:
    """Run ``FILE [--check]``; return the exit status.

    A command-line library would take a third of the time that a restart takes.
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
    """Run the command line of the process."""
    sys.exit(run_command(sys.argv[1:]))


if __name__ == "__main__":
    command()


__all__ = ["command", "main", "run_command"]
