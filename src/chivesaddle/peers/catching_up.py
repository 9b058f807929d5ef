"""Getting configuration changes that another daemon has already."""

from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.logs import PartLogger
from chivesaddle.peers.channels import Channels, PeerUnreachable
from chivesaddle.peers.ports import ConfigurationPort
from chivesaddle.peers.proto import peer_pb2 as pb

CATCH_UP_WITHIN_S = 2.0

_log = PartLogger("peers")


class CatchUp:
    """Gets changes from one daemon at a time."""

    def __init__(
        self, clock: Clock, channels: Channels, configuration: ConfigurationPort
    ) -> None:
        self._clock = clock
        self._channels = channels
        self._configuration = configuration
        self._catching_up = False

    async def catch_up(self, address: str, wanted: int) -> bool:
        """Get the changes up to a revision from a peer, else from the platform."""
        if self._catching_up:
            return False
        self._catching_up = True
        try:
            await self._get_changes(address)
            if self._configuration.revision < wanted:
                await self._configuration.refresh()
        except ChivesaddleError as error:
            _log.warning("revision %d not fetched: %s", wanted, error)
        finally:
            self._catching_up = False
        return self._configuration.revision >= wanted

    async def _get_changes(self, address: str) -> None:
        request = pb.ChangesRequest(after=self._configuration.revision)
        deadline = self._clock.seconds() + CATCH_UP_WITHIN_S
        try:
            found = await self._channels.call(
                address, "GetChanges", request, deadline=deadline
            )
        except PeerUnreachable as error:
            _log.warning("%s", error.message)
        else:
            self._configuration.apply(list(found.change))


__all__ = ["CatchUp"]
