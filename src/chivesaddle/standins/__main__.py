"""Command line of the fakes: ``python -m chivesaddle.standins ROLE --port P``."""

import os
import sys
from collections.abc import Callable
from typing import Annotated, Any

import typer
from twisted.python import log as twisted_log

from chivesaddle.core.aio import install_reactor

app = typer.Typer(no_args_is_help=True)

CRASH_EXIT_STATUS = 70
PARENT_POLL_INTERVAL_S = 0.5

Port = Annotated[int, typer.Option(help="TCP port on loopback", min=1, max=65_535)]
ExitWithParent = Annotated[
    bool, typer.Option(help="Stop when the parent process has ended")
]


@app.callback()
def before_command() -> None:
    """Fakes of the external systems."""
    # klein and treq import the reactor, so it must be installed before the module of
    # any fake is imported.
    install_reactor()


def crash() -> None:
    """End the process at once without cleanup, as a fatal error would."""
    os._exit(CRASH_EXIT_STATUS)


def serve(port: int, exit_with_parent: bool, make_server: Callable[[Any], Any]) -> None:
    """Listen on loopback and run until SIGINT or SIGTERM.

    Parameters
    ----------
    make_server : callable
        Creates the fake server; called with the reactor.
    """
    from twisted.internet import reactor as installed_reactor
    from twisted.internet.task import LoopingCall

    reactor: Any = installed_reactor
    twisted_log.startLogging(sys.stderr, setStdout=False)
    server = make_server(reactor)
    reactor.listenTCP(port, server.connections, interface="127.0.0.1")
    if exit_with_parent:
        parent_pid = os.getppid()

        def check_parent() -> None:
            if os.getppid() != parent_pid:
                reactor.stop()

        LoopingCall(check_parent).start(PARENT_POLL_INTERVAL_S)
    reactor.run()


@app.command("object-api")
def object_api(
    port: Port,
    reads_per_s: Annotated[
        float, typer.Option(help="Limit of read calls per second")
    ] = 2_000,
    writes_per_s: Annotated[
        float, typer.Option(help="Limit of write calls per second")
    ] = 300,
    instances_lag_s: Annotated[
        float, typer.Option(help="Delay of reads of instances, seconds")
    ] = 1.0,
    exit_with_parent: ExitWithParent = False,
) -> None:
    """Serve the platform's object API."""
    from chivesaddle.standins.object_api import FakeObjectApi

    serve(
        port,
        exit_with_parent,
        lambda clock: FakeObjectApi(
            clock,
            reads_per_s=reads_per_s,
            writes_per_s=writes_per_s,
            instances_lag_s=instances_lag_s,
        ),
    )


@app.command()
def engine(
    port: Port,
    model: Annotated[
        list[str],
        typer.Option(help="MODEL:VERSION[:ADAPTER,...] to load; repeat for more"),
    ],
    prefill_tokens_per_s: Annotated[
        float, typer.Option(help="Prompt tokens prefilled per second")
    ] = 20_000,
    decode_tokens_per_s: Annotated[
        float, typer.Option(help="Tokens generated per second in each running stream")
    ] = 100,
    max_running: Annotated[
        int, typer.Option(help="Maximum number of running requests")
    ] = 8,
    max_queued: Annotated[
        int, typer.Option(help="Maximum number of waiting requests")
    ] = 64,
    cache_blocks: Annotated[
        int, typer.Option(help="Capacity of the prefix cache, blocks")
    ] = 1_024,
    events_lag_s: Annotated[
        float, typer.Option(help="Delay of cache events, seconds")
    ] = 0.2,
    load_lag_s: Annotated[
        float, typer.Option(help="Age of load reports, seconds")
    ] = 0.2,
    retention_s: Annotated[
        float, typer.Option(help="Seconds for which a finished stream can be resumed")
    ] = 60,
    checks_fence: Annotated[
        bool, typer.Option(help="Reject orders with a stale fencing token")
    ] = False,
    weights_url: Annotated[
        str,
        typer.Option(
            help="URL of the weight store that ordered versions are read from"
        ),
    ] = "",
    exit_with_parent: ExitWithParent = False,
) -> None:
    """Serve a model engine."""
    from chivesaddle.standins.engine import FakeEngine
    from chivesaddle.standins.engine_core import EngineConfig
    from chivesaddle.standins.engine_models import LoadedModels

    config = EngineConfig(
        prefill_tokens_per_s=prefill_tokens_per_s,
        decode_tokens_per_s=decode_tokens_per_s,
        max_running=max_running,
        max_queued=max_queued,
        cache_blocks=cache_blocks,
        events_lag_s=events_lag_s,
        load_lag_s=load_lag_s,
        retention_s=retention_s,
    )
    models = LoadedModels.from_config(model, checks_fence)
    serve(
        port,
        exit_with_parent,
        lambda clock: FakeEngine(
            clock, config, models, on_crash=crash, weights_url=weights_url
        ),
    )


@app.command()
def store(
    port: Port,
    memory_bytes: Annotated[
        int, typer.Option(help="Capacity of the memory tier, bytes")
    ] = 1 << 30,
    disk_bytes: Annotated[
        int, typer.Option(help="Capacity of the disk tier, bytes")
    ] = 8 << 30,
    memory_bytes_per_s: Annotated[
        float, typer.Option(help="Bandwidth of the memory tier, bytes per second")
    ] = 2e9,
    disk_bytes_per_s: Annotated[
        float, typer.Option(help="Bandwidth of the disk tier, bytes per second")
    ] = 5e8,
    bytes_per_block: Annotated[
        int,
        typer.Option(
            help="Bytes that each block counts for capacity and transfer time"
        ),
    ] = 1 << 20,
    exit_with_parent: ExitWithParent = False,
) -> None:
    """Serve a store instance."""
    from chivesaddle.standins.store import FakeStore
    from chivesaddle.standins.store_core import StoreConfig

    config = StoreConfig(
        memory_bytes=memory_bytes,
        disk_bytes=disk_bytes,
        memory_bytes_per_s=memory_bytes_per_s,
        disk_bytes_per_s=disk_bytes_per_s,
        bytes_per_block=bytes_per_block,
    )
    serve(
        port,
        exit_with_parent,
        lambda clock: FakeStore(clock, config, on_crash=crash),
    )


@app.command()
def weights(
    port: Port,
    bytes_per_s: Annotated[
        float, typer.Option(help="Bandwidth shared by all readers, bytes per second")
    ] = 1e8,
    size: Annotated[int, typer.Option(help="Bytes of each weight version")] = 1 << 20,
    exit_with_parent: ExitWithParent = False,
) -> None:
    """Serve the weight store."""
    from chivesaddle.standins.weights import FakeWeightStore

    serve(
        port,
        exit_with_parent,
        lambda clock: FakeWeightStore(clock, bytes_per_s=bytes_per_s, size=size),
    )


@app.command()
def booking(
    port: Port,
    name: Annotated[str, typer.Option(help="Prefix of booking ids")] = "booking",
    sibling: Annotated[
        list[str],
        typer.Option(help="URL of another instance of the service; repeat for more"),
    ] = [],  # noqa: B006
    exit_with_parent: ExitWithParent = False,
) -> None:
    """Serve the booking service."""
    from chivesaddle.standins.booking import FakeBookingService

    serve(
        port, exit_with_parent, lambda clock: FakeBookingService(clock, name, sibling)
    )


if __name__ == "__main__":
    app()
