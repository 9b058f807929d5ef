"""HTTP shell of the model engine."""

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
from chivesaddle.standins.engine_transfers import Transfers
from chivesaddle.standins.errors import AnswerLost
from chivesaddle.standins.faults import EngineFaults
from chivesaddle.standins.shell import (
    Answer,
    Shell,
    field_of,
    header,
    query_number,
    read_json,
)
from chivesaddle.standins.weights import fetch_weights

DEFAULT_MAX_TOKENS = 16


class EngineShell(Shell):
    """HTTP routes of an engine.

    Parameters
    ----------
    on_crash : callable
        Ends the process.
    weights_url : str
        Weight store from which ordered versions are read; empty to load at once.
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
        self.transfers = Transfers(self.core)
        self._weights_url = weights_url
        self.apply_faults()
        self.route("/v1/completions", "POST", self._complete)
        self.route("/v1/chat/completions", "POST", self._chat)
        self.route("/v1/streams/<request_id>", "GET", self._resume)
        self.route("/v1/streams/<request_id>", "DELETE", self._cancel)
        self.route("/load", "GET", self._load)
        self.route("/events", "GET", self._events)
        self.route("/blocks", "GET", self._blocks)
        self.route("/kv/imports", "POST", self._stage)
        self.route("/kv/imports/<import_id>/commit", "POST", self._commit)
        self.route("/kv/imports/<import_id>", "DELETE", self._discard)
        self.route("/kv/exports", "POST", self._export)
        self.route("/orders", "POST", self._order)
        self.route("/state", "GET", self._state)
        self._control("/control/evict", "POST", self._evict)

    def apply_faults(self) -> None:
        """Pass the switches to the state machine."""
        self.core.set_faults(self.faults)

    def extra_counters(self) -> dict[str, int]:
        """Return token, request and transfer counters."""
        cached = {"cached_blocks": len(self.core.cache)}
        return {**self.core.counters, **self.transfers.counters, **cached}

    async def _complete(self, request: Request) -> Answer | None:
        body = read_json(request)
        completion = _completion(body, field_of(body, "prompt", str), chat=False)
        return await self._answer(request, body, completion)

    async def _chat(self, request: Request) -> Answer | None:
        body = read_json(request)
        prompt = render_chat(field_of(body, "messages", list))
        return await self._answer(request, body, _completion(body, prompt, chat=True))

    async def _answer(
        self, request: Request, body: dict[str, Any], completion: Completion
    ) -> Answer | None:
        stream = self.core.submit(completion)
        if self.faults.swap_next:
            stream = self._swapped(stream)
        if body.get("stream", False):
            await self._send_stream(request, stream, stream.first_index)
            return None
        while not stream.is_over:
            await stream.changed.wait()
        if stream.state is StreamState.CANCELLED:
            raise AnswerLost
        text = "".join(stream.tokens)
        choice = {
            "index": 0,
            "finish_reason": "length",
            **_text(stream, text, "message"),
        }
        return Answer({**_head(stream), "choices": [choice], "usage": stream.usage()})

    def _swapped(self, stream: Stream) -> Stream:
        for other in self.core.streams_by_id.values():
            if other is not stream and other.state is not StreamState.CANCELLED:
                self.faults.use("swap_next")
                return other
        return stream

    async def _resume(self, request: Request, request_id: str) -> None:
        salt = header(request, "X-Cache-Salt")
        stream = self.core.find_stream(request_id, salt)
        after = query_number(request, "after", 0)
        if after < stream.first_index:
            raise InvalidValue(
                f"after={after} is before the first token {stream.first_index}",
                field="after",
            )
        await self._send_stream(request, stream, after)

    async def _send_stream(self, request: Request, stream: Stream, index: int) -> None:
        cut_at = self._stop_index("cut", index)
        stall_at = self._stop_index("stall", index)
        started = False
        while True:
            await self._wait_until_thawed()
            if index == cut_at:
                close(request.transport)
                await Deferred()
            if index == stall_at:
                await Deferred()
            if index < stream.end_index:
                started = started or _start_events(request)
                text = stream.tokens[index - stream.first_index]
                request.write(_event(_chunk(stream, index, text)))
                index += 1
            elif stream.state is StreamState.FINISHED:
                if not started:
                    _start_events(request)
                request.write(_event(_last_chunk(stream)) + b"data: [DONE]\n\n")
                return
            elif stream.state is StreamState.CANCELLED:
                raise AnswerLost
            else:
                await stream.changed.wait()

    def _stop_index(self, fault: str, index: int) -> int | None:
        if not self.faults.use(f"{fault}_next"):
            return None
        tokens: int = getattr(self.faults, f"{fault}_after_tokens")
        return index + tokens

    async def _cancel(self, request: Request, request_id: str) -> Answer:
        self.core.cancel(request_id, header(request, "X-Cache-Salt"))
        return Answer({})

    async def _load(self, request: Request) -> Answer:
        return Answer(self.core.load())

    async def _events(self, request: Request) -> Answer:
        return Answer(self.core.events.after(query_number(request, "after", 0)))

    async def _blocks(self, request: Request) -> Answer:
        keys = self.core.cache.block_keys()
        return Answer({"seq": self.core.events.seq, "block_keys": keys})

    async def _stage(self, request: Request) -> Answer:
        body = read_json(request)
        blocks = await self.transfers.stage(
            field_of(body, "import_id", str),
            field_of(body, "source", str),
            field_of(body, "cache_salt", str),
            field_of(body, "block_keys", list),
        )
        return Answer({"blocks": blocks})

    async def _commit(self, request: Request, import_id: str) -> Answer:
        return Answer({"blocks": self.transfers.commit(import_id)})

    async def _discard(self, request: Request, import_id: str) -> Answer:
        self.transfers.discard(import_id)
        return Answer({})

    async def _export(self, request: Request) -> Answer:
        body = read_json(request)
        blocks = await self.transfers.export(
            field_of(body, "target", str),
            field_of(body, "cache_salt", str),
            field_of(body, "block_keys", list),
        )
        return Answer({"blocks": blocks})

    async def _order(self, request: Request) -> Answer:
        order = read_json(request)
        fence = field_of(order, "fence", int)
        field_of(order, "order", str)
        models = self.core.models
        models.check_fence(fence, self.faults.ignore_fence)
        self.counters["orders"] += 1
        if self._weights_url and order["order"] in ("load_model", "load_version"):
            model = field_of(order, "model", str)
            version = str(order.get("version") or order.get("weight_version"))
            if version not in models.versions_by_model.get(model, []):
                await fetch_weights(self._weights_url, model, version)
        delay_s = self.faults.order_delay_s
        ignores_fence = self.faults.ignore_fence

        def apply() -> None:
            # A later order may have been accepted while this one was delayed.
            models.check_fence(fence, ignores_fence)
            models.apply(order)

        done = self.run_even_if_caller_leaves(delay_s, apply)
        if delay_s:
            done.addErrback(self._count_dropped_order)
        else:
            await done
        return Answer({"accepted": True, "fence": models.fence})

    def _count_dropped_order(self, failure: Failure) -> None:
        failure.trap(ChivesaddleError)
        self.counters["dropped_orders"] += 1

    async def _state(self, request: Request) -> Answer:
        return Answer(self.core.models.to_json())

    async def _evict(self, request: Request) -> Answer:
        return Answer(
            {"evicted": self.core.cache.evict(read_json(request).get("salt"))}
        )


def _completion(body: dict[str, Any], prompt: str, *, chat: bool) -> Completion:
    max_tokens = body.get("max_tokens") or body.get("max_completion_tokens")
    max_tokens = DEFAULT_MAX_TOKENS if max_tokens is None else max_tokens
    if not isinstance(max_tokens, int) or max_tokens < 1:
        raise InvalidValue(
            f"max_tokens is {max_tokens!r}, not a positive number", field="max_tokens"
        )
    return Completion(
        request_id=field_of(body, "request_id", str),
        model=field_of(body, "model", str),
        prompt=prompt,
        chat=chat,
        max_tokens=max_tokens,
        weight_version=body.get("weight_version") or "",
        adapter=body.get("adapter") or "",
        cache_salt=body.get("cache_salt") or "",
        priority=body.get("priority") or 0,
        resume_text=body.get("resume_text") or "",
    )


def _start_events(request: Request) -> bool:
    request.setHeader("Content-Type", "text/event-stream")
    request.setHeader("Cache-Control", "no-cache")
    return True


def _event(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def _head(stream: Stream, *, chunk: bool = False) -> dict[str, Any]:
    chat = stream.completion.chat
    kind = "chat.completion" if chat else "text_completion"
    return {
        "id": stream.completion.request_id,
        "object": f"{kind}.chunk" if chat and chunk else kind,
        "created": 0,
        "model": stream.completion.model,
    }


def _text(stream: Stream, text: str, field: str) -> dict[str, Any]:
    if stream.completion.chat:
        return {field: {"role": "assistant", "content": text}}
    return {"text": text}


def _chunk(stream: Stream, index: int, text: str) -> dict[str, Any]:
    choice = {"index": 0, "finish_reason": None, **_text(stream, text, "delta")}
    return {
        **_head(stream, chunk=True),
        "choices": [choice],
        "token_index": index,
    }


def _last_chunk(stream: Stream) -> dict[str, Any]:
    chunk = _chunk(stream, stream.end_index, "")
    chunk["choices"][0]["finish_reason"] = "length"
    if stream.completion.chat:
        chunk["choices"][0]["delta"] = {}
    return {**chunk, "usage": stream.usage()}


__all__ = ["EngineShell"]
