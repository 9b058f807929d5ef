"""What daemons tell each other about the platform's store and the lease in it."""

from typing import Any, Protocol

from chivesaddle.objects import StoreEra


class Terms(Protocol):
    """Lease whose terms only rise."""

    @property
    def highest_term(self) -> int:
        """Highest term known of any holder."""

    def observe_term(self, term: int) -> None:
        """Record a term that another process knows of."""


class StoreHints:
    """Exchanges the store's era and the highest fencing token with peers.

    A daemon that cannot reach the store learns here that it returned from a copy, and
    the token survives the loss of the lease's record.

    Parameters
    ----------
    era : StoreEra
        Highest known era.
    terms : Terms
        Lease whose terms are the fencing tokens.
    """

    def __init__(self, era: StoreEra, terms: Terms) -> None:
        self._era = era
        self._terms = terms

    def collect(self) -> dict[str, int]:
        """Return the era and the highest term."""
        return {"era": self._era.current, "term": self._terms.highest_term}

    def apply_remote(self, hint: Any) -> None:
        """Apply a peer's values."""
        # A peer that names era 0 may not have heard from the store yet.
        if hint["era"]:
            self._era.observe(hint["era"])
        self._terms.observe_term(hint["term"])


__all__ = ["StoreHints"]
