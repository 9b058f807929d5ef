"""Models, versions and adapters that an engine has loaded, changed by orders."""

from dataclasses import dataclass, field
from typing import Any

from chivesaddle.core.errors import InvalidValue
from chivesaddle.standins.errors import Rejected

# A version swap keeps the previous version for requests still in progress.
MAX_LOADED_VERSIONS = 2


@dataclass
class LoadedModels:
    """Loaded models, the engine's role and the highest accepted fencing token.

    Attributes
    ----------
    versions_by_model : dict
        Loaded versions of each model, most recently loaded last.
    adapters_by_model : dict
        Loaded adapters of each model.
    role : str
        Role set by the latest ``set_role`` order.
    highest_fencing_token : int
        Highest fencing token of an accepted order.
    checks_fence : bool
        Whether orders with a lower fencing token are rejected.
    """

    versions_by_model: dict[str, list[str]] = field(default_factory=dict)
    adapters_by_model: dict[str, list[str]] = field(default_factory=dict)
    role: str = "mixed"
    highest_fencing_token: int = 0
    checks_fence: bool = False

    @classmethod
    def from_config(cls, specs: list[str], checks_fence: bool) -> "LoadedModels":
        """Parse ``model:version`` or ``model:version:adapter,adapter`` specifications.

        Examples
        --------
        >>> LoadedModels.from_config(["m:v1:a,b"], False).adapters_by_model
        {'m': ['a', 'b']}
        """
        loaded = cls(checks_fence=checks_fence)
        for spec in specs:
            model, _, rest = spec.partition(":")
            version, _, adapters = rest.partition(":")
            if not model or not version:
                raise InvalidValue(
                    f"Model {spec!r} is not MODEL:VERSION[:ADAPTER,...]", field="model"
                )
            loaded.versions_by_model.setdefault(model, []).append(version)
            names = [name for name in adapters.split(",") if name]
            loaded.adapters_by_model.setdefault(model, []).extend(names)
        return loaded

    def resolve(self, model: str, version: str, adapter: str) -> str:
        """Return the version to run, by default the most recently loaded one.

        Raises
        ------
        Rejected
            404 for an unknown model or adapter, 409 if the version is not loaded.
        """
        versions = self.versions_by_model.get(model)
        if not versions:
            raise Rejected(404, "unknown_model", f"Model {model!r} is not loaded")
        if adapter and adapter not in self.adapters_by_model.get(model, []):
            raise Rejected(404, "unknown_adapter", f"Adapter {adapter!r} is not loaded")
        if version and version not in versions:
            raise Rejected(
                409,
                "version_not_loaded",
                f"Version {version!r} of {model} is not loaded",
            )
        return version or versions[-1]

    def check_fencing_token(self, fencing_token: int, ignore: bool) -> None:
        """Record an order's fencing token; raises `Rejected` 409 if it is stale."""
        if (
            self.checks_fence
            and not ignore
            and fencing_token < self.highest_fencing_token
        ):
            raise Rejected(
                409,
                "stale_fence",
                f"Fencing token {fencing_token} is below the highest accepted "
                f"token, {self.highest_fencing_token}",
            )
        self.highest_fencing_token = max(self.highest_fencing_token, fencing_token)

    def apply(self, order: dict[str, Any]) -> None:
        """Execute an order; raises `InvalidValue` if it is unknown or malformed."""
        match order:
            case {"order": "load_model" | "load_version", "model": str(model), **rest}:
                self._load_version(
                    model, rest.get("version") or rest.get("weight_version")
                )
                for adapter in rest.get("adapters") or []:
                    self._load_adapter(model, adapter)
            case {"order": "load_adapter", "model": str(model), "adapter": str(name)}:
                self._load_adapter(model, name)
            case {"order": "unload_version", "model": str(model), "version": version}:
                remaining_versions = [
                    v for v in self.versions_by_model.get(model, []) if v != version
                ]
                self.versions_by_model[model] = remaining_versions
            case {"order": "unload_model", "model": str(model)}:
                self.versions_by_model.pop(model, None)
                self.adapters_by_model.pop(model, None)
            case {"order": "set_role", "role": str(role)}:
                self.role = role
            case _:
                raise InvalidValue(
                    f"Order {order!r} is unknown or malformed", field="order"
                )

    def to_json(self) -> dict[str, Any]:
        """Return the body of the engine's response to ``GET /state``."""
        return {
            "models": self.versions_by_model,
            "adapters": self.adapters_by_model,
            "role": self.role,
            "fence": self.highest_fencing_token,
        }

    def _load_version(self, model: str, version: Any) -> None:
        if not isinstance(version, str) or not version:
            raise InvalidValue(
                f"Version {version!r} is not a non-empty string", field="version"
            )
        versions = self.versions_by_model.setdefault(model, [])
        if version in versions:
            versions.remove(version)
        versions.append(version)
        del versions[:-MAX_LOADED_VERSIONS]

    def _load_adapter(self, model: str, adapter: str) -> None:
        adapters = self.adapters_by_model.setdefault(model, [])
        if adapter not in adapters:
            adapters.append(adapter)


__all__ = ["LoadedModels"]
