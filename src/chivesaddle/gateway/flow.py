"""Serving of completion requests from validation to the last event."""

from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from chivesaddle.core.aio import log_failure, start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.events import EventKind
from chivesaddle.core.ids import AdapterId, BackendServerId, ModelId, RequestId
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.model import Account, BackendServer, Model
from chivesaddle.engines import (
    ApiStyle,
    RelayRequest,
    StreamRelay,
    Target,
)
from chivesaddle.gateway.dependencies import Dependencies
from chivesaddle.gateway.errors import ModelNotFound, NotFound
from chivesaddle.gateway.guide import RequestGuide, ResumeGuide
from chivesaddle.gateway.request_ids import RunLocation, name_of, new_name
from chivesaddle.gateway.streaming import Sink
from chivesaddle.gateway.validation import (
    DEFAULT_MAX_TOKENS,
    Completion,
    prompt_tokens,
)
from chivesaddle.routing import RouteRequest

# Longest wait for a first token that a caller with nobody else to ask still accepts.
INTERACTIVE_DEADLINE_S = 10.0
BATCH_DEADLINE_S = 300.0
PROMPT_READ_S = 2.0
RESUME_S = 2.0
RETRY_AFTER_S = 1.0
_RETRYABLE = frozenset({429, 502, 503, 504})
_PATHS = {
    ApiStyle.CHAT: "/v1/chat/completions",
    ApiStyle.COMPLETION: "/v1/completions",
}
_log = PartLogger("gateway")


