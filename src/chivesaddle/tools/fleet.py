"""Starts daemons and fakes of the external systems on loopback.

Zones, instances and accounts are those of the Kursuskoda deployment.
``python -m chivesaddle.tools.fleet`` starts the fleet, writes ``build/fleet.json`` and
stops the fleet on SIGINT or SIGTERM.
"""

import json
import secrets
import signal
import time
import types
from pathlib import Path
from typing import Annotated, Any

import httpx
import typer

from chivesaddle.tools import kursuskoda as layout
from chivesaddle.tools.operations import (
    apply_operations,
    booking_urls,
    checks_fence,
    initial_operations,
    key_digest,
)
from chivesaddle.tools.ports import free_ports
from chivesaddle.tools.processes import (
    HTTP_CLIENT,
    Processes,
    ProcessSpec,
    ToolError,
    wait_until,
)

DAEMON_MODULE = "chivesaddle.daemon.main"
STANDINS_MODULE = "chivesaddle.standins"
# A stopping daemon serves until the last address list that names it has expired (10 s).
DAEMON_STOP_TIMEOUT_S = 20.0
STANDIN_STOP_TIMEOUT_S = 5.0
CONFIGURATION_TIMEOUT_S = 30.0
MAX_RUN_S = 4 * 3_600.0


