"""Applies the platform's documents to the state by which requests are forwarded."""

import math
from collections.abc import Callable, Mapping

from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import InvalidValue
from chivesaddle.core.ids import BackendServerId, ZoneId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.objects import era_of, store_revision
from chivesaddle.core.serving_model import ServerEntry
from chivesaddle.fleet import Entry, Replica, StoreReachability
from chivesaddle.forwarding import ServingState
from chivesaddle.objects import StoreEra
from chivesaddle.placement import Evacuations, ServerTable
from chivesaddle.platform import (
    CONFIG_KIND,
    CONFIG_NAME,
    EVACUATIONS_KIND,
    SERVERS_KIND,
    VERSIONS_KIND,
    configuration_version,
    decode_configuration,
    decode_evacuation,
    decode_server,
    decode_weight_version,
    weight_version_number,
)

# A store that returned from a copy lists servers that have ended since, until it has
# not heard from them for three heartbeats of 1.2 s.
RESTORED_ENTRY_S = 4.0
# Servers whose entries are lost with the store's last writes write them again within
# this time; operators get the same time for evacuations.
REAPPEARANCE_S = 2.0
# A version that is learned as the store is reached again may have been set while this
# daemon waited for its next call, `watcher.RETRY_MAX_S` at most.
LATE_VERSION_AGE_S = 1.0

# Documents that operators write, which seldom change.
OPERATOR_KINDS = (CONFIG_KIND, VERSIONS_KIND, EVACUATIONS_KIND)

log = ComponentLogger("documents")


def document_replicas(has_evacuations: bool) -> dict[str, Replica]:
    """Return empty replicas by kind of the documents that `StoredDocuments` applies.

    ``has_evacuations`` is whether zones may be evacuated in this deployment.
    """
    replicas = [
        Replica(CONFIG_KIND, configuration_version),
        Replica(SERVERS_KIND),
        Replica(VERSIONS_KIND, weight_version_number),
    ]
    if has_evacuations:
        replicas.append(Replica(EVACUATIONS_KIND))
    return {replica.kind: replica for replica in replicas}


