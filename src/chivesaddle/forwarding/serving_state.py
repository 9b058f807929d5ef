"""Configuration and weight versions that this daemon applies."""

import math
from collections.abc import Collection
from dataclasses import dataclass

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import ModelId, ServiceId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.serving_model import ColdStart, Configuration, RouteKind

# Part of the bound that is reserved until a request begins: 0.35 s to open a
# connection, over a second in which a server may be silent before it reads what it
# received, and `NOTICE_S`.
BEGIN_RESERVE_S = 2.0
# Part of it until this daemon knows of a new version, and until a server notices that
# the connection of a request that it has not begun was closed.
NOTICE_S = 0.3
# Reserved in addition for a request that cannot be sent to another server if it has not
# begun in time. Bytes that a lost path does not acknowledge are sent again for 3 s.
LAST_ATTEMPT_RESERVE_S = 1.5
# Daemons tell each other for this long when a version was set; one that was suspended
# or cut off for longer may learn of it late.
SHARED_FOR_S = 600.0
# Target versions that are kept of a model. Older ones have no effect on the use of
# weights unless versions are set more often than every second.
MAX_TARGET_VERSIONS = 8

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
        Time after a target version was set during which requests may still be sent to
        servers with older versions.
    begin_reserve_s : float
        Time after that within which such a request must have begun.
    """

    def __init__(
        self, clock: Clock, older_weights_s: float, begin_reserve_s: float = 0.0
    ) -> None:
        self._clock = clock
        self._older_weights_s = older_weights_s
        self._begin_reserve_s = begin_reserve_s
        self.configuration: Configuration | None = None
        # When `configuration` was applied, in seconds on the clock.
        self.configured_at = -math.inf
        self._services_with_resumption: set[ServiceId] = set()
        self._targets_by_model: dict[ModelId, dict[int, _TargetVersion]] = {}

    @classmethod
    def from_bound(cls, clock: Clock, bound_s: float) -> "ServingState":
        """Return a state by which no request begins on weights outdated for longer.

        ``bound_s`` is the time in seconds after a target version was set.
        """
        return cls(clock, bound_s - BEGIN_RESERVE_S, BEGIN_RESERVE_S - NOTICE_S)

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

    def has_engines(self, service: ServiceId) -> bool:
        """Return whether a service has model engines."""
        configuration = self.configuration
        known = configuration and configuration.services_by_id.get(service)
        return bool(known and known.engine)

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
        self.configured_at = self._clock.seconds()
        self.configuration = configuration
        self._services_with_resumption = {
            service
            for routes in configuration.routes_by_host.values()
            for route in routes
            if route.kind is RouteKind.STREAM and route.may_resume
            for service in route.weight_by_service
        }

    def set_target_version(
        self,
        model: ModelId,
        version: int,
        age_s: float | None = None,
        *,
        is_observed: bool = True,
    ) -> None:
        """Record a target version of a model's weights.

        The same version may be recorded several times. The earliest observation counts,
        and any observation replaces an assumption.

        Parameters
        ----------
        model : ModelId
            The model.
        version : int
            Its target version.
        age_s : float or None
            Seconds since the version was set, as far as known. None means unknown for
            the first version of a model, as older ones may have been unusable for
            long, and 0 for any other.
        is_observed : bool
            Whether the version was known to be set ``age_s`` seconds ago; otherwise
            that age is assumed.
        """
        targets = self._targets_by_model.setdefault(model, {})
        now = self._clock.seconds()
        if age_s is None:
            age_s = 0.0 if targets else math.inf
        if age_s == math.inf:
            is_observed = False
        known = targets.get(version)
        target = _TargetVersion(version, now - age_s, is_observed)
        if known is not None and not target.replaces(known):
            return
        is_newest = known is None and version > max(targets, default=-1)
        targets[version] = target
        if len(targets) > MAX_TARGET_VERSIONS:
            del targets[min(targets)]
        if is_newest or (known is not None and not known.is_observed):
            log.info(
                "weights named",
                extra={
                    "model": model,
                    "version": version,
                    "age_ms": None if age_s == math.inf else round(age_s * 1_000),
                    "is_observed": is_observed,
                },
            )

    def models_with_target_version(self) -> list[ModelId]:
        """Return the models that have a target weight version."""
        return list(self._targets_by_model)

    def target_version(self, model: ModelId) -> int | None:
        """Return the newest target version of a model's weights, or None."""
        return max(self._targets_by_model.get(model, ()), default=None)

    def observed_ages(self) -> dict[ModelId, dict[int, float]]:
        """Return the seconds since target versions were set, without assumed ages.

        Without versions that no request may start on any more, and models whose newest
        version is older than `SHARED_FOR_S`: a daemon that does not know its age takes
        it for old anyway.
        """
        now = self._clock.seconds()
        ages_by_model = {}
        for model, targets in self._targets_by_model.items():
            oldest = self.oldest_usable_version(model)
            ages = {
                target.version: now - target.at
                for target in targets.values()
                if target.is_observed and target.version >= oldest
            }
            if ages and min(ages.values()) <= SHARED_FOR_S:
                ages_by_model[model] = ages
        return ages_by_model

    def oldest_usable_version(self, model: ModelId, reserve_s: float = 0.0) -> int:
        """Return the minimum version to which a request may be sent.

        Each version has its own time limit, so that setting a third version does not
        extend the use of the first.

        Parameters
        ----------
        reserve_s : float
            Time by which the limits are shortened for the request.
        """
        limit = self._clock.seconds() - self._older_weights_s + reserve_s
        targets = self._targets_by_model.get(model, {})
        return max((t.version for t in targets.values() if t.at <= limit), default=0)

    def begin_deadline(self, model: ModelId, version: int) -> float:
        """Return until when a request that was sent to ``version`` must have begun."""
        outdated_since = self._outdated_since(model, version)
        return outdated_since + self._older_weights_s + self._begin_reserve_s

    def outdated_s(self, model: ModelId, version: int) -> float:
        """Return the time since a target newer than ``version`` was first set."""
        now = self._clock.seconds()
        return max(0.0, now - self._outdated_since(model, version))

    def _outdated_since(self, model: ModelId, version: int) -> float:
        """Return when a newer target was first set, infinity if there is none."""
        targets = self._targets_by_model.get(model, {})
        newer = [target.at for target in targets.values() if target.version > version]
        return min(newer, default=math.inf)


@dataclass(frozen=True, slots=True)
class _TargetVersion:
    version: int
    at: float
    is_observed: bool

    def replaces(self, other: "_TargetVersion") -> bool:
        """Return whether this says more about when the version was set."""
        if self.is_observed is not other.is_observed:
            return self.is_observed
        return self.at < other.at


__all__ = ["LAST_ATTEMPT_RESERVE_S", "ServingState"]
