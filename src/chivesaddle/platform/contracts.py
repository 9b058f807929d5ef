"""Names of the rule sets that a deployment has in force, and what they switch on."""

from collections.abc import Collection
from dataclasses import dataclass

PRESSURE = "pressure"


@dataclass(frozen=True, slots=True)
class Features:
    """Behaviour that takes effect only where the deployment asks for it.

    Attributes
    ----------
    shares_by_account : bool
        Whether requests that wait for capacity are ordered, and refused, by the shares
        of their accounts.
    """

    shares_by_account: bool = False

    @classmethod
    def from_contracts(cls, names: Collection[str]) -> "Features":
        """Return the features of the named rule sets; unknown names are ignored."""
        return cls(shares_by_account=PRESSURE in names)


__all__ = ["Features"]
