"""Stand-in of the platform's store: ``python3 platform_store.py IP:PORT``.

Objects by kind and name with one revision counter, conditional writes and watches, as
`PROTOCOL.md` tells them. It loses nothing and answers every call.
"""

import asyncio
import json
import sys
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import wire

Reply = tuple[int, Any]


class Store:
    """The objects, and the history of their changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any]]] = []
        self.changed = asyncio.Condition()

    async def _record(self, kind: str, item: dict[str, Any], deleted: bool) -> None:
        event = {"object": json.loads(json.dumps(item)), "deleted": deleted}
        self.history.append((self.revision, kind, event))
        async with self.changed:
            self.changed.notify_all()

    async def list_or_watch(self, kind: str, query: dict[str, str]) -> Reply:
        """List a kind, or wait for its changes."""
        if "watch" not in query:
            after = query.get("after", "")
            names = sorted(n for k, n in self.objects if k == kind and n > after)
            items = [self.objects[kind, name] for name in names[:500]]
            body = {"items": items, "more": len(names) > 500, "at": self.revision}
            return 200, body
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("wait_ms", "0")) / 1_000
        while True:
            events = [e for at, k, e in self.history if k == kind and at > since]
            left = until - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    async def put(
        self, kind: str, name: str, body: dict[str, Any], creates: bool
    ) -> Reply:
        """Create or replace an object."""
        known = self.objects.get((kind, name))
        metadata = body.get("metadata") or {}
        if known is not None and creates:
            return 409, known
        if known is None and not creates:
            return 404, {}
        expected = metadata.get("revision")
        if known is not None and expected and expected != known["metadata"]["revision"]:
            return 409, known
        value = body.get("specification")
        if known is not None and known["specification"] == value:
            return 200, known
        self.revision += 1
        created = known["metadata"]["created_rev"] if known else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created_rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "specification": value,
            "status": None,
        }
        self.objects[kind, name] = item
        await self._record(kind, item, False)
        return 200, item

    async def delete(self, kind: str, name: str, query: dict[str, str]) -> Reply:
        """Remove an object."""
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        expected = query.get("revision")
        if expected and int(expected) != known["metadata"]["revision"]:
            return 409, known
        del self.objects[kind, name]
        self.revision += 1
        await self._record(kind, known, True)
        return 200, {}

    async def answer(self, request: wire.Message) -> Reply:
        """Return status and body of the response to a call."""
        parts = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.split("/") if part]
        if len(path) < 2 or path[0] != "objects":
            return 404, {}
        kind, name = path[1], path[2] if len(path) > 2 else None
        body = json.loads(request.body) if request.body else {}
        if request.method == "GET" and name is None:
            return await self.list_or_watch(kind, query)
        if request.method == "GET":
            known = self.objects.get((kind, name or ""))
            return (404, {}) if known is None else (200, known)
        if request.method == "POST":
            return await self.put(kind, body["metadata"]["name"], body, True)
        if request.method == "PUT":
            return await self.put(kind, name or "", body, False)
        return await self.delete(kind, name or "", query)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        try:
            while (request := await wire.read_head(reader)) is not None:
                await wire.read_body(reader, request)
                status, body = await self.answer(request)
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                text = json.dumps(body).encode()
                writer.write(wire.encode_response(status, headers, text))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


async def main(address: str) -> None:
    """Serve until the process is killed."""
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(Store().serve, host, int(port))
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
