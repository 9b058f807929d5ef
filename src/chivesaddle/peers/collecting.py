"""Answers gathered from the whole fleet; a daemon that did not answer is named."""

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

# Leaves time for others within an operator's deadline when many peers are silent.
PER_PEER_S = 2.0
# Bounds the open calls of one question.
MAX_CONCURRENT = 64


@dataclass(frozen=True)
class FleetAnswer(Generic[T]):
    """What the fleet answered.

    Attributes
    ----------
    answers_by_daemon_id : dict
        Answers, the own one included.
    missing_by_daemon_id : dict
        Daemons that did not answer, with the reason.
    """

    answers_by_daemon_id: dict[DaemonId, T] = field(default_factory=dict)
    missing_by_daemon_id: dict[DaemonId, str] = field(default_factory=dict)


async def collect(
    clock: Clock,
    peers: list[Member],
    ask: Callable[[Member, float], Awaitable[T]],
    deadline: float,
) -> FleetAnswer[T]:
    """Ask all peers at once and return by ``deadline``.

    Each peer has `PER_PEER_S` seconds; one that is not asked in time is missing too.
    """
    answer: FleetAnswer[T] = FleetAnswer()
    semaphore = DeferredSemaphore(MAX_CONCURRENT)

    async def ask_one(peer: Member) -> None:
        await semaphore.acquire()
        try:
            now = clock.seconds()
            if now >= deadline:
                raise PeerUnreachable("The deadline passed before it was asked")
            peer_deadline = min(deadline, now + PER_PEER_S)
            answer.answers_by_daemon_id[peer.id] = await ask(peer, peer_deadline)
        except ChivesaddleError as error:
            answer.missing_by_daemon_id[peer.id] = error.message
        # An answer that cannot be read is as good as none.
        except (ValueError, KeyError, TypeError) as error:
            answer.missing_by_daemon_id[peer.id] = f"Unreadable answer: {error!r}"
        finally:
            semaphore.release()

    await DeferredList([start(ask_one(peer)) for peer in peers])
    return answer


@dataclass(frozen=True)
class CollectedEvents:
    """Events of the fleet in order, and the daemons whose events are missing."""

    events: tuple[Event, ...]
    missing_by_daemon_id: dict[DaemonId, str]


def merge_events(
    answer: FleetAnswer[list[Event]], wanted: EventFilter
) -> CollectedEvents:
    """Return the last ``wanted.limit`` events of all daemons, oldest first."""
    events = [e for part in answer.answers_by_daemon_id.values() for e in part]
    events.sort(key=lambda event: (event.at, event.daemon))
    return CollectedEvents(tuple(events[-wanted.limit :]), answer.missing_by_daemon_id)


def filter_to_message(wanted: EventFilter) -> pb.EventsRequest:
    """Return the message for an event filter."""
    # The lowest timestamp has the counter -1, which the message expresses by absence.
    after = None
    if wanted.after.counter >= 0:
        after = pb.Stamp(wall_us=wanted.after.wall_us, counter=wanted.after.counter)
    return pb.EventsRequest(
        request=wanted.request,
        account=wanted.account,
        object=wanted.object,
        after=after,
        limit=wanted.limit,
    )


def filter_from_message(message: pb.EventsRequest) -> EventFilter:
    """Return the event filter of a message."""
    after = Timestamp(0, -1)
    if message.HasField("after"):
        after = Timestamp(message.after.wall_us, message.after.counter)
    return EventFilter(
        message.request, message.account, message.object, after, message.limit
    )


def events_to_message(events: list[Event]) -> pb.Events:
    """Return the message for events."""
    return pb.Events(event=[json.dumps(e.to_json()).encode() for e in events])


def events_from_message(message: pb.Events) -> list[Event]:
    """Return the events of a message."""
    return [Event.from_json(json.loads(event)) for event in message.event]


def status_from_message(message: pb.Status) -> dict[str, Any]:
    """Return the status of a message."""
    return json.loads(message.status)


__all__ = [
    "CollectedEvents",
    "FleetAnswer",
    "collect",
    "events_from_message",
    "events_to_message",
    "filter_from_message",
    "filter_to_message",
    "merge_events",
    "status_from_message",
]