class StoredDocuments:
    """Configuration, server entries, weight versions and evacuations of the replicas.

    Parameters
    ----------
    clock : Clock
        Clock of all delays.
    replicas : mapping
        Replicas by kind, whose changes are applied.
    serving_state : ServingState
        Receives configurations and weight versions.
    servers : ServerTable
        Receives server entries.
    evacuations : Evacuations
        Receives evacuated zones.
    reachability : StoreReachability
        Whether entries may be missing because of an outage.
    era : StoreEra
        Whether entries may be older than known ones.
    close_address : callable
        Called with the address of a server that has ended.
    record_entry : callable
        Called with each server entry that is applied.
    """

    def __init__(
        self,
        clock: Clock,
        replicas: Mapping[str, Replica],
        serving_state: ServingState,
        servers: ServerTable,
        evacuations: Evacuations,
        reachability: StoreReachability,
        era: StoreEra,
        close_address: Callable[[str], None],
        record_entry: Callable[[ServerEntry], None] = lambda entry: None,
    ) -> None:
        self._clock = clock
        self._replicas = replicas
        self._serving_state = serving_state
        self._servers = servers
        self._evacuations = evacuations
        self._reachability = reachability
        self._era = era
        self._close_address = close_address
        self._record_entry = record_entry
        replicas[CONFIG_KIND].add_listener(self._apply_configuration)
        replicas[SERVERS_KIND].add_listener(self._apply_server_entry)
        replicas[VERSIONS_KIND].add_listener(self._apply_weight_version)
        if EVACUATIONS_KIND in replicas:
            replicas[EVACUATIONS_KIND].add_listener(self._apply_evacuation)

    def _apply_configuration(self, entry: Entry) -> None:
        if entry.name != CONFIG_NAME or entry.is_deleted:
            return
        is_first = self._serving_state.configuration is None
        self._log_received(CONFIG_KIND, entry)
        try:
            self._serving_state.put_configuration(decode_configuration(entry.value))
        except InvalidValue as error:
            log.error("configuration rejected", extra={"cause": str(error)})
            return
        if is_first:
            # Entries that came before say how long servers are cold, too.
            for tracked in self._servers.all():
                self._record_entry(tracked.entry)

    def _log_received(self, kind: str, entry: Entry) -> None:
        log.info(
            "document received",
            extra={
                "kind": kind,
                "object": entry.name,
                "revision": store_revision(entry.revision),
                "source": self._replicas[kind].last_source.value,
            },
        )

    def _apply_server_entry(self, entry: Entry) -> None:
        # Peers relay changes to daemons that make no calls to the store themselves.
        self._era.observe(max(self._era.current, era_of(entry.revision)))
        name = BackendServerId(entry.name)
        server = None if entry.is_deleted else decode_server(entry.name, entry.value)
        if server is not None:
            may_be_outdated = self._may_be_outdated(entry)
            if may_be_outdated and self._servers.has_departed(server):
                log.info(
                    "restored server entry not used yet", extra={"server": entry.name}
                )
                self._clock.callLater(
                    RESTORED_ENTRY_S, self._apply_if_still_listed, entry.name
                )
                return
            self._servers.put(server, may_be_outdated=may_be_outdated)
            self._record_entry(server)
            return
        if not entry.is_deleted:
            log.warning("malformed server entry", extra={"server": entry.name})
        tracked_server = self._servers.get(name)
        self._servers.remove(name, may_have_expired=self._was_store_unreachable())
        if tracked_server is not None and self._servers.get(name) is None:
            self._close_address(tracked_server.entry.address)

    def _may_be_outdated(self, entry: Entry) -> bool:
        """Return whether an entry may be older than what was known before it.

        That is possible after the store returned from a copy, until servers that no
        longer run have expired there.
        """
        return era_of(entry.revision) == self._era.current and self._era.rose_within(
            RESTORED_ENTRY_S
        )

    def _apply_if_still_listed(self, name: str) -> None:
        entry = self._replicas[SERVERS_KIND].get(name)
        if entry is not None:
            self._apply_server_entry(entry)

    def _was_store_unreachable(self) -> bool:
        """Return whether entries may be missing only because of a store outage."""
        return self._era.rose_within(REAPPEARANCE_S) or self._was_store_cut_off()

    def _was_store_cut_off(self) -> bool:
        """Return whether this daemon did not reach the store within the last second."""
        reachability = self._reachability
        if reachability.unreachable_since is not None:
            return True
        return self._clock.seconds() - reachability.reachable_since < 1.0

    def _apply_weight_version(self, entry: Entry) -> None:
        if entry.is_deleted:
            return
        self._log_received(VERSIONS_KIND, entry)
        weight_version = decode_weight_version(entry.value)
        if weight_version is None:
            log.warning("malformed weight version", extra={"entry": entry.name})
            return
        if not self._replicas[VERSIONS_KIND].applied_revision:
            # The first reading does not tell when the version was set.
            age_s, is_observed = math.inf, False
        elif self._was_store_cut_off():
            age_s, is_observed = LATE_VERSION_AGE_S, False
        else:
            age_s, is_observed = 0.0, True
        self._serving_state.set_target_version(
            weight_version.model,
            weight_version.version,
            age_s,
            is_observed=is_observed,
        )

    def _apply_evacuation(self, entry: Entry) -> None:
        # Peers relay changes to daemons that make no calls to the store themselves.
        self._era.observe(max(self._era.current, era_of(entry.revision)))
        if entry.is_deleted:
            if self._era.rose_within(REAPPEARANCE_S):
                log.info(
                    "evacuation kept: missing in a store that returned from a copy",
                    extra={"zone": entry.name},
                )
                self._clock.callLater(REAPPEARANCE_S, self._end_if_missing, entry.name)
            else:
                self._evacuations.remove(ZoneId(entry.name))
            return
        self._log_received(EVACUATIONS_KIND, entry)
        evacuation = decode_evacuation(entry.name, entry.value)
        if not evacuation.has_valid_value:
            log.warning(
                "invalid evacuation counts as one", extra={"zone": evacuation.zone}
            )
        self._evacuations.put(evacuation.zone)

    def _end_if_missing(self, name: str) -> None:
        if self._replicas[EVACUATIONS_KIND].get(name) is None:
            self._evacuations.remove(ZoneId(name))


__all__ = ["OPERATOR_KINDS", "StoredDocuments", "document_replicas"]
