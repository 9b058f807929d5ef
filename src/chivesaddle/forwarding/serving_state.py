"""Configuration and weight versions that this daemon applies."""

from collections.abc import Collection
from dataclasses import dataclass

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import ModelId, ServiceId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.serving_model import ColdStart, Configuration, RouteKind

# Assumed age of the weight version that a daemon finds at startup, as it does not know
# when the version was set. Restarts take up to 3 s.
INITIAL_VERSION_AGE_S = 3.0

log = ComponentLogger("configuration")


class ServingState:
    """Configuration and weight versions by which requests are forwarded.

    An entry in the platform's store sets the target weight version of a model. Servers
    should run the newest target version.

    Parameters
    ----------
    clock : Clock
        Clock of ages.
    older_weights_s : float
        Time after a target version was set during which requests may still start on
        older versions.
    """

    def __init__(self, clock: Clock, older_weights_s: float) -> None:
        self._clock = clock
        self._older_weights_s = older_weights_s
        self.configuration: Configuration | None = None
        self._services_with_resumption: set[ServiceId] = set()
        self._target_versions_by_model: dict[ModelId, list[_TargetVersion]] = {}

    def cold_start_of(self, service: ServiceId) -> ColdStart | None:
        """Return how servers of a service behave after their start, None if as ever."""
        configuration = self.configuration
        known = configuration and configuration.services_by_id.get(service)
        return known.cold_start if known else None

    def health_path(self, service: ServiceId) -> str | None:
        """Return the target of health requests to a service, None if it has none."""
        configuration = self.configuration
        known = configuration and configuration.services_by_id.get(service)
        return known.health_path if known else None

    def services_with_resumption(self) -> Collection[ServiceId]:
        """Return the services with streams that callers may resume."""
        return self._services_with_resumption

    def put_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration if it is newer than the current one."""
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        log.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "replaced": known.version if known else None,
            },
        )
        self.configuration = configuration
        self._services_with_resumption = {
            service
            for routes in configuration.routes_by_host.values()
            for route in routes
            if route.kind is RouteKind.STREAM and route.may_resume
            for service in route.weight_by_service
        }

    def set_target_version(self, model: ModelId, version: int) -> None:
        """Record a target version of a model's weights if it is newer."""
        targets = self._target_versions_by_model.setdefault(model, [])
        if not targets or version > targets[-1].version:
            log.info("weights named", extra={"model": model, "version": version})
            age_s = 0.0 if targets else INITIAL_VERSION_AGE_S
            targets.append(_TargetVersion(version, self._clock.seconds() - age_s))

    def models_with_target_version(self) -> list[ModelId]:
        """Return the models that have a target weight version."""
        return list(self._target_versions_by_model)

    def target_version(self, model: ModelId) -> int | None:
        """Return the newest target version of a model's weights, or None."""
        targets = self._target_versions_by_model.get(model)
        return targets[-1].version if targets else None

    def oldest_usable_version(self, model: ModelId) -> int:
        """Return the minimum version on which a request may start.

        Each version has its own time limit, so that setting a third version does not
        extend the use of the first.
        """
        limit = self._clock.seconds() - self._older_weights_s
        targets = self._target_versions_by_model.get(model, [])
        return max((t.version for t in targets if t.at <= limit), default=0)

    def outdated_s(self, model: ModelId, version: int) -> float:
        """Return the time since a target newer than ``version`` was first set."""
        for target in self._target_versions_by_model.get(model, []):
            if target.version > version:
                return self._clock.seconds() - target.at
        return 0.0


@dataclass(frozen=True, slots=True)
class _TargetVersion:
    version: int
    at: float


__all__ = ["ServingState"]
