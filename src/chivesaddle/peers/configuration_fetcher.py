"""Fetching of missing configuration changes from another daemon."""

from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.peers.channels import Channels, PeerUnreachable
from chivesaddle.peers.ports import ConfigurationPort
from chivesaddle.peers.proto import peer_pb2 as pb

GET_CHANGES_TIMEOUT_S = 2.0

_log = ComponentLogger("peers")


class ConfigurationFetcher:
    """Fetches missing configuration changes; one fetch runs at a time."""

    def __init__(
        self, clock: Clock, channels: Channels, configuration: ConfigurationPort
    ) -> None:
        self._clock = clock
        self._channels = channels
        self._configuration = configuration
        self._is_fetching = False

    async def fetch_up_to(self, address: str, target_revision: int) -> bool:
        """Fetch changes up to a revision from a peer, else from the platform.

        Returns whether the revision is in effect now; False if a fetch is running.
        """
        if self._is_fetching:
            return False
        self._is_fetching = True
        try:
            await self._get_changes(address)
            if self._configuration.revision < target_revision:
                await self._configuration.refresh()
        except ChivesaddleError as error:
            _log.warning(
                "could not fetch configuration revision %d: %s", target_revision, error
            )
        finally:
            self._is_fetching = False
        return self._configuration.revision >= target_revision

    async def _get_changes(self, address: str) -> None:
        request = pb.ChangesRequest(after=self._configuration.revision)
        deadline = self._clock.seconds() + GET_CHANGES_TIMEOUT_S
        try:
            response = await self._channels.call(
                address, "GetChanges", request, deadline=deadline
            )
        except PeerUnreachable as error:
            _log.warning("%s", error.message)
        else:
            self._configuration.apply(list(response.change))


__all__ = ["ConfigurationFetcher"]
