"""Configuration and weight versions in force on this daemon."""

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import ModelId
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.serving_model import Configuration

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
        self._version_by_model: dict[ModelId, tuple[int, float]] = {}

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
        known, _ = self._version_by_model.get(model, (0, 0.0))
        if version > known:
            log.info("weights named", extra={"model": model, "version": version})
            self._version_by_model[model] = (version, self._clock.seconds())

    def named_models(self) -> list[ModelId]:
        """Return the models of which a version was named."""
        return list(self._version_by_model)

    def named_version(self, model: ModelId) -> int | None:
        """Return the named version of a model's weights, or None."""
        found = self._version_by_model.get(model)
        return None if found is None else found[0]

    def refuses_older(self, model: ModelId) -> bool:
        """Tell whether older versions must not begin requests any more."""
        found = self._version_by_model.get(model)
        if found is None or found[0] <= 1:
            return False
        return self._clock.seconds() - found[1] >= self._older_weights_s


__all__ = ["Knowledge"]
