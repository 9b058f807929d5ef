"""Configuration and weight versions in force on this daemon."""

from dataclasses import dataclass

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import ModelId
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.serving_model import Configuration

# A daemon that starts does not know when the version that it finds was named. Restarts
# take up to 3 s.
FIRST_VERSION_AGE_S = 3.0

log = PartLogger("configuration")


class Knowledge:
    """What requests are decided by, besides the servers.

    Parameters
    ----------
    clock : Clock
        Clock of ages.
    older_weights_s : float
        Seconds after a version was named when older ones must not begin requests.
    """

    def __init__(self, clock: Clock, older_weights_s: float) -> None:
        self._clock = clock
        self._older_weights_s = older_weights_s
        self.configuration: Configuration | None = None
        self._named_by_model: dict[ModelId, list[_Named]] = {}

    def put_configuration(self, configuration: Configuration) -> None:
        """Take a configuration into force unless it is older than the present one."""
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
        """Note a newer named version of a model's weights."""
        named = self._named_by_model.setdefault(model, [])
        if not named or version > named[-1].version:
            log.info("weights named", extra={"model": model, "version": version})
            age_s = 0.0 if named else FIRST_VERSION_AGE_S
            named.append(_Named(version, self._clock.seconds() - age_s))

    def named_models(self) -> list[ModelId]:
        """Return the models of which a version was named."""
        return list(self._named_by_model)

    def named_version(self, model: ModelId) -> int | None:
        """Return the newest named version of a model's weights, or None."""
        named = self._named_by_model.get(model)
        return named[-1].version if named else None

    def oldest_usable_version(self, model: ModelId) -> int:
        """Return the version below which no request must begin any more.

        Each version has its own bound, so naming a third one extends nothing for the
        first.
        """
        limit = self._clock.seconds() - self._older_weights_s
        named = self._named_by_model.get(model, [])
        return max((n.version for n in named if n.at <= limit), default=0)

    def behind_s(self, model: ModelId, version: int) -> float:
        """Return for how long a newer version than ``version`` has been named."""
        for named in self._named_by_model.get(model, []):
            if named.version > version:
                return self._clock.seconds() - named.at
        return 0.0


@dataclass(frozen=True, slots=True)
class _Named:
    version: int
    at: float


__all__ = ["Knowledge"]
