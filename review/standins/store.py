"""Stand-in of the platform's store: ``python3 store.py IP:PORT``.

Objects by kind and name with one revision counter, conditional writes, lists and
watches. ``/control/copy`` takes a copy; ``/control/drill?away_ms=N`` makes the store go
away for a moment and come back from that copy, one era later.
"""

import asyncio
import json
import sys
from dataclasses import dataclass
from typing import Any

from httpio import Broken, Message, encode_response, read_message

# Values of other writers may be nested deeply.
sys.setrecursionlimit(100_000)
PAGE_ITEMS = 500
MAX_WAIT_MS = 30_000


@dataclass
class State:
    """Everything that a copy of the store holds."""

    objects: dict[tuple[str, str], dict[str, Any]]
    events: list[tuple[int, str, dict[str, Any], bool]]
    revision: int = 1
    first_revision: int = 1


def copied(state: State) -> State:
    """Return a copy; objects are replaced and never changed, so they are shared."""
    return State(
        dict(state.objects), list(state.events), state.revision, state.first_revision
    )


class Store:
    """The store, with an operator's control calls."""

    def __init__(self) -> None:
        self.state = State({}, [])
        self.copy: State | None = None
        self.era = 1
        self.is_away = False
        self.changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                is_control = request.path.startswith("/control/")
                if is_control:
                    self.writers.discard(writer)
                elif self.is_away:
                    break
                status, value = await self.handle(request)
                if self.is_away and not is_control:
                    break
                headers = {"Store-Era": str(self.era)}
                body = json.dumps(value).encode()
                writer.write(encode_response(status, body, headers))
                await writer.drain()
        except (Broken, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request: Message) -> tuple[int, Any]:
        """Handle one call; return status and body."""
        parts = request.path.strip("/").split("/")
        if parts[0] == "control":
            return await self.control(parts[1], request)
        if parts[0] != "objects" or len(parts) < 2:
            return 404, {}
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        body = json.loads(request.body) if request.body else {}
        match request.method:
            case "GET" if name is None and "watch" in request.query:
                return await self.watch(kind, request.query)
            case "GET" if name is None:
                return self.list(kind, request.query.get("after", ""))
            case "GET":
                item = self.state.objects.get((kind, name))
                return (404, {}) if item is None else (200, item)
            case "POST":
                return self.create(kind, body)
            case "PUT" if name is not None:
                return self.replace(kind, name, body)
            case "DELETE" if name is not None:
                return self.delete(kind, name, request.query.get("revision"))
        return 405, {}

    async def control(self, action: str, request: Message) -> tuple[int, Any]:
        """Handle an operator's control call."""
        if action == "copy":
            self.copy = copied(self.state)
        elif action == "drill":
            assert self.copy is not None
            self.is_away = True
            for writer in list(self.writers):
                writer.transport.abort()
            await asyncio.sleep(int(request.query.get("away_ms", "0")) / 1_000)
            self.state = copied(self.copy)
            self.era += 1
            self.is_away = False
        return 200, {"era": self.era}

    def list(self, kind: str, after: str) -> tuple[int, Any]:
        """List a kind, page by page."""
        items = [
            self.state.objects[key]
            for key in sorted(self.state.objects)
            if key[0] == kind and key[1] > after
        ]
        page = items[:PAGE_ITEMS]
        more = len(items) > PAGE_ITEMS
        return 200, {"items": page, "more": more, "at": self.state.revision}

    async def watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        """Return the events of a kind after a revision, as soon as there is one."""
        after, era = int(query["watch"]), self.era
        wait_s = min(MAX_WAIT_MS, int(query.get("wait_ms", "0"))) / 1_000
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            if (
                after < self.state.first_revision - 1
                or after > self.state.revision
                or self.era != era
            ):
                return 410, {}
            events = [
                {"object": item, "deleted": is_deleted}
                for revision, event_kind, item, is_deleted in self.state.events
                if revision > after and event_kind == kind
            ]
            left_s = deadline - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.state.revision}
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), min(left_s, 0.5))
            except TimeoutError:
                continue

    def create(self, kind: str, body: dict[str, Any]) -> tuple[int, Any]:
        """Create an object."""
        name = body["metadata"]["name"]
        found = self.state.objects.get((kind, name))
        if found is not None:
            return 409, found
        return 201, self.put(kind, name, body.get("specification"), None)

    def replace(self, kind: str, name: str, body: dict[str, Any]) -> tuple[int, Any]:
        """Replace an object's value if it has the expected revision."""
        found = self.state.objects.get((kind, name))
        if found is None:
            return 404, {}
        expected = body.get("metadata", {}).get("revision")
        if expected is not None and expected != found["metadata"]["revision"]:
            return 409, found
        if body.get("specification") == found["specification"]:
            return 200, found
        return 200, self.put(kind, name, body.get("specification"), found)

    def delete(self, kind: str, name: str, expected: str | None) -> tuple[int, Any]:
        """Delete an object if it has the expected revision."""
        found = self.state.objects.get((kind, name))
        if found is None:
            return 404, {}
        if expected is not None and int(expected) != found["metadata"]["revision"]:
            return 409, found
        del self.state.objects[(kind, name)]
        self.record(kind, found, True)
        return 200, {}

    def put(self, kind: str, name: str, value: Any, found: Any) -> dict[str, Any]:
        """Store a value at the next revision."""
        revision = self.state.revision + 1
        created = found["metadata"]["created_rev"] if found else revision
        metadata = {
            "name": name,
            "revision": revision,
            "created_rev": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "specification": value, "status": None}
        self.state.objects[(kind, name)] = item
        self.record(kind, item, False)
        return item

    def record(self, kind: str, item: dict[str, Any], is_deleted: bool) -> None:
        """Record an event and wake the watches."""
        self.state.revision += 1
        self.state.events.append((self.state.revision, kind, item, is_deleted))
        self.changed.set()


async def main(address: str) -> None:
    """Serve until the process is stopped."""
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(Store().serve, host, int(port), backlog=512)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
