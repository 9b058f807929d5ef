"""Pushes of the zone reader to the daemons of its zone: building and applying them."""

import json
from collections import OrderedDict

from chivesaddle.core.ids import DaemonId
from chivesaddle.peers.exchange import to_ms
from chivesaddle.peers.instances import InstanceTable
from chivesaddle.peers.proto import peer_pb2 as pb

MAX_ISSUED_TOKENS = 8


class PushSender:
    """Builds pushes from each member's last reply."""

    def __init__(self, sender: DaemonId, instance_table: InstanceTable) -> None:
        self._sender = sender
        self._instance_table = instance_table
        self._replies_by_daemon_id: dict[DaemonId, pb.ZonePushReply] = {}

    def build(
        self,
        member: DaemonId,
        *,
        lease_version: int,
        revision: int,
        reading_age_s: float,
    ) -> pb.ZonePush:
        """Return the push for one member, with only the instances it lacks.

        If the member's revision is not known, the push contains no instances, because
        the complete list of a large fleet takes megabytes. The member's reply contains
        its revision, from which the next push is built.
        """
        reply = self._replies_by_daemon_id.get(member)
        base_revision = (
            reply.instances_revision if reply else self._instance_table.revision
        )
        changes = (
            self._instance_table.changes_since(base_revision) if base_revision else None
        )
        if changes is None:
            base_revision = 0
            changes = list(self._instance_table.values_by_name.items())
        return pb.ZonePush(
            sender=self._sender,
            lease_version=lease_version,
            revision=revision,
            reading_age_ms=to_ms(reading_age_s),
            base_revision=base_revision,
            instances_revision=self._instance_table.revision,
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
        """Store a member's reply, which contains the revision of its list."""
        self._replies_by_daemon_id[member] = reply

    def discard_reply(self, member: DaemonId) -> None:
        """Discard a member's last reply, because it did not respond."""
        self._replies_by_daemon_id.pop(member, None)


class PushReceiver:
    """Applies pushes from the current zone reader."""

    def __init__(self, instance_table: InstanceTable, first_token: int) -> None:
        self._instance_table = instance_table
        # The first token is random, so that a token issued before a restart is unknown.
        self._next_token = first_token
        self._issued_at_by_token: OrderedDict[int, float] = OrderedDict()
        self._lease_version = 0

    def receive(self, push: pb.ZonePush, now: float) -> bool:
        """Apply a push; False if its sender has lost the lease since."""
        if push.lease_version < self._lease_version:
            return False
        self._lease_version = push.lease_version
        changes = [
            (instance.name, json.loads(instance.value) if instance.value else None)
            for instance in push.instances
        ]
        if push.base_revision == 0:
            complete = {name: value for name, value in changes if value is not None}
            self._instance_table.replace(push.instances_revision, complete)
        elif push.base_revision <= self._instance_table.revision:
            self._instance_table.update(push.instances_revision, changes)
        return True

    def reading_age_s(self, push: pb.ZonePush, now: float) -> float | None:
        """Return an upper bound on the age of the push's platform reading, if known.

        A push may be buffered for any time before it is received. It was built after
        the token that it echoes was issued, so the time since then is an upper bound
        on the delay.
        """
        issued_at = self._issued_at_by_token.get(push.echo)
        if issued_at is None:
            return None
        return push.reading_age_ms / 1_000 + now - issued_at

    def reply(self, now: float) -> pb.ZonePushReply:
        """Return a reply with a new token."""
        token = self._next_token
        self._next_token += 1
        self._issued_at_by_token[token] = now
        if len(self._issued_at_by_token) > MAX_ISSUED_TOKENS:
            self._issued_at_by_token.popitem(last=False)
        return pb.ZonePushReply(
            instances_revision=self._instance_table.revision, token=token
        )


__all__ = ["PushReceiver", "PushSender"]
