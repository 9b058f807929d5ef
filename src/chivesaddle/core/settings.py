"""Settings of the daemon, read from a JSON file."""

import json
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chivesaddle.core.errors import ChivesaddleError, ListenFailed
from chivesaddle.core.ids import DaemonId, RegionId, ZoneId


class SettingsError(ChivesaddleError):
    """The settings file cannot be read, is not JSON or has an invalid value."""

    code = "invalid_settings"


class SettingsSection(BaseModel):
    """Base of the settings sections; unknown fields are rejected."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class ListenAddress(SettingsSection):
    """An IP address and port to listen on."""

    host: str = Field(default="127.0.0.1", description="IP address to listen on")
    port: int = Field(ge=1, le=65_535, description="TCP port to listen on")

    @property
    def address(self) -> str:
        """The address as ``ip:port``."""
        return f"{self.host}:{self.port}"

    def listen_error(self, name: str, reason: object) -> ListenFailed:
        """Return the error for the setting ``name`` if listening has failed."""
        return ListenFailed(
            f"Cannot listen on {self.address}: {reason}",
            remedy=f"Free that address or change {name} in the settings",
        )


class OperatorKey(SettingsSection):
    """A key for the operators' API, stored as a digest."""

    name: str = Field(description="Operator name shown in plans and the time line")
    role: str = Field(
        default="viewer",
        pattern="^(viewer|operator)$",
        description="viewer reads; operator also plans, confirms and resolves",
    )
    key_sha256: str = Field(
        pattern="^[0-9a-f]{64}$", description="Hex SHA-256 digest of the key"
    )


class Tls(SettingsSection):
    """Certificate and private key of the callers' and operators' listeners."""

    certificate: Path = Field(description="PEM file with the certificate chain")
    key: Path = Field(description="PEM file with the private key")


class Statsd(SettingsSection):
    """Address of the metrics collector and prefix of metric names."""

    host: str = Field(default="127.0.0.1", description="IP address of the collector")
    port: int = Field(default=8_125, ge=1, le=65_535, description="UDP port")
    prefix: str = Field(default="chivesaddle", description="Prefix of metric names")


class Settings(SettingsSection):
    """All settings of one daemon."""

    daemon_id: DaemonId = Field(description="Unique name of this daemon")
    zone: ZoneId = Field(description="Availability zone of this instance")
    region: RegionId = Field(
        default=RegionId("region-1"), description="Region of this instance"
    )
    callers: ListenAddress = Field(description="Listener of the callers' API")
    operators: ListenAddress = Field(description="Listener of the operators' API")
    peers: ListenAddress = Field(description="Listener of the peers' gRPC service")
    caller_url: str = Field(description="Base URL that callers use for this daemon")
    platform_url: str = Field(description="Base URL of the platform's object API")
    operator_keys: tuple[OperatorKey, ...] = Field(
        default=(), description="Keys accepted by the operators' API"
    )
    tls: Tls | None = Field(default=None, description="TLS; plain HTTP if absent")
    statsd: Statsd | None = Field(default=None, description="Metrics; off if absent")
    log_level: str = Field(
        default="INFO",
        pattern="^(DEBUG|INFO|WARNING|ERROR)$",
        description="Lowest level of logged messages",
    )

    @property
    def operator_url(self) -> str:
        """Base URL of the operators' API."""
        scheme = "http" if self.tls is None else "https"
        return f"{scheme}://{self.operators.address}"

    @classmethod
    def from_config(cls, path: Path) -> "Settings":
        """Read and validate a settings file.

        Raises
        ------
        SettingsError
            If it cannot be read or is invalid; names the field, value and remedy.
        """
        try:
            data: Any = json.loads(path.read_text())
        except OSError as error:
            raise SettingsError(
                f"Settings file {path} cannot be read: {error.strerror}",
                remedy="Pass an existing file with --config",
            ) from None
        except ValueError as error:
            raise SettingsError(
                f"Settings file {path} is not valid JSON: {error}",
                remedy="Correct the file at that position",
            ) from None
        try:
            return cls.model_validate(data)
        except ValidationError as error:
            raise SettingsError(
                f"Settings file {path}: "
                + "; ".join(map(_describe_error, error.errors())),
                remedy="Correct these fields; docs/settings.md lists them",
            ) from None


def _describe_error(error: Any) -> str:
    field = ".".join(str(part) for part in error["loc"]) or "(top level)"
    value = error.get("input")
    # For a missing field, the input is the whole enclosing section, which may contain
    # key digests.
    value_text = "" if error["type"] == "missing" else f" (value {value!r})"
    return f"field {field}{value_text}: {error['msg']}"


__all__ = ["ListenAddress", "OperatorKey", "Settings", "SettingsError", "Statsd", "Tls"]
