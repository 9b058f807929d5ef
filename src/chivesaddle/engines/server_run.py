"""Run of an answer at one server, which may be silent and go on later."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred, succeed

from chivesaddle.core.aio import Task
from chivesaddle.core.ids import BackendServerId
from chivesaddle.engines.stream import EngineStream


@dataclass(frozen=True)
class Target:
    """A backend server and its base URL."""

    server_id: BackendServerId
    url: str


@dataclass
class ServerRun:
    """The run of an answer at one server and the connection on which it is read.

    Attributes
    ----------
    target : Target
        The server.
    stream : EngineStream or None
        Stream of the run, once the headers of its response have arrived.
    opening : Task or None
        Request that the server has not answered yet, and that gives the stream.
    tokens_at_return : int or None
        Number of tokens of the answer when it last stayed at this server because no
        other one took it.
    """

    target: Target
    stream: EngineStream | None = None
    opening: Task[EngineStream] | None = None
    tokens_at_return: int | None = None
    is_given_up: bool = False

    @property
    def is_waiting(self) -> bool:
        """Whether the server may still go on, on a connection that is open."""
        if self.opening is not None:
            return self.goes_on or not self.opening.is_done
        return self.stream is not None and (
            self.stream.is_open or self.stream.has_events
        )

    @property
    def goes_on(self) -> bool:
        """Whether the server has sent something that was not read."""
        if self.opening is not None:
            return self.opening.has_succeeded
        return self.stream is not None and self.stream.has_events

    def when_ready(self) -> "Deferred[None]":
        """Return a Deferred that fires once the server goes on or has failed."""
        if self.opening is not None:
            return self.opening.ended()
        return succeed(None) if self.stream is None else self.stream.when_ready()

    async def open(self) -> EngineStream:
        """Return the stream, waiting for the headers of its response."""
        if self.opening is not None:
            opening, self.opening = self.opening, None
            self.stream = await opening.outcome()
        assert self.stream is not None
        return self.stream

    def replace_stream(self, stream: EngineStream) -> None:
        """Read the run from another connection; the one before is closed."""
        self.close()
        self.stream = stream

    def close(self) -> None:
        """Close the connection; the run itself goes on until it is cancelled."""
        opening, self.opening = self.opening, None
        if opening is not None:
            opening.cancel()
        if self.stream is not None:
            self.stream.close()


__all__ = ["ServerRun", "Target"]
