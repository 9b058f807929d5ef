"""Settings of the serving daemon, read from a JSON file."""

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from chivesaddle.core.errors import ChivesaddleError

Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Name = Annotated[str, Meta(min_length=1)]
Positive = Annotated[float, Meta(gt=0)]
# Traffic of requests with long prompts that keeps one core busy, in each direction.
LINK_MBIT_S_PER_CORE = 20.0


class SettingsError(ChivesaddleError):
    """The settings file is missing, is not JSON, or has an invalid value."""

    code = "invalid_settings"


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses to listen on, each ``ip:port``.

    Attributes
    ----------
    callers : str
        Callers' requests.
    readiness : str
        The platform's readiness checks.
    peers : str
        Exchanges with other daemons (TCP) and beacons (UDP).
    addresses : str
        Callers' requests for daemon addresses.
    metrics : str
        Metrics in the Prometheus text format.
    """

    callers: Address
    readiness: Address
    peers: Address
    addresses: Address
    metrics: Address


class Store(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's store.

    Attributes
    ----------
    address : str
        ``ip:port``.
    max_value_bytes : int
        Size limit of one object.
    """

    address: Address
    max_value_bytes: Annotated[int, Meta(ge=1_024)] = 1_048_576


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits that the operators set for this deployment.

    Attributes
    ----------
    retry_ratio : float
        Retries allowed per request, over all daemons.
    retry_slack : float
        Retries allowed in addition, over all daemons.
    retry_window_s : float
        Length of the window over which requests and retries are counted.
    older_weights_s : float
        Seconds after a new target weight version was set until no request may start on
        an older one any more.
    shutdown_s : float
        Seconds between SIGTERM and SIGKILL.
    address_valid_most_s : float
        Longest time for which callers may cache an address response.
    evacuation_s : float or None
        Seconds after the store acknowledged the evacuation of a zone until no request
        may be sent to its servers any more; None if zones are never evacuated.
    """

    retry_ratio: Annotated[float, Meta(ge=0)]
    retry_slack: Annotated[float, Meta(ge=0)]
    retry_window_s: Positive
    older_weights_s: Positive
    shutdown_s: Positive
    address_valid_most_s: Positive
    evacuation_s: Positive | None = None


class InstanceCapacity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Size of this daemon's instance, by which callers are spread over the fleet.

    Attributes
    ----------
    cpu_share : float
        Share of one core that the daemon may use.
    cpu_speed : float
        Speed of that core, relative to a standard one.
    link_mbit_s : float
        Rate of the instance's network link, in Mbit/s.
    """

    cpu_share: Positive = 1.0
    cpu_speed: Positive = 1.0
    link_mbit_s: Positive = 1_000.0

    @property
    def cores(self) -> float:
        """Work that the instance can take, in cores, as its link also allows.

        A core forwards about `LINK_MBIT_S_PER_CORE` of requests with long prompts.
        """
        return min(
            self.cpu_share * self.cpu_speed, self.link_mbit_s / LINK_MBIT_S_PER_CORE
        )


class ServingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one daemon.

    Attributes
    ----------
    daemon_id : str
        Id of this daemon, unique in the fleet.
    zone : str
        Availability zone of this instance.
    seeds : list of str
        Peer addresses to call while no other daemon is known.
    capacity : InstanceCapacity
        Size of this instance.
    connect_from : str or None
        IP address from which connections are opened, on an instance with several; None
        lets the system choose.
    contracts : list of str
        Names of the rule sets that the deployment has in force; see
        `platform.Features`.
    is_first_start : bool
        Whether the whole system starts for the first time, so that no earlier daemon
        has seen what servers answer.
    log_lines_per_s : float
        Average limit of log lines per second; short bursts may exceed it.
    """

    daemon_id: Name
    zone: Name
    listen: Listen
    store: Store
    bounds: Bounds
    seeds: list[Address] = []
    capacity: InstanceCapacity = InstanceCapacity()
    connect_from: str | None = None
    contracts: list[Name] = []
    is_first_start: bool = True
    log_level: str = "INFO"
    log_lines_per_s: Positive = 100.0

    @classmethod
    def from_config(cls, path: Path) -> "ServingSettings":
        """Read and validate a settings file.

        Raises
        ------
        SettingsError
            If the file cannot be read or is invalid; names the file, the field and
            what is wrong with it.
        """
        try:
            content = path.read_bytes()
        except OSError as error:
            raise SettingsError(
                f"Cannot read settings {path}: {error.strerror}",
                remedy="Pass the path of a readable JSON file",
            ) from None
        try:
            return msgspec.json.decode(content, type=cls)
        except msgspec.MsgspecError as error:
            raise SettingsError(
                f"Settings {path}: {error}",
                remedy="Correct that field; docs/platform.md lists all of them",
            ) from None


__all__ = [
    "Bounds",
    "InstanceCapacity",
    "Listen",
    "ServingSettings",
    "SettingsError",
    "Store",
]
