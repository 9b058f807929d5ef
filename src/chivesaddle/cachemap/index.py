"""Index of the prompt parts that backend servers and KV stores hold."""

from collections.abc import Iterable
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

    def confirm(self, address: str, epoch: int) -> bool:
        """Record a response of a holder; return False if it is new or has restarted."""
        view = self._views.get(address)
        if view is None or view.epoch != epoch:
            self.forget(address)
            self._views[address] = _HolderView(epoch, self._clock.seconds())
            return False
        view.confirmed_at = self._clock.seconds()
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
        view.used_tokens += tokens - view.tokens_by_part.pop(key, 0)
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

    def scopes(self, address: str) -> dict[str, list[PromptPartId]]:
        """Return the parts of a holder by scope."""
        view = self._views.get(address)
        parts_by_scope: dict[str, list[PromptPartId]] = {}
        for scope, part in view.tokens_by_part if view else ():
            parts_by_scope.setdefault(scope, []).append(part)
        return parts_by_scope

    def _remove_holder(self, key: PartKey, address: str) -> None:
        holders = self._holders_by_part.get(key)
        if holders is not None:
            holders.discard(address)
            if not holders:
                del self._holders_by_part[key]


__all__ = ["CacheIndex", "PartKey"]
