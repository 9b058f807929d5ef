"""What daemons tell each other about when weight versions were set."""

from typing import Any

from chivesaddle.core.ids import ModelId
from chivesaddle.forwarding import ServingState


class WeightHints:
    """Exchanges the ages of target weight versions with peers.

    The store does not tell when a version was set. A daemon that has just started, or
    that was cut off or frozen meanwhile, learns it here from one that saw the change.

    Parameters
    ----------
    serving_state : ServingState
        Holds the target versions.
    """

    def __init__(self, serving_state: ServingState) -> None:
        self._serving_state = serving_state

    def collect(self) -> dict[str, list[tuple[int, int]]]:
        """Return pairs of version and age in milliseconds by model."""
        return {
            model: [(version, int(age * 1_000)) for version, age in ages.items()]
            for model, ages in self._serving_state.observed_ages().items()
        }

    def apply_remote(self, hint: Any) -> None:
        """Apply a peer's ages."""
        for model, ages in hint.items():
            for version, age_ms in ages:
                self._serving_state.set_target_version(
                    ModelId(model), version, age_ms / 1_000
                )


__all__ = ["WeightHints"]
