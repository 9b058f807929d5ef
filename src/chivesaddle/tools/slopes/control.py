"""Measurements of the control plane; each runs in its own process."""

import time
from collections.abc import Callable
from typing import Any

from twisted.internet.task import Clock

from chivesaddle.configuration import ActiveConfig
from chivesaddle.configuration.operations import parse_intent
from chivesaddle.configuration.plan import Change
from chivesaddle.core.aio import start
from chivesaddle.core.ids import (
    AccountId,
    BackendServerId,
    BlockKey,
    ChangeId,
    DaemonId,
    Revision,
)
from chivesaddle.daemon.adapters import RouterSink
from chivesaddle.engines import EnginePoller
from chivesaddle.orders import OrdersTask
from chivesaddle.routing import Router
from chivesaddle.tools.slopes.fleet import ControlPlaneFleet
from chivesaddle.tools.slopes.memory import resident_kb
from chivesaddle.tools.slopes.state import config_state

# For the first 30 s after the daemons start, exchanges also contain their addresses.
# Measurements start after that, in the steady state.
SETTLE_S = 35.0
# A multiple of 4 s, the interval at which daemons send the demand of accounts.
MEASUREMENT_S = 12.0
CHANGES_MEASUREMENT_S = 40.0
REPEATS = 9
BLOCKS_PER_PROMPT = 8
POLLED_SERVERS = 50

Measurements = dict[str, float]


def cpu_ms(work: Callable[[], Any]) -> float:
    """Return the processor time of ``work`` in ms."""
    started_at = time.process_time()
    work()
    return (time.process_time() - started_at) * 1e3


class _Components:
    """Components of a daemon that use the configuration, without I/O."""

    def __init__(self, servers: int, accounts: int) -> None:
        self.clock = Clock()
        self.active_config = ActiveConfig()
        self.router = Router(DaemonId("daemon-1"), seed=1)
        self.orders = OrdersTask("zone-0", None, None, self.clock, None)  # type: ignore[arg-type]
        self.poller = EnginePoller(None, self.clock, RouterSink(self.router))  # type: ignore[arg-type]
        self.active_config.add_listener(self.router.update_config)
        self.active_config.add_listener(self.orders.update_config)
        self.active_config.replace(config_state(servers, accounts))

    def apply_change(self) -> None:
        """Apply a configuration change with one account."""
        state = self.active_config.state
        intent = {"operations": [{"kind": "put_account", "id": "changed"}]}
        operations = parse_intent(intent).operations
        parent = state.revision
        revision = Revision(parent + 1)
        change = Change(
            ChangeId(f"c{revision}"), parent, revision, operations, "", "op"
        )
        self.active_config.apply(change)

    def run_periodic_work(self) -> None:
        """Do the periodic work of one second."""
        self.clock.advance(1.0)
        now = self.clock.seconds()
        demand = self.router.own_demand(now)
        others = dict.fromkeys(self.active_config.state.accounts_by_id, 10.0)
        # The demand is shared among 500 daemons.
        self.router.update_demand(demand | others, 500, now)


