"""What the serving daemon sends in its beacons and does with those of its peers."""

from collections.abc import Mapping, Sequence

from chivesaddle.fleet import (
    CatchUp,
    RequestDemand,
    ServerLoadShare,
    StoreReachability,
    WatchRole,
)
from chivesaddle.serving.hints import ServerLoadShares
from chivesaddle.serving.peer_paths import FleetPaths
from chivesaddle.serving.silent_paths import SilentPaths
from chivesaddle.weights import Rollout

# The proof of a daemon that reaches the store is never older than this.
MAX_STORE_ANSWER_AGE_S = 7.0


class BeaconContent:
    """Source and receiver of the beacons' content.

    Parameters
    ----------
    shares : ServerLoadShares
        Load on backend servers.
    rollout : Rollout
        Holder of the lease for weight orders.
    demand : RequestDemand
        Work that callers' requests cause here.
    reachability : StoreReachability
        Whether this daemon reaches the store.
    watch_role : WatchRole
        Receives the same of others.
    paths : FleetPaths
        Which daemon reaches which servers.
    silent_paths : SilentPaths
        Services of which this daemon gets no byte while others do.
    catch_up : CatchUp
        Gets documents that peers have.
    """

    def __init__(
        self,
        shares: ServerLoadShares,
        rollout: Rollout,
        demand: RequestDemand,
        reachability: StoreReachability,
        watch_role: WatchRole,
        paths: FleetPaths,
        silent_paths: SilentPaths,
        catch_up: CatchUp,
    ) -> None:
        self._shares = shares
        self._rollout = rollout
        self._demand = demand
        self._reachability = reachability
        self._watch_role = watch_role
        self._paths = paths
        self._silent_paths = silent_paths
        self._catch_up = catch_up

    def load_shares(self) -> tuple[list[ServerLoadShare], list[int]]:
        """Return load shares, and hashes of servers loading weights on its order."""
        return self._shares.collect()

    def lease(self) -> tuple[int, int]:
        """Return the lease's version and renewal age in ms; zeros if not held."""
        return self._rollout.lease_to_relay()

    def demand(self) -> float:
        """Return the processor time that requests need here, in cores."""
        return self._demand.cores()

    def reaches_store(self) -> bool:
        """Return whether the store has answered this daemon just now."""
        return self._reachability.answered_within(MAX_STORE_ANSWER_AGE_S)

    def lost_servers(self) -> tuple[list[int], bool]:
        """Return hashes of servers not reached, and whether only peers reach any."""
        return self._paths.lost_servers()

    def apply_lost_servers(
        self, peer: str, lost: Sequence[int], valid_s: float
    ) -> None:
        """Replace the servers that a peer does not reach."""
        self._paths.apply_lost_servers(peer, lost, valid_s)

    def answering_services(self) -> list[int]:
        """Return hashes of the services that have just sent bytes to this daemon."""
        return self._silent_paths.answering_services()

    def apply_answering_services(self, peer: str, services: Sequence[int]) -> None:
        """Record the services that send bytes to a peer."""
        self._silent_paths.apply_answering_services(services)
        self._paths.record_answering(peer, services)

    def progress_by_kind(self) -> dict[str, int]:
        """Return how far this daemon's replicas of documents are."""
        return self._catch_up.progress_by_kind()

    def apply_progress(self, peer: str, progress_by_kind: Mapping[str, int]) -> None:
        """Get the documents that a peer has and this daemon lacks."""
        self._catch_up.observe(peer, progress_by_kind)

    def apply_shares(
        self,
        peer: str,
        shares: Sequence[ServerLoadShare],
        loading: Sequence[int],
        valid_s: float,
    ) -> None:
        """Replace a peer's load shares."""
        self._shares.apply_remote(peer, shares, loading, valid_s)

    def observe_lease(self, version: int, age_s: float) -> None:
        """Record that another daemon holds the lease."""
        self._rollout.observe_lease(version, age_s)

    def observe_store(self, peer: str, reaches_store: bool) -> None:
        """Record whether a working daemon reaches the store."""
        self._watch_role.observe_store(peer, reaches_store)


__all__ = ["BeaconContent"]
