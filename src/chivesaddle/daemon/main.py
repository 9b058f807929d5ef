"""Command line of the daemon: ``chivesaddled --config FILE``."""

import signal
from pathlib import Path
from typing import Annotated, Any

import typer

from chivesaddle.core.aio import install_reactor, start
from chivesaddle.core.logs import ComponentLogger, configure
from chivesaddle.core.settings import Settings, SettingsError

EXIT_INVALID_SETTINGS = 2

log = ComponentLogger("daemon")


def serve(
    config: Annotated[Path, typer.Option(help="JSON file with the settings")],
    check: Annotated[
        bool, typer.Option("--check", help="Check the settings and exit")
    ] = False,
) -> None:
    """Serve callers, operators and peers until SIGTERM or SIGINT.

    The first signal drains the daemon: its address is no longer given to callers, and
    it finishes the requests in flight. A second signal stops it immediately.
    """
    try:
        settings = Settings.from_config(config)
    except SettingsError as error:
        typer.echo(f"chivesaddled: {error}", err=True)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from None
    if check:
        typer.echo("settings are valid")
        return
    configure(settings.daemon_id, settings.log_level)
    if not _run(settings):
        raise typer.Exit(1)


def _run(settings: Settings) -> bool:
    """Run the daemon; return False if it could not start."""
    install_reactor()
    # Imported here because the HTTP libraries import the reactor, and the asyncio
    # reactor must be installed before that.
    from twisted.internet import reactor as installed_reactor

    from chivesaddle.daemon.app import Daemon, run_until_stopped

    reactor: Any = installed_reactor
    daemon = Daemon.from_settings(settings, reactor)
    stopping = False
    started = True

    def handle_failure(failure: Any) -> None:
        nonlocal started
        started = False
        code = getattr(failure.value, "code", failure.type.__name__)
        log.error("not started: %s: %s", code, failure.getErrorMessage())
        reactor.stop()

    def request_stop() -> None:
        nonlocal stopping
        if stopping:
            reactor.stop()
            return
        stopping = True
        start(run_until_stopped(daemon, reactor)).addErrback(handle_failure)

    def handle_signal(*_: Any) -> None:
        reactor.callFromThread(request_stop)

    # callWhenRunning would run before the asyncio loop, but grpclib needs it running.
    reactor.callLater(0, lambda: start(daemon.start()).addErrback(handle_failure))
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, handle_signal)
    reactor.run(installSignalHandlers=False)
    return started


def main() -> None:
    """Run the command line."""
    typer.run(serve)


if __name__ == "__main__":
    main()


__all__ = ["main", "serve"]