class ServingFlow:
    """Serves completions and resumed streams.

    Parameters
    ----------
    dependencies : Dependencies
        What the flow is built from.
    """

    def __init__(self, dependencies: Dependencies) -> None:
        self._deps = dependencies
        self._relay = StreamRelay(
            dependencies.engines, dependencies.clock, dependencies.budget
        )
        self._saves: set[Deferred[None]] = set()

    async def serve(
        self, account: Account, completion: Completion, interactive: bool, sink: Sink
    ) -> None:
        """Answer a request at ``sink``, completely or with a typed error."""
        name = new_name()
        self._deps.events.record(
            EventKind.REQUEST_RECEIVED, request=name, account=account.id
        )
        await self._ending_with_an_answer(
            self._serve(account, completion, interactive, sink, name),
            account,
            name,
            sink,
        )

    async def resume(
        self, account: Account, request_id: RequestId, after: int, sink: Sink
    ) -> None:
        """Continue a running stream after ``after`` tokens.

        The engine compares the cache salt, which holds the account.
        """
        await self._ending_with_an_answer(
            self._resume(account, request_id, after, sink),
            account,
            name_of(request_id)[:80],
            sink,
        )

    def close(self) -> None:
        """Stop background saves; what is unsaved is recomputed later."""
        for save in list(self._saves):
            save.cancel()

    async def _serve(
        self,
        account: Account,
        completion: Completion,
        interactive: bool,
        sink: Sink,
        name: str,
    ) -> None:
        deps = self._deps
        model = self._model(completion)
        adapter = _adapter(model, completion)
        await self._add_stored_prompt(account, completion)
        prompt = completion.prompt_bytes()
        scope = deps.scope(account.id, model.id, model.weight_version, adapter)
        keys = tuple(deps.block_keys(scope, prompt))
        wait_s = INTERACTIVE_DEADLINE_S if interactive else BATCH_DEADLINE_S
        route = RouteRequest(
            account_id=account.id,
            model_id=model.id,
            weight_version=model.weight_version,
            adapter=adapter,
            fingerprint=completion.fingerprint(account.id),
            prefix_keys=keys,
            prompt_tokens=prompt_tokens(prompt),
            max_tokens=completion.max_tokens or DEFAULT_MAX_TOKENS,
            interactive=interactive,
            deadline=deps.clock.seconds() + wait_s,
            request_id=RequestId(name),
        )
        guide = RequestGuide(deps, route, name, scope)
        try:
            target = await guide.select()
            location = RunLocation(
                target.server_id, model.id, model.weight_version, adapter
            )
            sink.request_id = location.request_id(name)
            request = _relay_request(sink.request_id, completion, route, scope)
            await self._relay.run(request, target, sink, guide)
        finally:
            guide.release()
        if guide.finished_at is not None and keys:
            self._save(scope, keys, guide.finished_at)

    async def _resume(
        self, account: Account, request_id: RequestId, after: int, sink: Sink
    ) -> None:
        deps = self._deps
        location = RunLocation.from_request_id(request_id)
        salt = deps.scope(
            account.id, location.model_id, location.weight_version, location.adapter
        )
        targets = self._resume_targets(location.server_id, location.model_id)
        if not targets:
            raise _no_request(request_id)
        request = RelayRequest(
            request_id=request_id,
            path="",
            body=None,
            cache_salt=salt,
            style=ApiStyle.CHAT,
            deadline=deps.clock.seconds() + RESUME_S,
            tokens=after,
        )
        sink.request_id = request_id
        guide = ResumeGuide(deps, targets[1:], account.id, name_of(request_id))
        await self._relay.run(request, targets[0], sink, guide)

    async def _ending_with_an_answer(
        self,
        work: Coroutine[Any, Any, None],
        account: Account,
        name: str,
        sink: Sink,
    ) -> None:
        try:
            await work
            return
        except CancelledError:
            raise
        except ChivesaddleError as error:
            failure = error
        except Exception:
            _log.exception("request %s failed unexpectedly", name)
            failure = ChivesaddleError("The request failed unexpectedly")
        if failure.retry_after_s is None and failure.status in _RETRYABLE:
            failure.retry_after_s = RETRY_AFTER_S
        kind = EventKind.REQUEST_FAILED if sink.ended else EventKind.REQUEST_REFUSED
        self._deps.events.record(
            kind, request=name, account=account.id, code=failure.code, final=True
        )
        self._deps.metrics.incr(f"gateway.rejected.{failure.code}")
        if not sink.ended:
            sink.fail(failure)

    def _model(self, completion: Completion) -> Model:
        name = completion.body.model
        model = self._deps.config.state.models_by_id.get(ModelId(name))
        if model is None:
            raise ModelNotFound(
                f"Model {name[:80]} does not exist", remedy="Choose from GET /v1/models"
            )
        return model

    async def _add_stored_prompt(
        self, account: Account, completion: Completion
    ) -> None:
        prompt_id = completion.body.prompt_id
        if prompt_id is not None:
            deadline = self._deps.clock.seconds() + PROMPT_READ_S
            stored = await self._deps.prompts.get(
                account.id, prompt_id, deadline=deadline
            )
            completion.put_first(stored.text)

    def _resume_targets(
        self, first: BackendServerId, model_id: ModelId
    ) -> list[Target]:
        servers = self._deps.config.state.backend_servers_by_id
        others = [s for s in servers.values() if model_id in s.models]
        others.sort(key=lambda server: server.id != first)
        return [Target(server.id, server.url) for server in others]

    def _save(self, scope: str, keys: Any, server: BackendServer) -> None:
        if self._deps.kv is None:
            return
        save = start(self._deps.kv.save(scope, keys, server))
        self._saves.add(save)
        save.addErrback(log_failure(_log, f"saving blocks from {server.id} failed"))
        save.addBoth(lambda _: self._saves.discard(save))


def _relay_request(
    request_id: RequestId, completion: Completion, route: RouteRequest, scope: str
) -> RelayRequest:
    fields: dict[str, Any] = {
        "weight_version": route.weight_version,
        "cache_salt": scope,
        "request_id": request_id,
        "priority": 0 if route.interactive else 1,
    }
    if route.adapter is not None:
        fields["adapter"] = route.adapter
    return RelayRequest(
        request_id=request_id,
        path=_PATHS[completion.style],
        body=completion.engine_body(**fields),
        cache_salt=scope,
        style=completion.style,
        deadline=route.deadline,
        max_tokens=completion.max_tokens,
    )


def _adapter(model: Model, completion: Completion) -> AdapterId | None:
    adapter = completion.body.adapter
    if adapter is None:
        return None
    if adapter not in model.adapters:
        raise ModelNotFound(
            f"Model {model.id} has no adapter {adapter[:80]}",
            remedy="Leave out the field adapter or correct it",
        )
    return AdapterId(adapter)


def _no_request(request_id: RequestId) -> NotFound:
    return NotFound(
        f"Request {request_id[:80]} does not exist or has ended",
        remedy="Send the request again",
    )


__all__ = ["ServingFlow"]
