"""A backend server that speaks the platform's protocol, with faults by switch.

Run ``python -m chivesaddle.standins.platform_server IP:PORT ID``. Its log of runs is
read at ``GET /control/runs``.
"""

import sys
from dataclasses import dataclass, field
from typing import Any

import msgspec

from chivesaddle.core.aio import install_reactor, sleep_until, start

WORK_S = 0.02
EVENT_PAUSE_S = 0.02
EVENTS = 8
SURPLUS = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"


class Faults(msgspec.Struct):
    """Switches of ``PUT /control/faults``; all off by default.

    Attributes
    ----------
    shed : bool
        Refuse requests without running them.
    lose_answer : bool
        Run requests and break off instead of answering.
    break_stream_after : int
        Break off streams after this many events; 0 never does.
    extra_answer : bool
        Send a second answer after each.
    mute : bool
        Run requests and never answer.
    """

    shed: bool = False
    lose_answer: bool = False
    break_stream_after: int = 0
    extra_answer: bool = False
    mute: bool = False


@dataclass(slots=True)
class PlatformServer:
    """Answers requests of daemons and remembers which it ran."""

    reactor: Any
    server_id: str
    faults: Faults = field(default_factory=Faults)
    runs: list[str] = field(default_factory=list)

    def handle(self, request: Any, responder: Any) -> None:
        """Answer one request."""
        target = request.target.decode()
        if target == "/control/runs":
            responder.answer(200, msgspec.json.encode(self.runs))
        elif target == "/control/faults":
            self.faults = msgspec.json.decode(request.body, type=Faults)
            responder.answer(200)
        else:
            work = start(self._run(request, responder))
            responder.gone.addCallback(lambda _: work.cancel())
            work.addErrback(lambda failure: None)

    async def _run(self, request: Any, responder: Any) -> None:
        request_id = request.headers.get("x-chivesaddle-attempt-identifier") or ""
        identity = [(b"x-chivesaddle-attempt-identifier", request_id.encode())]
        expected = request.headers.get("x-chivesaddle-expected-instance")
        if expected not in (None, self.server_id):
            answered_by = (b"x-chivesaddle-instance", self.server_id.encode())
            responder.answer(421, b"", [*identity, answered_by])
            return
        if self.faults.shed:
            not_run = (b"x-chivesaddle-not-executed", b"1")
            responder.answer(503, b"", [*identity, not_run])
            return
        # A request without an id is told by its target, so that it can be traced.
        self.runs.append(request_id or f"{request.method!r} {request.target!r}")
        await sleep_until(self.reactor, self.reactor.seconds() + WORK_S)
        if self.faults.mute:
            return
        if self.faults.lose_answer:
            responder.abort()
            return
        signed = [*identity, (b"x-chivesaddle-server-signature", b"stand-in")]
        if request.target.startswith(b"/stream"):
            await self._stream(request, responder, signed)
        else:
            body = request_id.encode() + b":" + request.body
            responder.answer(200, body, signed)
            if self.faults.extra_answer:
                responder.connection.transport.write(SURPLUS)

    async def _stream(self, request: Any, responder: Any, headers: Any) -> None:
        first = int(request.headers.get("last-event-id") or 0) + 1
        responder.start(200, b"OK", headers)
        for number in range(first, EVENTS + 1):
            if 0 < self.faults.break_stream_after < number:
                responder.abort()
                return
            responder.write(f"id: {number}\ndata: {number}\n\n".encode())
            await sleep_until(self.reactor, self.reactor.seconds() + EVENT_PAUSE_S)
        responder.finish()


def main(address: str, server_id: str) -> None:
    """Serve until the process is ended."""
    install_reactor()
    from twisted.internet import reactor as installed

    from chivesaddle.http1 import listen

    reactor: Any = installed
    listen(reactor, address, PlatformServer(reactor, server_id).handle)
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2])


__all__ = ["Faults", "PlatformServer", "main"]