class Fleet:
    """Processes of one deployment; a context manager that starts and stops them.

    Parameters
    ----------
    build_dir : pathlib.Path
        Directory for settings, logs and ``fleet.json``.
    daemons : int
        Number of daemons; 0 starts the fakes only.
    speeds : Speeds
        Simulated speeds of the fakes.

    Attributes
    ----------
    urls_by_name : dict
        Base URLs of the fakes.
    callers, operators : list of str
        Base URLs of the daemons' client API and operators' API, by daemon number.
    keys_by_account : dict
        Bearer key of each account.
    operator_key, viewer_key : str
        Bearer keys for the operators' API.
    """

    def __init__(
        self,
        build_dir: Path = Path("build"),
        *,
        daemons: int = 3,
        speeds: layout.Speeds | None = None,
    ) -> None:
        self._build_dir = build_dir
        self._speeds = speeds or layout.Speeds()
        self._processes = Processes(build_dir / "logs")
        self._daemon_count = daemons
        self._zones_by_name: dict[str, str] = {}
        self._instances_by_name: dict[str, dict[str, Any]] = {}
        self._revisions_by_instance: dict[str, int] = {}
        self._standin_names: list[str] = []
        self._daemon_names: list[str] = []
        self.urls_by_name: dict[str, str] = {}
        self.callers: list[str] = []
        self.operators: list[str] = []
        self.operator_key = secrets.token_urlsafe(24)
        self.viewer_key = secrets.token_urlsafe(24)
        self.keys_by_account = {
            name: secrets.token_urlsafe(24)
            for name in layout.FAIR_SHARE_WEIGHTS_BY_ACCOUNT
        }

    def __enter__(self) -> "Fleet":
        self.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self.stop()

    @property
    def pids(self) -> dict[str, int]:
        """Process ids of the running processes, by name."""
        return self._processes.pids

    def start(self) -> None:
        """Start and configure all processes; stop them again if that fails.

        Raises
        ------
        ToolError
            If a process does not become healthy, or the configuration is rejected.
        """
        try:
            self._start_standins()
            if self._daemon_count:
                self._start_daemons()
                self._configure()
            self._write_description()
        except BaseException:
            self.stop()
            raise

    def stop(self) -> None:
        """Stop the processes that this fleet started, daemons first."""
        self._processes.stop(self._daemon_names, DAEMON_STOP_TIMEOUT_S)
        self._processes.stop(self._standin_names, STANDIN_STOP_TIMEOUT_S)

    def kill(self, name: str) -> None:
        """Kill a process."""
        self._processes.kill(name)

    def terminate(self, name: str) -> None:
        """Ask a process to shut down gracefully, without waiting."""
        self._processes.terminate(name)

    def wait_for_exit(self, name: str, timeout_s: float) -> int | None:
        """Wait until a process exits; return its status, or None if it still runs."""
        return self._processes.wait_for_exit(name, timeout_s)

    def pause(self, name: str) -> None:
        """Suspend a process until `resume`."""
        self._processes.pause(name)

    def resume(self, name: str) -> None:
        """Continue a suspended process."""
        self._processes.resume(name)

    def restart(self, name: str) -> None:
        """Kill a process if it runs and start it again on the same ports."""
        self._processes.restart(name)
        self._write_description()

    def set_faults(self, name: str, **switches: Any) -> None:
        """Replace the injected faults of a fake; without arguments, clear all."""
        url = f"{self.urls_by_name[name]}/control/faults"
        HTTP_CLIENT.put(url, json=switches).raise_for_status()

    def counters(self, name: str) -> dict[str, int]:
        """Return the counters of a fake."""
        url = f"{self.urls_by_name[name]}/control/counters"
        return HTTP_CLIENT.get(url).raise_for_status().json()

    def set_instance_state(self, name: str, state: str) -> None:
        """Set an instance's state in the platform's list to ``live`` or ``leaving``."""
        value = {**self._instances_by_name[name], "state": state}
        metadata = {"name": name, "revision": self._revisions_by_instance[name]}
        response = HTTP_CLIENT.put(
            f"{self._instances_url()}/{name}",
            json={"metadata": metadata, "specification": value},
        )
        self._record_instance(name, value, response)

    def remove_instance(self, name: str) -> None:
        """Remove an instance from the platform's list."""
        revision = self._revisions_by_instance.pop(name)
        HTTP_CLIENT.delete(
            f"{self._instances_url()}/{name}", params={"revision": revision}
        ).raise_for_status()

    def describe(self) -> dict[str, Any]:
        """Return the content of ``fleet.json``."""
        return {
            "callers": self.callers,
            "operators": self.operators,
            "accounts": self.keys_by_account,
            "operator_key": self.operator_key,
            "viewer_key": self.viewer_key,
            "models": {layout.MODEL: layout.WEIGHT_VERSION},
            "services": {
                layout.SERVICE: {
                    "urls": booking_urls(self.urls_by_name),
                    "operations": layout.REPEATABLE_BY_OPERATION,
                }
            },
            "pids": self.pids,
            "zones": self._zones_by_name,
            "standins": self.urls_by_name,
        }

    def _start_standins(self) -> None:
        roles = self._standin_roles()
        for name, port in zip(roles, free_ports(len(roles)), strict=True):
            self.urls_by_name[name] = f"http://127.0.0.1:{port}"
        self._standin_names = list(roles)
        self._processes.start(
            ProcessSpec(
                name,
                STANDINS_MODULE,
                (
                    role,
                    "--port",
                    self.urls_by_name[name].rpartition(":")[2],
                    "--exit-with-parent",
                    *arguments,
                    *self._url_options(name),
                ),
                f"{self.urls_by_name[name]}/control/counters",
            )
            for name, (role, *arguments) in roles.items()
        )
        for name_prefix, zones, role in (
            ("engine", layout.ENGINE_ZONES, "backend_server"),
            ("store", layout.STORE_ZONES, "store"),
        ):
            for n, zone in enumerate(zones, 1):
                name = f"{name_prefix}-{n}"
                self._register(name, role, zone, url=self.urls_by_name[name])
        for n, zone in enumerate(layout.BOOKING_ZONES, 1):
            self._zones_by_name[f"booking-{n}"] = zone

    def _standin_roles(self) -> dict[str, tuple[str, ...]]:
        speeds = self._speeds
        engine = (
            "engine",
            "--model",
            f"{layout.MODEL}:{layout.WEIGHT_VERSION}:{layout.ADAPTER}",
            f"--prefill-tokens-per-s={speeds.prefill_tokens_per_s}",
            f"--decode-tokens-per-s={speeds.decode_tokens_per_s}",
        )
        store = (
            "store",
            f"--memory-bytes-per-s={speeds.memory_bytes_per_s}",
            f"--disk-bytes-per-s={speeds.disk_bytes_per_s}",
            f"--bytes-per-block={speeds.bytes_per_block}",
        )
        roles: dict[str, tuple[str, ...]] = {
            "object-api": (
                "object-api",
                f"--instances-lag-s={speeds.instances_lag_s}",
            ),
            "weights": ("weights",),
        }
        for n in range(1, len(layout.ENGINE_ZONES) + 1):
            fence = ("--checks-fence",) if checks_fence(n) else ()
            roles[f"engine-{n}"] = engine + fence
        for n in range(1, len(layout.STORE_ZONES) + 1):
            roles[f"store-{n}"] = store
        for n in range(1, len(layout.BOOKING_ZONES) + 1):
            roles[f"booking-{n}"] = ("booking", f"--name=booking-{n}")
        return roles

    def _url_options(self, name: str) -> tuple[str, ...]:
        if name.startswith("engine-"):
            return (f"--weights-url={self.urls_by_name['weights']}",)
        if not name.startswith("booking-"):
            return ()
        sibling_urls = set(booking_urls(self.urls_by_name)) - {self.urls_by_name[name]}
        return tuple(f"--sibling={url}" for url in sorted(sibling_urls))

    def _start_daemons(self) -> None:
        ports = iter(free_ports(3 * self._daemon_count))
        specs = []
        for n in range(1, self._daemon_count + 1):
            name = f"daemon-{n}"
            zone = layout.ZONES[(n - 1) % len(layout.ZONES)]
            settings = self._settings(name, zone, next(ports), next(ports), next(ports))
            path = self._build_dir / f"{name}.json"
            path.write_text(json.dumps(settings, indent=2))
            caller_url = settings["caller_url"]
            operator_url = f"http://127.0.0.1:{settings['operators']['port']}"
            self._register(
                name,
                "daemon",
                zone,
                caller_url=caller_url,
                operator_url=operator_url,
                peer_address=f"127.0.0.1:{settings['peers']['port']}",
            )
            self.callers.append(caller_url)
            self.operators.append(operator_url)
            self._daemon_names.append(name)
            specs.append(
                ProcessSpec(
                    name,
                    DAEMON_MODULE,
                    ("--config", str(path.resolve())),
                    f"{caller_url}/healthz",
                )
            )
        self._processes.start(specs)

    def _settings(
        self, name: str, zone: str, caller_port: int, operator_port: int, peer_port: int
    ) -> dict[str, Any]:
        keys = (("operator", self.operator_key), ("viewer", self.viewer_key))
        return {
            "daemon_id": name,
            "zone": zone,
            "region": layout.REGION,
            "callers": {"port": caller_port},
            "operators": {"port": operator_port},
            "peers": {"port": peer_port},
            "caller_url": f"http://127.0.0.1:{caller_port}",
            "platform_url": self.urls_by_name["object-api"],
            "operator_keys": [
                {"name": f"fleet-{role}", "role": role, "key_sha256": key_digest(key)}
                for role, key in keys
            ],
        }

    def _configure(self) -> None:
        operations = initial_operations(self.keys_by_account, self.urls_by_name)
        apply_operations(
            self.operators[0], self.operator_key, operations, "first configuration"
        )
        if not wait_until(self._is_configured, CONFIGURATION_TIMEOUT_S):
            raise ToolError(
                f"the configuration is not active on every daemon after "
                f"{CONFIGURATION_TIMEOUT_S:g} s"
            )

    def _is_configured(self) -> bool:
        key = next(iter(self.keys_by_account.values()))
        headers = {"Authorization": f"Bearer {key}"}
        for url in self.callers:
            try:
                response = HTTP_CLIENT.get(
                    f"{url}/v1/models", headers=headers, timeout=5.0
                )
            except httpx.HTTPError:
                return False
            if response.status_code != 200 or layout.MODEL not in response.text:
                return False
        return True

    def _register(self, name: str, role: str, zone: str, **addresses: str) -> None:
        value = {
            "role": role,
            "zone": zone,
            "region": layout.REGION,
            "caller_url": "",
            "operator_url": "",
            "peer_address": "",
            "url": "",
            **addresses,
            "state": "live",
        }
        response = HTTP_CLIENT.post(
            self._instances_url(),
            json={"metadata": {"name": name}, "specification": value},
        )
        self._record_instance(name, value, response)
        self._zones_by_name[name] = zone

    def _record_instance(self, name: str, value: dict[str, Any], response: Any) -> None:
        metadata = response.raise_for_status().json()["metadata"]
        self._instances_by_name[name] = value
        # The list is read with a lag, so the latest revisions are taken from writes.
        self._revisions_by_instance[name] = metadata["revision"]

    def _instances_url(self) -> str:
        return f"{self.urls_by_name['object-api']}/objects/instances"

    def _write_description(self) -> None:
        text = json.dumps(self.describe(), indent=2)
        (self._build_dir / "fleet.json").write_text(text)


