"""HTTP server of the fake model engine."""

import json
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.server import Request

from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import ChivesaddleError, InvalidValue
from chivesaddle.standins.blocks import render_chat
from chivesaddle.standins.connections import close
from chivesaddle.standins.engine_core import (
    Completion,
    EngineConfig,
    EngineCore,
    Stream,
    StreamState,
)
from chivesaddle.standins.engine_models import LoadedModels
from chivesaddle.standins.engine_transfers import BlockTransfers
from chivesaddle.standins.errors import NoResponse
from chivesaddle.standins.faults import EngineFaults
from chivesaddle.standins.http_server import (
    FakeServer,
    HttpResponse,
    header,
    query_integer,
    read_json,
    required_field,
)
from chivesaddle.standins.weights import fetch_weights

DEFAULT_MAX_TOKENS = 16


class FakeEngine(FakeServer):
    """HTTP server of an engine.

    Parameters
    ----------
    on_crash : callable
        Called to end the process.
    weights_url : str
        Weight store that ordered versions are read from; if empty, versions are loaded
        without reading any weights.
    """

    fault_type = EngineFaults
    faults: EngineFaults

    def __init__(
        self,
        clock: Clock,
        config: EngineConfig,
        models: LoadedModels,
        *,
        on_crash: Callable[[], None],
        weights_url: str = "",
    ) -> None:
        super().__init__(clock)
        self.core = EngineCore(clock, config, models, on_crash)
        self.transfers = BlockTransfers(self.core)
        self._weights_url = weights_url
        self.apply_faults()
        self.add_route("/v1/completions", "POST", self._complete)
        self.add_route("/v1/chat/completions", "POST", self._chat)
        self.add_route("/v1/streams/<request_id>", "GET", self._resume)
        self.add_route("/v1/streams/<request_id>", "DELETE", self._cancel)
        self.add_route("/load", "GET", self._load)
        self.add_route("/events", "GET", self._events)
        self.add_route("/blocks", "GET", self._blocks)
        self.add_route("/kv/imports", "POST", self._stage_import)
        self.add_route("/kv/imports/<import_id>/commit", "POST", self._commit_import)
        self.add_route("/kv/imports/<import_id>", "DELETE", self._discard_import)
        self.add_route("/kv/exports", "POST", self._export_blocks)
        self.add_route("/orders", "POST", self._apply_order)
        self.add_route("/state", "GET", self._state)
        self._add_control_route("/control/evict", "POST", self._evict)

    def apply_faults(self) -> None:
        """Pass the fault switches to the state machine."""
        self.core.set_faults(self.faults)

    def extra_counters(self) -> dict[str, int]:
        """Return token, request and transfer counters."""
        cached = {"cached_blocks": len(self.core.cache)}
        return {**self.core.counters, **self.transfers.counters, **cached}

    async def _complete(self, request: Request) -> HttpResponse | None:
        body = read_json(request)
        completion = _parse_completion(
            body, required_field(body, "prompt", str), chat=False
        )
        return await self._respond(request, body, completion)

    async def _chat(self, request: Request) -> HttpResponse | None:
        body = read_json(request)
        prompt = render_chat(required_field(body, "messages", list))
        return await self._respond(
            request, body, _parse_completion(body, prompt, chat=True)
        )

    async def _respond(
        self, request: Request, body: dict[str, Any], completion: Completion
    ) -> HttpResponse | None:
        stream = self.core.submit(completion)
        if self.faults.swap_next:
            stream = self._swap_stream(stream)
        if body.get("stream", False):
            await self._send_stream(request, stream, stream.first_index)
            return None
        while not stream.has_ended:
            await stream.changed.wait()
        if stream.state is StreamState.CANCELLED:
            raise NoResponse
        text = "".join(stream.tokens)
        choice = {
            "index": 0,
            "finish_reason": "length",
            **_text_fields(stream, text, "message"),
        }
        return HttpResponse(
            {**_common_fields(stream), "choices": [choice], "usage": stream.usage()}
        )

    def _swap_stream(self, stream: Stream) -> Stream:
        for other in self.core.streams_by_id.values():
            if other is not stream and other.state is not StreamState.CANCELLED:
                self.faults.consume("swap_next")
                return other
        return stream

    async def _resume(self, request: Request, request_id: str) -> None:
        salt = header(request, "X-Cache-Salt")
        stream = self.core.find_stream(request_id, salt)
        after = query_integer(request, "after", 0)
        if after < stream.first_index:
            raise InvalidValue(
                f"after={after} is below the first token's index, {stream.first_index}",
                field="after",
            )
        await self._send_stream(request, stream, after)

    async def _send_stream(self, request: Request, stream: Stream, index: int) -> None:
        cut_index = self._fault_index("cut", index)
        stall_index = self._fault_index("stall", index)
        started = False
        while True:
            await self._wait_while_frozen()
            if index == cut_index:
                close(request.transport)
                # Waits forever, as nothing fires this Deferred.
                await Deferred()
            if index == stall_index:
                await Deferred()
            if index < stream.end_index:
                started = started or _start_event_stream(request)
                text = stream.tokens[index - stream.first_index]
                request.write(_sse_event(_token_chunk(stream, index, text)))
                index += 1
            elif stream.state is StreamState.FINISHED:
                if not started:
                    _start_event_stream(request)
                request.write(_sse_event(_final_chunk(stream)) + b"data: [DONE]\n\n")
                return
            elif stream.state is StreamState.CANCELLED:
                raise NoResponse
            else:
                await stream.changed.wait()

    def _fault_index(self, fault: str, index: int) -> int | None:
        if not self.faults.consume(f"{fault}_next"):
            return None
        tokens: int = getattr(self.faults, f"{fault}_after_tokens")
        return index + tokens

    async def _cancel(self, request: Request, request_id: str) -> HttpResponse:
        self.core.cancel(request_id, header(request, "X-Cache-Salt"))
        return HttpResponse({})

    async def _load(self, request: Request) -> HttpResponse:
        return HttpResponse(self.core.load())

    async def _events(self, request: Request) -> HttpResponse:
        return HttpResponse(self.core.events.after(query_integer(request, "after", 0)))

    async def _blocks(self, request: Request) -> HttpResponse:
        keys = self.core.cache.block_keys()
        return HttpResponse({"seq": self.core.events.seq, "block_keys": keys})

    async def _stage_import(self, request: Request) -> HttpResponse:
        body = read_json(request)
        blocks = await self.transfers.stage(
            required_field(body, "import_id", str),
            required_field(body, "source", str),
            required_field(body, "cache_salt", str),
            required_field(body, "block_keys", list),
        )
        return HttpResponse({"blocks": blocks})

    async def _commit_import(self, request: Request, import_id: str) -> HttpResponse:
        return HttpResponse({"blocks": self.transfers.commit(import_id)})

    async def _discard_import(self, request: Request, import_id: str) -> HttpResponse:
        self.transfers.discard(import_id)
        return HttpResponse({})

    async def _export_blocks(self, request: Request) -> HttpResponse:
        body = read_json(request)
        blocks = await self.transfers.export(
            required_field(body, "target", str),
            required_field(body, "cache_salt", str),
            required_field(body, "block_keys", list),
        )
        return HttpResponse({"blocks": blocks})

    async def _apply_order(self, request: Request) -> HttpResponse:
        order = read_json(request)
        fencing_token = required_field(order, "fence", int)
        required_field(order, "order", str)
        models = self.core.models
        models.check_fencing_token(fencing_token, self.faults.ignore_fence)
        self.counters["orders"] += 1
        if self._weights_url and order["order"] in ("load_model", "load_version"):
            model = required_field(order, "model", str)
            version = str(order.get("version") or order.get("weight_version"))
            if version not in models.versions_by_model.get(model, []):
                await fetch_weights(self._weights_url, model, version)
        delay_s = self.faults.order_delay_s
        ignores_fence = self.faults.ignore_fence

        def apply() -> None:
            # A later order may have been accepted during the delay.
            models.check_fencing_token(fencing_token, ignores_fence)
            models.apply(order)

        completed = self.run_despite_disconnect(delay_s, apply)
        if delay_s:
            completed.addErrback(self._count_dropped_order)
        else:
            await completed
        return HttpResponse({"accepted": True, "fence": models.highest_fencing_token})

    def _count_dropped_order(self, failure: Failure) -> None:
        failure.trap(ChivesaddleError)
        self.counters["dropped_orders"] += 1

    async def _state(self, request: Request) -> HttpResponse:
        return HttpResponse(self.core.models.to_json())

    async def _evict(self, request: Request) -> HttpResponse:
        return HttpResponse(
            {"evicted": self.core.cache.evict(read_json(request).get("salt"))}
        )


