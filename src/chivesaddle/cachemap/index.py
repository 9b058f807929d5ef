"""Index of the prompt parts that backend servers and KV stores hold."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from chivesaddle.core.aio import Clock
from chivesaddle.core.serving_model import PromptPartId

# A view that no response has confirmed for this long is not used: the holder may have
# restarted, and a restarted store may be rewriting a part that it held before.
MAX_VIEW_AGE_S = 1.8

PartKey = tuple[str, PromptPartId]


@dataclass(slots=True)
class _HolderView:
    """Parts that one holder has; its ``epoch`` changes when it restarts."""

    epoch: int
    confirmed_at: float
    tokens_by_part: dict[PartKey, int] = field(default_factory=dict)
    used_tokens: int = 0


@dataclass(slots=True)
class _KnownHolders:
    """Holders of a part that had recent views, the oldest of which is as given."""

    oldest_confirmed_at: float
    tokens_by_address: Mapping[str, int]


class CacheIndex:
    """Parts by the address of their holder, as cache events report them.

    A part is identified by its cache scope and id; the scope separates weight versions
    and isolated accounts.

    Parameters
    ----------
    clock : Clock
        Clock that measures the age of views.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._views: dict[str, _HolderView] = {}
        self._holders_by_part: dict[PartKey, set[str]] = {}
        # Kept until a holder of the part changes or its view becomes outdated.
        self._known_by_part: dict[PartKey, _KnownHolders] = {}

    def confirm(self, address: str, epoch: int) -> bool:
        """Record a response of a holder; return False if it is new or has restarted."""
        view = self._views.get(address)
        if view is None or view.epoch != epoch:
            self.forget(address)
            self._views[address] = _HolderView(epoch, self._clock.seconds())
            return False
        now = self._clock.seconds()
        if now - view.confirmed_at > MAX_VIEW_AGE_S:
            for key in view.tokens_by_part:
                self._known_by_part.pop(key, None)
        view.confirmed_at = now
        return True

    def replace(
        self, address: str, epoch: int, parts: Iterable[tuple[PartKey, int]]
    ) -> None:
        """Replace the parts of a holder by its complete list."""
        self.forget(address)
        self._views[address] = _HolderView(epoch, self._clock.seconds())
        for key, tokens in parts:
            self.put(address, key, tokens)

    def put(self, address: str, key: PartKey, tokens: int) -> None:
        """Set how many tokens of a part a holder has; 0 removes the part."""
        view = self._views.get(address)
        if view is None:
            return
        previous_tokens = view.tokens_by_part.pop(key, 0)
        if tokens != previous_tokens:
            self._known_by_part.pop(key, None)
        view.used_tokens += tokens - previous_tokens
        if tokens > 0:
            view.tokens_by_part[key] = tokens
            self._holders_by_part.setdefault(key, set()).add(address)
        else:
            self._remove_holder(key, address)

    def forget(self, address: str) -> None:
        """Remove a holder and its parts."""
        view = self._views.pop(address, None)
        if view is not None:
            for key in view.tokens_by_part:
                self._remove_holder(key, address)

    def is_known(self, address: str) -> bool:
        """Return whether the holder's view is recent enough to be used."""
        view = self._views.get(address)
        if view is None:
            return False
        return self._clock.seconds() - view.confirmed_at <= MAX_VIEW_AGE_S

    def tokens(self, address: str, key: PartKey) -> int:
        """Return how many tokens of a part a holder has, 0 if its view is outdated."""
        view = self._views.get(address)
        if view is None or not self.is_known(address):
            return 0
        return view.tokens_by_part.get(key, 0)

    def used_tokens(self, address: str) -> int:
        """Return the total tokens of all parts of a holder."""
        view = self._views.get(address)
        return 0 if view is None else view.used_tokens

    def epoch(self, address: str) -> int:
        """Return the epoch of a holder's view, 0 if the holder is unknown."""
        view = self._views.get(address)
        return 0 if view is None else view.epoch

    def holders(self, key: PartKey) -> list[str]:
        """Return the sorted addresses of the holders of a part with recent views."""
        addresses = self._holders_by_part.get(key, ())
        return sorted(address for address in addresses if self.is_known(address))

    def tokens_by_holder(self, key: PartKey) -> Mapping[str, int]:
        """Return what the holders with recent views have of a part, by address.

        The mapping is ordered by address, and the same object until it changes.
        """
        now = self._clock.seconds()
        known = self._known_by_part.get(key)
        if known is not None and now - known.oldest_confirmed_at <= MAX_VIEW_AGE_S:
            return known.tokens_by_address
        views = [(a, self._views[a]) for a in self._holders_by_part.get(key, ())]
        recent = [
            (address, view)
            for address, view in views
            if now - view.confirmed_at <= MAX_VIEW_AGE_S
        ]
        tokens_by_address: Mapping[str, int] = {
            address: view.tokens_by_part[key]
            for address, view in sorted(recent, key=lambda pair: pair[0])
        }
        if not recent:
            return tokens_by_address
        if known is not None and known.tokens_by_address == tokens_by_address:
            tokens_by_address = known.tokens_by_address
        oldest_confirmed_at = min(view.confirmed_at for _, view in recent)
        self._known_by_part[key] = _KnownHolders(oldest_confirmed_at, tokens_by_address)
        return tokens_by_address

    def scopes(self, address: str) -> dict[str, list[PromptPartId]]:
        """Return the parts of a holder by scope."""
        view = self._views.get(address)
        parts_by_scope: dict[str, list[PromptPartId]] = {}
        for scope, part in view.tokens_by_part if view else ():
            parts_by_scope.setdefault(scope, []).append(part)
        return parts_by_scope

    def _remove_holder(self, key: PartKey, address: str) -> None:
        self._known_by_part.pop(key, None)
        holders = self._holders_by_part.get(key)
        if holders is not None:
            holders.discard(address)
            if not holders:
                del self._holders_by_part[key]


__all__ = ["CacheIndex", "PartKey"]
