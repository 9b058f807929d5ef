"""Points of the control experiments; each runs in a process of its own."""

import time
from collections.abc import Callable
from typing import Any

from twisted.internet.task import Clock

from chivesaddle.configuration import ConfigHolder
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
from chivesaddle.tools.slopes.fleet import ControlFleet
from chivesaddle.tools.slopes.memory import resident_kb
from chivesaddle.tools.slopes.state import config_state

# Addresses are part of the messages for the first 30 s.
SETTLE_S = 35.0
# The report of an account's demand is sent every 4 s.
MEASURED_S = 12.0
CHANGES_S = 40.0
REPEATS = 9
BLOCKS_A_PROMPT = 8
POLLED_SERVERS = 50

Figures = dict[str, float]


def cpu_ms(work: Callable[[], Any]) -> float:
    """Return the processor time of ``work`` in ms."""
    begin = time.process_time()
    work()
    return (time.process_time() - begin) * 1e3


class _Decisions:
    """The slices of a daemon that hold the configuration, without I/O."""

    def __init__(self, servers: int, accounts: int) -> None:
        self.clock = Clock()
        self.holder = ConfigHolder()
        self.router = Router(DaemonId("daemon-1"), seed=1)
        self.orders = OrdersTask("zone-0", None, None, self.clock, None)  # type: ignore[arg-type]
        self.poller = EnginePoller(None, self.clock, RouterSink(self.router))  # type: ignore[arg-type]
        self.holder.add_listener(self.router.update_config)
        self.holder.add_listener(self.orders.update_config)
        self.holder.replace(config_state(servers, accounts))

    def apply_change(self) -> None:
        """Apply one change of an account."""
        state = self.holder.state
        intent = {"operations": [{"kind": "put_account", "id": "changed"}]}
        operations = parse_intent(intent).operations
        parent = state.revision
        revision = Revision(parent + 1)
        change = Change(
            ChangeId(f"c{revision}"), parent, revision, operations, "", "op"
        )
        self.holder.apply(change)

    def keep_up(self) -> None:
        """Do what a daemon does each second."""
        self.clock.advance(1.0)
        now = self.clock.seconds()
        demand = self.router.own_demand(now)
        others = dict.fromkeys(self.holder.state.accounts_by_id, 10.0)
        self.router.update_demand(demand | others, 500, now)


def _decisions_figures(servers: int, accounts: int) -> Figures:
    _Decisions(10, 10)  # One-off costs of the first use of the models.
    before = resident_kb()
    decisions = _Decisions(servers, accounts)
    decisions.apply_change()
    memory = resident_kb() - before
    changes = [cpu_ms(decisions.apply_change) for _ in range(REPEATS)]
    upkeep = [cpu_ms(decisions.keep_up) for _ in range(REPEATS)]
    return {
        "memory": memory,
        "apply": sorted(changes)[REPEATS // 2],
        "upkeep": sorted(upkeep)[REPEATS // 2],
    }


def configured(servers: float) -> Figures:
    """Cost of configured backend servers."""
    return _decisions_figures(int(servers), 10)


def accounts(number: float) -> Figures:
    """Cost of accounts."""
    return _decisions_figures(10, int(number))


def prompts(number: float) -> Figures:
    """Cost of the blocks of prompts that engines report as cached."""
    decisions = _Decisions(POLLED_SERVERS, 10)
    reported = [
        (
            BackendServerId(f"server-{n % POLLED_SERVERS}"),
            frozenset(
                BlockKey(f"{n * BLOCKS_A_PROMPT + b:032x}")
                for b in range(BLOCKS_A_PROMPT)
            ),
        )
        for n in range(int(number))
    ]
    before = resident_kb()

    def report() -> None:
        for server_id, keys in reported:
            decisions.router.update_blocks(server_id, keys, frozenset())

    spent = cpu_ms(report)
    return {"memory": resident_kb() - before, "cpu": spent}


def fleet_figures(daemons: int, zones: int) -> Figures:
    """Cost per daemon and platform calls of an idle fleet."""
    ControlFleet(3, 3).advance(2)
    before = resident_kb()
    fleet = ControlFleet(daemons, zones)

    fleet.advance(SETTLE_S)
    memory = (resident_kb() - before) / daemons
    return {"memory": memory} | _measured(fleet, MEASURED_S)


def _measured(
    fleet: ControlFleet, seconds: float, step: Callable[[], Any] | None = None
) -> Figures:
    platform_calls, calls = dict(fleet.api.calls), dict(fleet.network.calls)
    platform_bytes = fleet.api.body_bytes
    bytes_before = {part.id: part.traffic.total_bytes for part in fleet.parts}

    def run() -> None:
        for _ in range(round(seconds)):
            if step is not None:
                step()
            fleet.advance(1)

    spent = cpu_ms(run)

    def platform_rate(*methods: str) -> float:
        new = (fleet.api.calls[m] - platform_calls.get(m, 0) for m in methods)
        return sum(new) / seconds

    rates = {
        part.id: (part.traffic.total_bytes - bytes_before[part.id]) / seconds
        for part in fleet.parts
    }
    size = len(fleet.parts)
    exchanges = fleet.network.calls["Exchange"] - calls.get("Exchange", 0)
    return {
        "cpu": spent / seconds / size,
        "peer_bytes": sum(rates.values()) / size,
        "reader_bytes": max((rates[p.id] for p in fleet.readers()), default=0.0),
        "exchanges": exchanges / seconds / size,
        "platform_reads": platform_rate("get", "list"),
        "platform_watches": platform_rate("watch"),
        "platform_writes": platform_rate("create", "update", "delete"),
        "platform_bytes": (fleet.api.body_bytes - platform_bytes) / seconds,
    }


def daemons(number: float) -> Figures:
    """Cost of an idle fleet in 3 zones."""
    return fleet_figures(int(number), 3)


def zones(number: float) -> Figures:
    """Cost of an idle fleet of 54 daemons."""
    return fleet_figures(54, int(number))


def changes(per_s: float) -> Figures:
    """Cost of configuration changes in a fleet of 9 daemons."""
    fleet = ControlFleet(9, 3)
    fleet.advance(SETTLE_S)
    operator = fleet.parts[0].config
    due = 0.0

    async def change() -> None:
        intent = {"operations": [{"kind": "put_account", "id": AccountId("a")}]}
        plan = await operator.plan(intent, "operator")
        await operator.confirm(plan.change.id, "operator")

    def step() -> None:
        nonlocal due
        due += per_s
        if due >= 1:
            due -= 1
            start(change()).addErrback(lambda failure: failure.raiseException())

    before = operator.holder.revision
    figures = _measured(fleet, CHANGES_S, step)
    fleet.advance(SETTLE_S)
    applied = min(part.config.holder.revision for part in fleet.parts) - before
    if applied < per_s * CHANGES_S:
        raise RuntimeError(f"Only {applied} changes are in force everywhere")
    wanted = {"cpu", "peer_bytes"}
    return {k: v for k, v in figures.items() if k in wanted or "platform" in k}


__all__ = [
    "accounts",
    "changes",
    "configured",
    "cpu_ms",
    "daemons",
    "prompts",
    "zones",
]