def _parse_completion(body: dict[str, Any], prompt: str, *, chat: bool) -> Completion:
    max_tokens = body.get("max_tokens") or body.get("max_completion_tokens")
    max_tokens = DEFAULT_MAX_TOKENS if max_tokens is None else max_tokens
    if not isinstance(max_tokens, int) or max_tokens < 1:
        raise InvalidValue(
            f"max_tokens is {max_tokens!r}, not a positive integer", field="max_tokens"
        )
    return Completion(
        request_id=required_field(body, "request_id", str),
        model=required_field(body, "model", str),
        prompt=prompt,
        chat=chat,
        max_tokens=max_tokens,
        weight_version=body.get("weight_version") or "",
        adapter=body.get("adapter") or "",
        cache_salt=body.get("cache_salt") or "",
        priority=body.get("priority") or 0,
        resume_text=body.get("resume_text") or "",
    )


def _start_event_stream(request: Request) -> bool:
    request.setHeader("Content-Type", "text/event-stream")
    request.setHeader("Cache-Control", "no-cache")
    return True


def _sse_event(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def _common_fields(stream: Stream, *, chunk: bool = False) -> dict[str, Any]:
    chat = stream.completion.chat
    kind = "chat.completion" if chat else "text_completion"
    return {
        "id": stream.completion.request_id,
        "object": f"{kind}.chunk" if chat and chunk else kind,
        "created": 0,
        "model": stream.completion.model,
    }


def _text_fields(stream: Stream, text: str, field: str) -> dict[str, Any]:
    if stream.completion.chat:
        return {field: {"role": "assistant", "content": text}}
    return {"text": text}


def _token_chunk(stream: Stream, index: int, text: str) -> dict[str, Any]:
    choice = {"index": 0, "finish_reason": None, **_text_fields(stream, text, "delta")}
    return {
        **_common_fields(stream, chunk=True),
        "choices": [choice],
        "token_index": index,
    }


def _final_chunk(stream: Stream) -> dict[str, Any]:
    chunk = _token_chunk(stream, stream.end_index, "")
    chunk["choices"][0]["finish_reason"] = "length"
    if stream.completion.chat:
        chunk["choices"][0]["delta"] = {}
    return {**chunk, "usage": stream.usage()}


__all__ = ["FakeEngine"]
