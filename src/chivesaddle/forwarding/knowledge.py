"""Configuration and weight versions that this daemon applies."""

from dataclasses import dataclass

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import ModelId
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.serving_model import Configuration

# Assumed age of the weight version that a daemon finds at startup, as it does not know
# when the version was named. Restarts take up to 3 s.
INITIAL_VERSION_AGE_S = 3.0

log = PartLogger("configuration")


class Knowledge:
    """Configuration and weight versions by which requests are forwarded.

    Parameters
    ----------
    clock : Clock
        Clock of ages.
    older_weights_s : float
        Time after a version was named during which requests may still start on older
        versions.
    """

    def __init__(self, clock: Clock, older_weights_s: float) -> None:
        self._clock = clock
        self._older_weights_s = older_weights_s
        self.configuration: Configuration | None = None
        self._named_by_model: dict[ModelId, list[_NamedVersion]] = {}

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

    def put_weight_version(self, model: ModelId, version: int) -> None:
        """Record a version that was named for a model's weights if it is newer."""
        named = self._named_by_model.setdefault(model, [])
        if not named or version > named[-1].version:
            log.info("weights named", extra={"model": model, "version": version})
            age_s = 0.0 if named else INITIAL_VERSION_AGE_S
            named.append(_NamedVersion(version, self._clock.seconds() - age_s))

    def named_models(self) -> list[ModelId]:
        """Return the models for which a weight version was named."""
        return list(self._named_by_model)

    def named_version(self, model: ModelId) -> int | None:
        """Return the newest named version of a model's weights, or None."""
        named = self._named_by_model.get(model)
        return named[-1].version if named else None

    def oldest_usable_version(self, model: ModelId) -> int:
        """Return the minimum version on which a request may start.

        Each version has its own time limit, so that naming a third version does not
        extend the use of the first.
        """
        limit = self._clock.seconds() - self._older_weights_s
        named = self._named_by_model.get(model, [])
        return max((n.version for n in named if n.at <= limit), default=0)

    def behind_s(self, model: ModelId, version: int) -> float:
        """Return the time since a version newer than ``version`` was first named."""
        for named in self._named_by_model.get(model, []):
            if named.version > version:
                return self._clock.seconds() - named.at
        return 0.0


@dataclass(frozen=True, slots=True)
class _NamedVersion:
    version: int
    at: float


__all__ = ["Knowledge"]
