"""Commands that show, plan, confirm and end the evacuation of a zone.

They use the platform's store and the status pages of the serving daemons.
"""

import getpass
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec
import treq
import typer

from chivesaddle.cli.client import CommandError, Runtime
from chivesaddle.cli.output import OutputFormat, print_json, print_rows
from chivesaddle.cli.runner import OutputOption
from chivesaddle.core.aio import sleep_until, start, with_deadline
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import ZoneId
from chivesaddle.core.objects import (
    ObjectApi,
    ObjectNotFound,
    StoredObject,
    VersionConflict,
    WriteOutcomeUnknown,
)
from chivesaddle.core.serving_model import Evacuation, ServerEntry
from chivesaddle.fleet.members import MEMBERS_KIND, Member
from chivesaddle.placement.evacuations import EvacuationPlan, plan_evacuation
from chivesaddle.platform import (
    EVACUATIONS_KIND,
    SERVERS_KIND,
    decode_evacuation,
    decode_server,
    encode_evacuation,
)
from chivesaddle.serving.status import STATUS_PATH, DaemonStatus

STORE_TIMEOUT_S = 5.0
STATUS_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.25
# Daemons apply an entry within 5 s (`evacuation_s` in the deployments so far).
DEFAULT_WAIT_S = 10.0

StoreOption = Annotated[
    str,
    typer.Option(envvar="CHIVESADDLE_STORE", help="URL of the store: http://IP:PORT"),
]


@dataclass(frozen=True, slots=True)
class DaemonReport:
    """What became of the question for one daemon's status.

    Attributes
    ----------
    status : DaemonStatus or None
        None if the daemon did not answer.
    cause : str
        Why it did not.
    """

    daemon: str
    status: DaemonStatus | None
    cause: str = ""


class EvacuationClient:
    """Reads and writes evacuations, and asks daemons what they apply.

    Parameters
    ----------
    runtime : Runtime
        HTTP client and clock.
    store : ObjectApi
        The platform's store.
    """

    def __init__(self, runtime: Runtime, store: ObjectApi) -> None:
        self._runtime = runtime
        self._clock = runtime.clock
        self._store = store

    async def entries(self) -> dict[ZoneId, StoredObject]:
        """Return the entries by zone."""
        listing = await self._list(EVACUATIONS_KIND)
        return {ZoneId(name): item for name, item in listing.items()}

    async def servers(self) -> list[ServerEntry]:
        """Return the listed backend servers."""
        listing = await self._list(SERVERS_KIND)
        decoded = [decode_server(name, item.value) for name, item in listing.items()]
        return [server for server in decoded if server is not None]

    async def apply(self, zone: ZoneId, applied_by: str) -> tuple[StoredObject, bool]:
        """Create the entry of a zone; return it, and whether it existed before."""
        value = encode_evacuation(applied_by, round(time.time() * 1_000))
        deadline = self._clock.seconds() + STORE_TIMEOUT_S
        try:
            item = await self._store.create(
                EVACUATIONS_KIND, zone, value, deadline=deadline
            )
            return item, False
        except (VersionConflict, WriteOutcomeUnknown):
            # The store has the entry of this or another command, or none.
            item_or_none = (await self.entries()).get(zone)
            if item_or_none is None:
                raise
            return item_or_none, item_or_none.value != value

    async def end(self, zone: ZoneId) -> StoredObject:
        """Remove the entry of a zone as it is now; return it."""
        item = (await self.entries()).get(zone)
        if item is None:
            raise CommandError(f"Zone {zone} is not evacuated; nothing was changed")
        deadline = self._clock.seconds() + STORE_TIMEOUT_S
        try:
            await self._store.delete(
                EVACUATIONS_KIND, zone, version=item.version, deadline=deadline
            )
        except (ObjectNotFound, WriteOutcomeUnknown):
            if zone in await self.entries():
                raise
        return item

    async def reports(self) -> list[DaemonReport]:
        """Ask all registered daemons for their status."""
        listing = await self._list(MEMBERS_KIND)
        questions = [
            start(self._ask(name, item.value)) for name, item in sorted(listing.items())
        ]
        return [await question for question in questions]

    async def wait_until(
        self, is_met: Callable[[DaemonStatus], bool], wait_s: float
    ) -> list[DaemonReport]:
        """Ask until all daemons that answer meet a condition, or the time is over."""
        deadline = self._clock.seconds() + wait_s
        while True:
            reports = await self.reports()
            statuses = [r.status for r in reports if r.status is not None]
            if statuses and all(map(is_met, statuses)):
                return reports
            if self._clock.seconds() >= deadline:
                return reports
            await sleep_until(self._clock, self._clock.seconds() + POLL_INTERVAL_S)

    async def _list(self, kind: str) -> dict[str, StoredObject]:
        deadline = self._clock.seconds() + STORE_TIMEOUT_S
        try:
            listing = await self._store.list_objects(kind, deadline=deadline)
        except ObjectNotFound:
            return {}
        return dict(listing.items_by_name)

    async def _ask(self, name: str, registration: Any) -> DaemonReport:
        try:
            member = msgspec.convert(registration, Member)
        except msgspec.ValidationError as error:
            return DaemonReport(name, None, f"malformed registration: {error}")
        if not member.status:
            return DaemonReport(name, None, "its build has no status page")

        async def get() -> DaemonStatus:
            url = f"http://{member.status}{STATUS_PATH}"
            response = await self._runtime.http.request("GET", url)
            content = await treq.content(response)
            return msgspec.json.decode(content, type=DaemonStatus)

        deadline = self._clock.seconds() + STATUS_TIMEOUT_S
        try:
            status = await with_deadline(self._clock, deadline, start(get()), "status")
        # Any failure means that nothing is known of the daemon, and is printed.
        except Exception as error:
            return DaemonReport(name, None, str(error).rstrip(".") or repr(error))
        return DaemonReport(name, status)


