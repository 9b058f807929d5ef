"""Request handlers of the peer service."""

import json
from collections.abc import Callable, Sequence
from typing import Any

from chivesaddle.core.aio import Clock, log_failure, start
from chivesaddle.core.events import EventRing
from chivesaddle.core.ids import DaemonId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.peers.announcer import Announcer
from chivesaddle.peers.channels import PeerUnreachable
from chivesaddle.peers.configuration_fetcher import ConfigurationFetcher
from chivesaddle.peers.exchange import StateExchange
from chivesaddle.peers.fleet_queries import events_to_message, filter_from_message
from chivesaddle.peers.instances import InstanceTable
from chivesaddle.peers.membership import Membership
from chivesaddle.peers.ports import ConfigurationPort, FreshnessPort, LeasePort
from chivesaddle.peers.proto import peer_pb2 as pb
from chivesaddle.peers.reports import ReportLog, SuspectReport
from chivesaddle.peers.traffic import TrafficMeter
from chivesaddle.peers.zone_push import PushReceiver

_log = ComponentLogger("peers")


class Handlers:
    """Handles each method of the peer service."""

    def __init__(
        self,
        clock: Clock,
        traffic: TrafficMeter,
        membership: Membership,
        exchange: StateExchange,
        reports: ReportLog,
        announcer: Announcer,
        configuration_fetcher: ConfigurationFetcher,
        instance_table: InstanceTable,
        push_receiver: PushReceiver,
        lease: LeasePort,
        configuration: ConfigurationPort,
        freshness: FreshnessPort,
        events: EventRing,
        status_source: Callable[[], dict[str, Any]],
        suspect_source: Callable[[], Sequence[SuspectReport]],
        on_instances: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._traffic = traffic
        self._membership = membership
        self._exchange = exchange
        self._reports = reports
        self._announcer = announcer
        self._configuration_fetcher = configuration_fetcher
        self._instance_table = instance_table
        self._push_receiver = push_receiver
        self._lease = lease
        self._configuration = configuration
        self._freshness = freshness
        self._events = events
        self._status_source = status_source
        self._suspect_source = suspect_source
        self._on_instances = on_instances

    async def handle(self, method: str, message: Any) -> Any:
        """Handle a request from a peer and return the response."""
        now = self._clock.seconds()
        self._traffic.record(message.ByteSize(), now)
        response = await self._dispatch(method, message, now)
        self._traffic.record(response.ByteSize(), self._clock.seconds())
        return response

    async def _dispatch(self, method: str, message: Any, now: float) -> Any:
        match method:
            case "Exchange":
                self._exchange.receive(message, now)
                return self._exchange.build(now, is_response=True)
            case "Push":
                return self._receive_push(message, now)
            case "Announce":
                new_reports = self._reports.receive(message.reports, now)
                if message.forward and new_reports:
                    await self._announcer.forward(new_reports)
                return pb.Empty()
            case "GetChanges":
                changes = await self._configuration.changes_after(message.after)
                return pb.Changes(revision=self._configuration.revision, change=changes)
            case "GetEvents":
                events = self._events.select(filter_from_message(message))
                return events_to_message(events)
            case "GetSuspects":
                return pb.Announcement(
                    reports=self._reports.to_reports(self._suspect_source())
                )
            case "GetStatus":
                return pb.Status(status=json.dumps(self._status_source()).encode())
        raise PeerUnreachable(f"Method {method} is not known")

    def _receive_push(self, push: pb.ZonePush, now: float) -> pb.ZonePushReply:
        previous_revision = self._instance_table.revision
        if self._push_receiver.receive(push, now):
            self._lease.record_relayed_version(push.lease_version)
            if self._instance_table.revision != previous_revision:
                self._on_instances()
            reading_age_s = self._push_receiver.reading_age_s(push, now)
            if push.revision > self._configuration.revision:
                work = start(self._fetch_changes_of_push(push, reading_age_s, now))
                work.addErrback(
                    log_failure(_log, "configuration fetch after a push failed")
                )
            elif reading_age_s is not None:
                self._freshness.record_platform_reading(reading_age_s, now)
        return self._push_receiver.reply(now)

    async def _fetch_changes_of_push(
        self, push: pb.ZonePush, reading_age_s: float | None, received_at: float
    ) -> None:
        zone_reader = self._membership.get(DaemonId(push.sender))
        address = zone_reader.peer_address if zone_reader else ""
        if (
            await self._configuration_fetcher.fetch_up_to(address, push.revision)
            and reading_age_s is not None
        ):
            now = self._clock.seconds()
            self._freshness.record_platform_reading(
                reading_age_s + now - received_at, now
            )


__all__ = ["Handlers"]