def _measure_configuration(servers: int, accounts: int) -> Measurements:
    # The first use of the models has one-off costs, which are not to be measured.
    _Components(10, 10)
    before_kb = resident_kb()
    components = _Components(servers, accounts)
    components.apply_change()
    memory_kb = resident_kb() - before_kb
    apply_ms = [cpu_ms(components.apply_change) for _ in range(REPEATS)]
    upkeep_ms = [cpu_ms(components.run_periodic_work) for _ in range(REPEATS)]
    return {
        "memory": memory_kb,
        "apply": sorted(apply_ms)[REPEATS // 2],
        "upkeep": sorted(upkeep_ms)[REPEATS // 2],
    }


def measure_configured_servers(servers: float) -> Measurements:
    """Measure the cost of configured backend servers."""
    return _measure_configuration(int(servers), 10)


def measure_accounts(count: float) -> Measurements:
    """Measure the cost of accounts with demand."""
    return _measure_configuration(10, int(count))


def measure_reported_prompts(count: float) -> Measurements:
    """Measure the cost of the prompt blocks that engines report as cached."""
    components = _Components(POLLED_SERVERS, 10)
    reported = [
        (
            BackendServerId(f"server-{n % POLLED_SERVERS}"),
            frozenset(
                BlockKey(f"{n * BLOCKS_PER_PROMPT + b:032x}")
                for b in range(BLOCKS_PER_PROMPT)
            ),
        )
        for n in range(int(count))
    ]
    before_kb = resident_kb()

    def report() -> None:
        for server_id, keys in reported:
            components.router.update_blocks(server_id, keys, frozenset())

    spent_ms = cpu_ms(report)
    return {"memory": resident_kb() - before_kb, "cpu": spent_ms}


def measure_fleet(daemons: int, zones: int) -> Measurements:
    """Measure the cost per daemon and the platform calls of an idle fleet."""
    # The first fleet has one-off costs, which are not to be measured.
    ControlPlaneFleet(3, 3).advance(2)
    before_kb = resident_kb()
    fleet = ControlPlaneFleet(daemons, zones)

    fleet.advance(SETTLE_S)
    memory_kb = (resident_kb() - before_kb) / daemons
    return {"memory": memory_kb} | _measure_interval(fleet, MEASUREMENT_S)


def _measure_interval(
    fleet: ControlPlaneFleet, seconds: float, step: Callable[[], Any] | None = None
) -> Measurements:
    platform_calls_before, calls_before = (
        dict(fleet.api.calls),
        dict(fleet.network.calls),
    )
    platform_bytes_before = fleet.api.body_bytes
    bytes_before = {daemon.id: daemon.traffic.total_bytes for daemon in fleet.daemons}

    def run() -> None:
        for _ in range(round(seconds)):
            if step is not None:
                step()
            fleet.advance(1)

    spent_ms = cpu_ms(run)

    def platform_rate(*methods: str) -> float:
        new_calls = (
            fleet.api.calls[m] - platform_calls_before.get(m, 0) for m in methods
        )
        return sum(new_calls) / seconds

    bytes_per_s_by_id = {
        daemon.id: (daemon.traffic.total_bytes - bytes_before[daemon.id]) / seconds
        for daemon in fleet.daemons
    }
    size = len(fleet.daemons)
    exchanges = fleet.network.calls["Exchange"] - calls_before.get("Exchange", 0)
    return {
        "cpu": spent_ms / seconds / size,
        "peer_bytes": sum(bytes_per_s_by_id.values()) / size,
        "reader_bytes": max(
            (bytes_per_s_by_id[d.id] for d in fleet.zone_readers()), default=0.0
        ),
        "exchanges": exchanges / seconds / size,
        "platform_reads": platform_rate("get", "list"),
        "platform_watches": platform_rate("watch"),
        "platform_writes": platform_rate("create", "update", "delete"),
        "platform_bytes": (fleet.api.body_bytes - platform_bytes_before) / seconds,
    }


def measure_daemons(count: float) -> Measurements:
    """Measure an idle fleet in 3 zones."""
    return measure_fleet(int(count), 3)


def measure_zones(count: float) -> Measurements:
    """Measure an idle fleet of 54 daemons."""
    return measure_fleet(54, int(count))


def measure_changes(per_s: float) -> Measurements:
    """Measure the cost of configuration changes in a fleet of 9 daemons."""
    fleet = ControlPlaneFleet(9, 3)
    fleet.advance(SETTLE_S)
    config_service = fleet.daemons[0].config
    pending_changes = 0.0

    async def change() -> None:
        intent = {"operations": [{"kind": "put_account", "id": AccountId("a")}]}
        plan = await config_service.plan(intent, "operator")
        await config_service.confirm(plan.change.id, "operator")

    def step() -> None:
        nonlocal pending_changes
        pending_changes += per_s
        if pending_changes >= 1:
            pending_changes -= 1
            start(change()).addErrback(lambda failure: failure.raiseException())

    revision_before = config_service.active_config.revision
    measurements = _measure_interval(fleet, CHANGES_MEASUREMENT_S, step)
    fleet.advance(SETTLE_S)
    applied = (
        min(daemon.config.active_config.revision for daemon in fleet.daemons)
        - revision_before
    )
    if applied < per_s * CHANGES_MEASUREMENT_S:
        raise RuntimeError(f"Only {applied} configuration changes reached every daemon")
    reported = {"cpu", "peer_bytes"}
    return {k: v for k, v in measurements.items() if k in reported or "platform" in k}


__all__ = [
    "cpu_ms",
    "measure_accounts",
    "measure_changes",
    "measure_configured_servers",
    "measure_daemons",
    "measure_reported_prompts",
    "measure_zones",
]