def list_evacuations(
    ctx: typer.Context,
    store: StoreOption = "",
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """List all zones: evacuation entry, and what each zone still serves."""

    async def command(client: EvacuationClient) -> None:
        entries = await client.entries()
        servers = await client.servers()
        reports = await client.reports()
        zones = sorted({server.zone for server in servers} | set(entries))
        rows = [_row(zone, entries.get(zone), servers, reports) for zone in zones]
        silent = {r.daemon: r.cause for r in reports if r.status is None}
        if output is OutputFormat.JSON:
            print_json({"zones": rows, "no_answer": silent})
            return
        if rows:
            print_rows(rows[0], rows)
        _print_silent(silent)

    _run(ctx, store, command)


def evacuate(
    ctx: typer.Context,
    zone: Annotated[str, typer.Argument(help="Availability zone")],
    plan: Annotated[
        bool, typer.Option("--plan", help="Print what would change; the default")
    ] = False,
    confirm: Annotated[
        bool, typer.Option("--confirm", help="Evacuate the zone")
    ] = False,
    end: Annotated[bool, typer.Option("--end", help="Use the zone again")] = False,
    by: Annotated[
        str, typer.Option(envvar="CHIVESADDLE_OPERATOR", help="Who applies it")
    ] = "",
    wait_s: Annotated[
        float, typer.Option(help="How long to wait for the daemons, in seconds")
    ] = DEFAULT_WAIT_S,
    store: StoreOption = "",
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Plan, confirm or end the evacuation of a zone; nothing changes by default."""
    if plan + confirm + end > 1:
        raise typer.BadParameter("--plan, --confirm and --end exclude each other")
    zone_id = ZoneId(zone)

    async def command(client: EvacuationClient) -> None:
        if end:
            await _end(client, zone_id, wait_s, output)
            return
        servers = await client.servers()
        entries = await client.entries()
        planned = plan_evacuation(zone_id, servers, set(entries) - {zone_id})
        if output is OutputFormat.TABLE:
            _print_plan(planned, is_evacuated=zone_id in entries)
        if confirm:
            await _confirm(client, planned, by or getpass.getuser(), wait_s, output)
        elif output is OutputFormat.JSON:
            print_json({"plan": msgspec.to_builtins(planned)})
        else:
            print(
                f"Nothing has changed yet. Run: chivesaddle evacuate {zone} --confirm"
            )

    _run(ctx, store, command)


async def _confirm(
    client: EvacuationClient,
    planned: EvacuationPlan,
    applied_by: str,
    wait_s: float,
    output: OutputFormat,
) -> None:
    item, existed = await client.apply(planned.zone, applied_by)
    if output is OutputFormat.TABLE:
        print(
            f"Zone {planned.zone} was evacuated before, version {item.version}"
            if existed
            else f"Entry written for zone {planned.zone}, version {item.version}"
        )

    def is_applied(status: DaemonStatus) -> bool:
        applied = (status.evacuations or {}).get(planned.zone)
        return applied is not None and applied.version >= item.version

    reports = await client.wait_until(is_applied, wait_s)
    _print_outcome(
        {"plan": msgspec.to_builtins(planned), "version": item.version},
        reports,
        is_applied,
        ("Applied by", "NOT applied by"),
        output,
    )


async def _end(
    client: EvacuationClient, zone: ZoneId, wait_s: float, output: OutputFormat
) -> None:
    item = await client.end(zone)
    if output is OutputFormat.TABLE:
        print(f"Entry of zone {zone} removed, version {item.version}")

    def is_ended(status: DaemonStatus) -> bool:
        return zone not in (status.evacuations or {})

    reports = await client.wait_until(is_ended, wait_s)
    _print_outcome(
        {"zone": zone, "version": item.version},
        reports,
        is_ended,
        ("Ended by", "NOT ended by"),
        output,
    )


def _print_outcome(
    result: dict[str, Any],
    reports: Sequence[DaemonReport],
    is_met: Callable[[DaemonStatus], bool],
    labels: tuple[str, str],
    output: OutputFormat,
) -> None:
    """Print which daemons follow; raises `CommandError` if one is known not to."""
    answers = {r.daemon: r.status for r in reports if r.status is not None}
    silent = {r.daemon: r.cause for r in reports if r.status is None}
    met = [daemon for daemon, status in answers.items() if is_met(status)]
    not_met = [daemon for daemon in answers if daemon not in met]
    if output is OutputFormat.JSON:
        print_json({**result, "done": met, "not_done": not_met, "no_answer": silent})
    else:
        for label, daemons in zip(labels, (met, not_met), strict=True):
            if daemons:
                print(f"{label}: {', '.join(daemons)}")
        _print_silent(silent)
    if not_met:
        raise CommandError(
            f"{len(not_met)} of {len(answers)} daemons that answered do not follow",
            remedy="Run chivesaddle evacuations, and read the logs of these daemons",
        )
    if not answers:
        raise CommandError(
            "No daemon answered, so it is not known whether any follows",
            remedy="Run the command where the daemons' metrics addresses are reached",
        )


def _print_plan(planned: EvacuationPlan, *, is_evacuated: bool) -> None:
    print(f"Evacuation of zone {planned.zone}")
    if is_evacuated:
        print("The zone is evacuated already.")
    print("Changes:")
    for service, servers in planned.servers_by_service.items():
        left = planned.servers_left_by_service.get(service, 0)
        print(
            f"  {service}: no new requests to {', '.join(servers)}; "
            f"{left} ready servers left"
        )
    if not planned.servers_by_service:
        print("  none: the zone has no ready server; check its name")
    if planned.lost_services or planned.lost_models:
        print("WARNING: requests will be REFUSED while the zone is evacuated:")
        for service in planned.lost_services:
            print(f"  service {service} has no server left")
        for service, model in planned.lost_models:
            print(f"  service {service} has no server left with model {model}")


def _print_silent(silent: dict[str, str]) -> None:
    for daemon, cause in silent.items():
        print(f"No answer from {daemon}, not known what it applies: {cause}")


def _row(
    zone: ZoneId,
    item: StoredObject | None,
    servers: Sequence[ServerEntry],
    reports: Sequence[DaemonReport],
) -> dict[str, Any]:
    statuses = [r.status for r in reports if r.status is not None]
    applying = sum(zone in (status.evacuations or {}) for status in statuses)
    row: dict[str, Any] = {
        "zone": zone,
        "entry": "no",
        "age_s": "",
        "version": "",
        "applied_by": "",
        "daemons": f"{applying} of {len(statuses)}",
        "servers": sum(server.zone == zone for server in servers),
        "in_flight": sum(s.in_flight_by_zone.get(zone, 0) for s in statuses),
    }
    if item is not None:
        evacuation: Evacuation = decode_evacuation(zone, item.value)
        row["entry"] = "yes" if evacuation.has_valid_value else "yes, invalid value"
        row["version"] = item.version
        row["applied_by"] = evacuation.applied_by or "unknown"
        row["age_s"] = (
            "unknown"
            if evacuation.applied_ms is None
            else round(time.time() - evacuation.applied_ms / 1_000)
        )
    return row


def _run(ctx: typer.Context, store: str, command: Any) -> None:
    def make(runtime: Runtime) -> Any:
        if not store:
            raise CommandError(
                "No URL of the store is given",
                remedy="Pass --store or set CHIVESADDLE_STORE",
            )
        return _with_store_errors(
            command(EvacuationClient(runtime, runtime.open_store(store)))
        )

    ctx.obj.run_with_runtime(make)


async def _with_store_errors(command: Any) -> None:
    try:
        await command
    except WriteOutcomeUnknown as error:
        raise CommandError(
            f"It is not known whether the store was changed: {error.message}",
            remedy="Run chivesaddle evacuations, then repeat the command",
        ) from error
    except VersionConflict as error:
        raise CommandError(
            f"The entry was changed at the same time: {error.message}",
            remedy="Run chivesaddle evacuations, then decide again",
        ) from error
    except CommandError:
        raise
    except ChivesaddleError as error:
        raise CommandError(f"The store cannot be used: {error.message}") from error


__all__ = ["evacuate", "list_evacuations"]
