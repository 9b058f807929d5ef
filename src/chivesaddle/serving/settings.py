"""Settings of the serving daemon, read from a JSON file."""

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from chivesaddle.core.errors import ChivesaddleError

Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Name = Annotated[str, Meta(min_length=1)]
Positive = Annotated[float, Meta(gt=0)]


class SettingsError(ChivesaddleError):
    """The settings file is missing, not JSON, or has a wrong value."""

    code = "invalid_settings"


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses to listen on, each ``ip:port``.

    Attributes
    ----------
    callers : str
        Requests of callers.
    readiness : str
        The platform's readiness checks.
    peers : str
        Exchanges with other daemons.
    addresses : str
        Callers' questions for daemons to use.
    metrics : str
        Counters and histograms, as text.
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
        Largest value that it accepts.
    """

    address: Address
    max_value_bytes: Annotated[int, Meta(ge=1_024)] = 1_048_576


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds that the operators set for this deployment.

    Attributes
    ----------
    retry_ratio : float
        Repeated sends allowed per request, over all daemons.
    retry_slack : float
        Repeated sends allowed besides.
    retry_window_s : float
        Seconds over which both are counted.
    older_weights_s : float
        Seconds after which no request begins on weights older than the named ones.
    shutdown_s : float
        Seconds between SIGTERM and SIGKILL.
    address_valid_most_s : float
        Longest time for which callers keep an address answer.
    """

    retry_ratio: Annotated[float, Meta(ge=0)]
    retry_slack: Annotated[float, Meta(ge=0)]
    retry_window_s: Positive
    older_weights_s: Positive
    shutdown_s: Positive
    address_valid_most_s: Positive


class ServingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one daemon.

    Attributes
    ----------
    daemon_id : str
        Name of this instance, unique in the fleet.
    zone : str
        Availability zone of this instance.
    seeds : list of str
        Peer addresses to ask while the store cannot be reached.
    log_lines_per_s : float
        Log lines written a second at most, averaged over some seconds.
    """

    daemon_id: Name
    zone: Name
    listen: Listen
    store: Store
    bounds: Bounds
    seeds: list[Address] = []
    log_level: str = "INFO"
    log_lines_per_s: Positive = 100.0

    @classmethod
    def from_config(cls, path: Path) -> "ServingSettings":
        """Read and check a settings file.

        Raises
        ------
        SettingsError
            Names the field, what is wrong with it, and the file.
        """
        try:
            content = path.read_bytes()
        except OSError as error:
            raise SettingsError(
                f"Cannot read settings {path}: {error.strerror}",
                remedy="Name a readable JSON file",
            ) from None
        try:
            return msgspec.json.decode(content, type=cls)
        except msgspec.MsgspecError as error:
            raise SettingsError(
                f"Settings {path}: {error}",
                remedy="Correct that field; docs/platform.md lists all of them",
            ) from None


__all__ = ["Bounds", "Listen", "ServingSettings", "SettingsError", "Store"]
