"""Answers to calls of peers."""

import json
from collections.abc import Callable
from typing import Any

from chivesaddle.core.aio import Clock, log_failure, start
from chivesaddle.core.events import EventRing
from chivesaddle.core.ids import DaemonId
from chivesaddle.core.logs import PartLogger
from chivesaddle.peers.announcing import Announcer
from chivesaddle.peers.catching_up import CatchUp
from chivesaddle.peers.channels import PeerUnreachable
from chivesaddle.peers.collecting import events_to_message, filter_from_message
from chivesaddle.peers.exchange import Exchange
from chivesaddle.peers.instances import InstanceTable
from chivesaddle.peers.membership import Membership
from chivesaddle.peers.ports import ConfigurationPort, FreshnessPort, LeasePort
from chivesaddle.peers.proto import peer_pb2 as pb
from chivesaddle.peers.reports import ReportLog
from chivesaddle.peers.traffic import Traffic
from chivesaddle.peers.zone_push import PushReceiver

_log = PartLogger("peers")


class Handlers:
    """Answers each method of the peers' service."""

    def __init__(
        self,
        clock: Clock,
        traffic: Traffic,
        membership: Membership,
        exchange: Exchange,
        reports: ReportLog,
        announcer: Announcer,
        catch_up: CatchUp,
        table: InstanceTable,
        push_receiver: PushReceiver,
        lease: LeasePort,
        configuration: ConfigurationPort,
        freshness: FreshnessPort,
        events: EventRing,
        status_source: Callable[[], dict[str, Any]],
        on_instances: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._traffic = traffic
        self._membership = membership
        self._exchange = exchange
        self._reports = reports
        self._announcer = announcer
        self._catch_up = catch_up
        self._table = table
        self._push_receiver = push_receiver
        self._lease = lease
        self._configuration = configuration
        self._freshness = freshness
        self._events = events
        self._status_source = status_source
        self._on_instances = on_instances

    async def handle(self, method: str, message: Any) -> Any:
        """Answer a call of a peer."""
        now = self._clock.seconds()
        self._traffic.record(message.ByteSize(), now)
        answer = await self._answer(method, message, now)
        self._traffic.record(answer.ByteSize(), self._clock.seconds())
        return answer

    async def _answer(self, method: str, message: Any, now: float) -> Any:
        match method:
            case "Exchange":
                self._exchange.receive(message, now)
                return self._exchange.build(now, answer=True)
            case "Push":
                return self._receive_push(message, now)
            case "Announce":
                new = self._reports.receive(message.reports, now)
                if message.forward and new:
                    await self._announcer.forward(new)
                return pb.Empty()
            case "GetChanges":
                changes = await self._configuration.changes_after(message.after)
                return pb.Changes(revision=self._configuration.revision, change=changes)
            case "GetEvents":
                events = self._events.select(filter_from_message(message))
                return events_to_message(events)
            case "GetStatus":
                return pb.Status(status=json.dumps(self._status_source()).encode())
        raise PeerUnreachable(f"Method {method} is not known")

    def _receive_push(self, push: pb.ZonePush, now: float) -> pb.ZonePushReply:
        before = self._table.revision
        if self._push_receiver.receive(push, now):
            self._lease.observe(push.lease_version)
            if self._table.revision != before:
                self._on_instances()
            age = self._push_receiver.reading_age_s(push, now)
            if push.revision > self._configuration.revision:
                work = start(self._catch_up_with_push(push, age, now))
                work.addErrback(log_failure(_log, "catching up failed"))
            elif age is not None:
                self._freshness.record_platform_reading(age, now)
        return self._push_receiver.reply(now)

    async def _catch_up_with_push(
        self, push: pb.ZonePush, age: float | None, received_at: float
    ) -> None:
        reader = self._membership.get(DaemonId(push.sender))
        address = reader.peer_address if reader else ""
        if await self._catch_up.catch_up(address, push.revision) and age is not None:
            now = self._clock.seconds()
            self._freshness.record_platform_reading(age + now - received_at, now)


__all__ = ["Handlers"]
