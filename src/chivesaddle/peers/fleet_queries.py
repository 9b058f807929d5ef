"""Queries to all daemons; the result lists the daemons that did not respond."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

from twisted.internet.defer import DeferredList, DeferredSemaphore

from chivesaddle.core.aio import Clock, start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.events import Event, EventFilter, Timestamp
from chivesaddle.core.ids import DaemonId
from chivesaddle.peers.channels import PeerUnreachable
from chivesaddle.peers.membership import Member
from chivesaddle.peers.proto import peer_pb2 as pb

T = TypeVar("T")

# Leaves time for the remaining peers within the deadline of an operator's request
# when many peers do not respond.
PEER_TIMEOUT_S = 2.0
# Concurrent calls of one query.
MAX_CONCURRENT_CALLS = 64


@dataclass(frozen=True)
class FleetResponse(Generic[T]):
    """Responses of the fleet to one query.

    Attributes
    ----------
    responses_by_daemon_id : dict
        Responses, including that of this daemon.
    missing_by_daemon_id : dict
        Daemons without a usable response, with the reason.
    """

    responses_by_daemon_id: dict[DaemonId, T] = field(default_factory=dict)
    missing_by_daemon_id: dict[DaemonId, str] = field(default_factory=dict)


async def query_peers(
    clock: Clock,
    peers: list[Member],
    call_peer: Callable[[Member, float], Awaitable[T]],
    deadline: float,
) -> FleetResponse[T]:
    """Query all peers concurrently and return by ``deadline``.

    Each call has `PEER_TIMEOUT_S`. A peer that was not called before ``deadline`` is
    listed as missing.
    """
    response: FleetResponse[T] = FleetResponse()
    semaphore = DeferredSemaphore(MAX_CONCURRENT_CALLS)

    async def query_one(peer: Member) -> None:
        await semaphore.acquire()
        try:
            now = clock.seconds()
            if now >= deadline:
                raise PeerUnreachable("The deadline passed before the peer was called")
            peer_deadline = min(deadline, now + PEER_TIMEOUT_S)
            response.responses_by_daemon_id[peer.id] = await call_peer(
                peer, peer_deadline
            )
        except ChivesaddleError as error:
            response.missing_by_daemon_id[peer.id] = error.message
        # The response could not be decoded.
        except (ValueError, KeyError, TypeError) as error:
            response.missing_by_daemon_id[peer.id] = f"Malformed response: {error!r}"
        finally:
            semaphore.release()

    await DeferredList([start(query_one(peer)) for peer in peers])
    return response


@dataclass(frozen=True)
class CollectedEvents:
    """Events of the fleet in time order, and the daemons whose events are missing."""

    events: tuple[Event, ...]
    missing_by_daemon_id: dict[DaemonId, str]


def merge_events(
    response: FleetResponse[list[Event]], event_filter: EventFilter
) -> CollectedEvents:
    """Return the last ``event_filter.limit`` events of all daemons, oldest first."""
    events = [e for part in response.responses_by_daemon_id.values() for e in part]
    events.sort(key=lambda event: (event.at, event.daemon))
    return CollectedEvents(
        tuple(events[-event_filter.limit :]), response.missing_by_daemon_id
    )


def filter_to_message(event_filter: EventFilter) -> pb.EventsRequest:
    """Encode an event filter."""
    # The lowest timestamp has the counter -1; in the message, the field is absent then.
    after = None
    if event_filter.after.counter >= 0:
        after = pb.Stamp(
            wall_us=event_filter.after.wall_us, counter=event_filter.after.counter
        )
    return pb.EventsRequest(
        request=event_filter.request,
        account=event_filter.account,
        object=event_filter.object,
        after=after,
        limit=event_filter.limit,
    )


def filter_from_message(message: pb.EventsRequest) -> EventFilter:
    """Decode an event filter."""
    after = Timestamp(0, -1)
    if message.HasField("after"):
        after = Timestamp(message.after.wall_us, message.after.counter)
    return EventFilter(
        message.request, message.account, message.object, after, message.limit
    )


def events_to_message(events: list[Event]) -> pb.Events:
    """Encode events."""
    return pb.Events(event=[json.dumps(e.to_json()).encode() for e in events])


def events_from_message(message: pb.Events) -> list[Event]:
    """Decode events."""
    return [Event.from_json(json.loads(event)) for event in message.event]


def status_from_message(message: pb.Status) -> dict[str, Any]:
    """Decode a daemon's status."""
    return json.loads(message.status)


__all__ = [
    "CollectedEvents",
    "FleetResponse",
    "events_from_message",
    "events_to_message",
    "filter_from_message",
    "filter_to_message",
    "merge_events",
    "query_peers",
    "status_from_message",
]
