"""The zone reader's pushes: what to send to each member and what they mean there."""

import json
from collections import OrderedDict

from chivesaddle.core.ids import DaemonId
from chivesaddle.peers.exchange import to_ms
from chivesaddle.peers.instances import InstanceTable
from chivesaddle.peers.proto import peer_pb2 as pb

MAX_TOKENS = 8


class PushSender:
    """Builds pushes; remembers each member's last reply."""

    def __init__(self, sender: DaemonId, table: InstanceTable) -> None:
        self._sender = sender
        self._table = table
        self._replies_by_daemon_id: dict[DaemonId, pb.ZonePushReply] = {}

    def build(
        self,
        member: DaemonId,
        *,
        lease_version: int,
        revision: int,
        reading_age_s: float,
    ) -> pb.ZonePush:
        """Return the push for one member, with only what it does not have.

        A member whose revision is not known is sent nothing but the revision; its reply
        tells what it has. A complete list is megabytes for a large fleet.
        """
        reply = self._replies_by_daemon_id.get(member)
        base = reply.instances_revision if reply else self._table.revision
        changes = self._table.changes_since(base) if base else None
        if changes is None:
            base = 0
            changes = list(self._table.values_by_name.items())
        return pb.ZonePush(
            sender=self._sender,
            lease_version=lease_version,
            revision=revision,
            reading_age_ms=to_ms(reading_age_s),
            base_revision=base,
            instances_revision=self._table.revision,
            instances=[
                pb.Instance(
                    name=name,
                    value=b"" if value is None else json.dumps(value).encode(),
                )
                for name, value in changes
            ],
            echo=reply.token if reply else 0,
        )

    def record_reply(self, member: DaemonId, reply: pb.ZonePushReply) -> None:
        """Remember what a member has."""
        self._replies_by_daemon_id[member] = reply

    def forget(self, member: DaemonId) -> None:
        """Ask again what a member has; it did not answer."""
        self._replies_by_daemon_id.pop(member, None)


class PushReceiver:
    """Takes in pushes of the current zone reader."""

    def __init__(self, table: InstanceTable, first_token: int) -> None:
        self._table = table
        # Starts at a random number: a token of an earlier process must not be known.
        self._next_token = first_token
        self._issued_at_by_token: OrderedDict[int, float] = OrderedDict()
        self._lease_version = 0

    def receive(self, push: pb.ZonePush, now: float) -> bool:
        """Take in a push; False if it is of a reader that lost its lease."""
        if push.lease_version < self._lease_version:
            return False
        self._lease_version = push.lease_version
        changes = [
            (i.name, json.loads(i.value) if i.value else None) for i in push.instances
        ]
        if push.base_revision == 0:
            complete = {name: value for name, value in changes if value is not None}
            self._table.replace(push.instances_revision, complete)
        elif push.base_revision <= self._table.revision:
            self._table.update(push.instances_revision, changes)
        return True

    def reading_age_s(self, push: pb.ZonePush, now: float) -> float | None:
        """Return an upper bound on the age of the push's reading; None if unknown."""
        issued_at = self._issued_at_by_token.get(push.echo)
        if issued_at is None:
            return None
        return push.reading_age_ms / 1_000 + now - issued_at

    def reply(self, now: float) -> pb.ZonePushReply:
        """Return the reply with a new token."""
        token = self._next_token
        self._next_token += 1
        self._issued_at_by_token[token] = now
        if len(self._issued_at_by_token) > MAX_TOKENS:
            self._issued_at_by_token.popitem(last=False)
        return pb.ZonePushReply(instances_revision=self._table.revision, token=token)


__all__ = ["PushReceiver", "PushSender"]
