"""Servers that are held for waiting requests which smaller ones overtook.

Load: requests of a tenth of a server's memory use what each ending run frees, so a
request of nine tenths never finds enough on one server. After requests behind it in the
order took as much memory as it needs, one server takes no other requests until it has
room for it.
"""

from collections.abc import Callable, Collection, Hashable, Iterable, Mapping
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import BackendServerId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.placement.choice import Candidate
from chivesaddle.placement.queue_places import Claim

# Longest time for which a server is held for one request. Runs take one to three
# seconds, so the server has no other run left by then.
HOLD_S = 3.0
# Share of the servers that may be held at once; one server always may.
MAX_HELD_SHARE = 0.25
# A hold moves to another server after this time if that one has room sooner, for
# example because the held server left.
CHOOSE_AGAIN_S = 0.5

log = ComponentLogger("waiting")


class Waiting(Hashable, Protocol):
    """A waiting request."""

    @property
    def memory_request(self) -> Claim:
        """What it waits for."""

    @property
    def choose(self) -> Callable[[Collection[BackendServerId]], Candidate]:
        """Chooses a server besides the given ones."""


Entry = TypeVar("Entry", bound=Waiting)


@dataclass(frozen=True, slots=True)
class _Hold:
    server: BackendServerId
    until: float
    choose_again_at: float


class ServerHolds(Generic[Entry]):
    """Servers held for requests of one queue."""

    def __init__(self) -> None:
        self._hold_by_entry: dict[Entry, _Hold] = {}
        self._overtaken_tokens: dict[Entry, int] = {}

    def __contains__(self, entry: object) -> bool:
        return entry in self._hold_by_entry

    def server_by_entry(self) -> dict[Entry, BackendServerId]:
        """Return the held server of each request that has one."""
        return {entry: hold.server for entry, hold in self._hold_by_entry.items()}

    def record_overtaken(self, tokens_by_entry: Mapping[Entry, int]) -> None:
        """Record memory tokens that requests behind these in the order got."""
        for entry, tokens in tokens_by_entry.items():
            self._overtaken_tokens[entry] = (
                self._overtaken_tokens.get(entry, 0) + tokens
            )

    def discard(self, entry: Entry) -> None:
        """Forget a request that does not wait any more."""
        self._hold_by_entry.pop(entry, None)
        self._overtaken_tokens.pop(entry, None)

    def renew(
        self,
        in_order: Iterable[Entry],
        now: float,
        has_precedence: Callable[[Entry], bool],
    ) -> None:
        """End holds that took too long, and begin those of overtaken requests.

        Requests with precedence end the holds of others.
        """
        for entry, hold in list(self._hold_by_entry.items()):
            if now >= hold.until:
                # It holds again only after it was overtaken again.
                self.discard(entry)
            elif now >= hold.choose_again_at:
                self._choose(entry, hold.until, now, has_precedence)
        if not self._overtaken_tokens:
            return
        for entry in in_order:
            overtaken_tokens = self._overtaken_tokens.get(entry, 0)
            if entry in self._hold_by_entry:
                continue
            if overtaken_tokens < max(1, entry.memory_request.tokens):
                continue
            if self._choose(entry, now + HOLD_S, now, has_precedence):
                continue
            if not has_precedence(entry):
                break
            for other in self._hold_by_entry:
                if not has_precedence(other):
                    del self._hold_by_entry[other]
                    self._choose(entry, now + HOLD_S, now, has_precedence)
                    break

    def _choose(
        self,
        entry: Entry,
        until: float,
        now: float,
        has_precedence: Callable[[Entry], bool],
    ) -> bool:
        """Hold a server; return whether more servers may be held."""
        others = {
            hold.server
            for other, hold in self._hold_by_entry.items()
            if other is not entry
        }
        try:
            wanted = entry.choose(others)
        except ChivesaddleError as error:
            # The next dispatch ends the request with this error.
            log.debug("server not held", extra={"cause": str(error)})
            return True
        server = wanted.server.entry.id
        hold = _Hold(server, until, now + CHOOSE_AGAIN_S)
        owner = next(
            (
                other
                for other, held in self._hold_by_entry.items()
                if other is not entry and held.server == server
            ),
            None,
        )
        if owner is not None:
            # A server may be wanted by several requests if all are full.
            if has_precedence(entry) and not has_precedence(owner):
                del self._hold_by_entry[owner]
                self._hold_by_entry[entry] = hold
            return True
        if len(others) + 1 > max(1.0, MAX_HELD_SHARE * wanted.candidate_count):
            return False
        self._hold_by_entry[entry] = hold
        return True


__all__ = ["ServerHolds"]