def stop_on_signals() -> None:
    """Raise KeyboardInterrupt on the first SIGINT or SIGTERM and ignore further ones.

    A second signal would interrupt the shutdown of the child processes.
    """
    signals = (signal.SIGINT, signal.SIGTERM)

    def interrupt(*_: Any) -> None:
        for handled in signals:
            signal.signal(handled, signal.SIG_IGN)
        raise KeyboardInterrupt

    for handled in signals:
        signal.signal(handled, interrupt)


def main(
    daemons: Annotated[
        int, typer.Option(help="Number of daemons; 0 starts the fakes only", min=0)
    ] = 3,
    build_dir: Annotated[
        Path, typer.Option(help="Directory for settings, logs and fleet.json")
    ] = Path("build"),
    max_run_s: Annotated[
        float, typer.Option(help="Seconds after which the fleet stops by itself")
    ] = MAX_RUN_S,
) -> None:
    """Start a fleet on loopback and run it until SIGINT or SIGTERM."""
    stop_on_signals()
    try:
        with Fleet(build_dir, daemons=daemons):
            typer.echo(f"ready: {build_dir / 'fleet.json'}")
            time.sleep(max_run_s)
    except KeyboardInterrupt:
        typer.echo("stopped")
    except ToolError as error:
        typer.echo(f"fleet: {error}", err=True)
        raise typer.Exit(1) from None


if __name__ == "__main__":
    typer.run(main)


__all__ = ["Fleet", "stop_on_signals"]
