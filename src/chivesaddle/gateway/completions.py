"""Serving of validated completion requests and of resumed streams."""

from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from chivesaddle.core.aio import log_failure, start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.events import EventKind
from chivesaddle.core.ids import AdapterId, BackendServerId, ModelId, RequestId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.model import Account, BackendServer, Model
from chivesaddle.engines import (
    ApiStyle,
    RelayRequest,
    StreamRelay,
    Target,
)
from chivesaddle.gateway.delegate import RequestDelegate, ResumeDelegate
from chivesaddle.gateway.dependencies import Dependencies
from chivesaddle.gateway.errors import ModelNotFound, NotFound
from chivesaddle.gateway.request_ids import (
    RunLocation,
    generate_request_name,
    parse_request_name,
)
from chivesaddle.gateway.streaming import Sink
from chivesaddle.gateway.validation import (
    DEFAULT_MAX_TOKENS,
    Completion,
    estimate_prompt_tokens,
)
from chivesaddle.routing import RouteRequest

# Deadlines for the first token. The interactive one is the longest wait that a caller
# without an alternative accepts.
INTERACTIVE_FIRST_TOKEN_TIMEOUT_S = 10.0
BATCH_FIRST_TOKEN_TIMEOUT_S = 300.0
PROMPT_READ_TIMEOUT_S = 2.0
RESUME_TIMEOUT_S = 2.0
RETRY_AFTER_S = 1.0
_RETRYABLE_STATUSES = frozenset({429, 502, 503, 504})
_ENGINE_PATHS = {
    ApiStyle.CHAT: "/v1/chat/completions",
    ApiStyle.COMPLETION: "/v1/completions",
}
_log = ComponentLogger("gateway")


class CompletionService:
    """Routes completion requests to backend servers and relays the streams to callers.

    Parameters
    ----------
    dependencies : Dependencies
        Components that the service uses.
    """

    def __init__(self, dependencies: Dependencies) -> None:
        self._deps = dependencies
        self._relay = StreamRelay(
            dependencies.engines, dependencies.clock, dependencies.budget
        )
        self._pending_saves: set[Deferred[None]] = set()

    async def serve(
        self, account: Account, completion: Completion, interactive: bool, sink: Sink
    ) -> None:
        """Write the complete answer to a request, or a typed error, to ``sink``."""
        request_name = generate_request_name()
        self._deps.events.record(
            EventKind.REQUEST_RECEIVED, request=request_name, account=account.id
        )
        await self._send_error_on_failure(
            self._route_and_relay(account, completion, interactive, sink, request_name),
            account,
            request_name,
            sink,
        )

    async def resume(
        self, account: Account, request_id: RequestId, after_tokens: int, sink: Sink
    ) -> None:
        """Relay a running stream from the token after the first ``after_tokens``.

        The engine rejects a request whose cache salt differs from the stream's. The
        salt is computed from the account, so other accounts' streams are not found.
        """
        await self._send_error_on_failure(
            self._relay_resumed_stream(account, request_id, after_tokens, sink),
            account,
            parse_request_name(request_id)[:80],
            sink,
        )

    def close(self) -> None:
        """Cancel background saves; blocks that were not saved are recomputed later."""
        for save in list(self._pending_saves):
            save.cancel()

    async def _route_and_relay(
        self,
        account: Account,
        completion: Completion,
        interactive: bool,
        sink: Sink,
        request_name: str,
    ) -> None:
        deps = self._deps
        model = self._find_model(completion)
        adapter = _find_adapter(model, completion)
        await self._prepend_stored_prompt(account, completion)
        prompt = completion.prompt_bytes()
        scope = deps.scope(account.id, model.id, model.weight_version, adapter)
        keys = tuple(deps.block_keys(scope, prompt))
        wait_s = (
            INTERACTIVE_FIRST_TOKEN_TIMEOUT_S
            if interactive
            else BATCH_FIRST_TOKEN_TIMEOUT_S
        )
        route_request = RouteRequest(
            account_id=account.id,
            model_id=model.id,
            weight_version=model.weight_version,
            adapter=adapter,
            fingerprint=completion.fingerprint(account.id),
            prefix_keys=keys,
            prompt_tokens=estimate_prompt_tokens(prompt),
            max_tokens=completion.max_tokens or DEFAULT_MAX_TOKENS,
            interactive=interactive,
            deadline=deps.clock.seconds() + wait_s,
            request_id=RequestId(request_name),
        )
        delegate = RequestDelegate(deps, route_request, request_name, scope)
        try:
            target = await delegate.select()
            location = RunLocation(
                target.server_id, model.id, model.weight_version, adapter
            )
            sink.request_id = location.request_id(request_name)
            request = _relay_request(sink.request_id, completion, route_request, scope)
            await self._relay.run(request, target, sink, delegate)
        finally:
            delegate.record_end()
        if delegate.finished_server is not None and keys:
            self._save_in_background(scope, keys, delegate.finished_server)

    async def _relay_resumed_stream(
        self, account: Account, request_id: RequestId, after_tokens: int, sink: Sink
    ) -> None:
        deps = self._deps
        location = RunLocation.from_request_id(request_id)
        scope = deps.scope(
            account.id, location.model_id, location.weight_version, location.adapter
        )
        targets = self._stream_candidates(location.server_id, location.model_id)
        if not targets:
            raise _stream_not_found(request_id)
        request = RelayRequest(
            request_id=request_id,
            path="",
            body=None,
            cache_salt=scope,
            style=ApiStyle.CHAT,
            deadline=deps.clock.seconds() + RESUME_TIMEOUT_S,
            tokens=after_tokens,
        )
        sink.request_id = request_id
        delegate = ResumeDelegate(
            deps, targets[1:], account.id, parse_request_name(request_id)
        )
        await self._relay.run(request, targets[0], sink, delegate)

    async def _send_error_on_failure(
        self,
        handling: Coroutine[Any, Any, None],
        account: Account,
        request_name: str,
        sink: Sink,
    ) -> None:
        try:
            await handling
            return
        except CancelledError:
            raise
        except ChivesaddleError as error:
            failure = error
        except Exception:
            _log.exception("request %s failed unexpectedly", request_name)
            failure = ChivesaddleError("The request failed unexpectedly")
        if failure.retry_after_s is None and failure.status in _RETRYABLE_STATUSES:
            failure.retry_after_s = RETRY_AFTER_S
        kind = EventKind.REQUEST_FAILED if sink.ended else EventKind.REQUEST_REFUSED
        self._deps.events.record(
            kind,
            request=request_name,
            account=account.id,
            code=failure.code,
            final=True,
        )
        self._deps.metrics.incr(f"gateway.rejected.{failure.code}")
        if not sink.ended:
            sink.fail(failure)

    def _find_model(self, completion: Completion) -> Model:
        model_name = completion.body.model
        model = self._deps.config.state.models_by_id.get(ModelId(model_name))
        if model is None:
            raise ModelNotFound(
                f"Model {model_name[:80]} does not exist",
                remedy="Choose from GET /v1/models",
            )
        return model

    async def _prepend_stored_prompt(
        self, account: Account, completion: Completion
    ) -> None:
        prompt_id = completion.body.prompt_id
        if prompt_id is not None:
            deadline = self._deps.clock.seconds() + PROMPT_READ_TIMEOUT_S
            stored = await self._deps.prompts.get(
                account.id, prompt_id, deadline=deadline
            )
            completion.prepend_prompt(stored.text)

    def _stream_candidates(
        self, preferred_id: BackendServerId, model_id: ModelId
    ) -> list[Target]:
        servers = self._deps.config.state.backend_servers_by_id
        candidates = [s for s in servers.values() if model_id in s.models]
        candidates.sort(key=lambda server: server.id != preferred_id)
        return [Target(server.id, server.url) for server in candidates]

    def _save_in_background(self, scope: str, keys: Any, server: BackendServer) -> None:
        if self._deps.kv is None:
            return
        save = start(self._deps.kv.save(scope, keys, server))
        self._pending_saves.add(save)
        save.addErrback(log_failure(_log, f"saving blocks from {server.id} failed"))
        save.addBoth(lambda _: self._pending_saves.discard(save))


def _relay_request(
    request_id: RequestId,
    completion: Completion,
    route_request: RouteRequest,
    scope: str,
) -> RelayRequest:
    fields: dict[str, Any] = {
        "weight_version": route_request.weight_version,
        "cache_salt": scope,
        "request_id": request_id,
        "priority": 0 if route_request.interactive else 1,
    }
    if route_request.adapter is not None:
        fields["adapter"] = route_request.adapter
    return RelayRequest(
        request_id=request_id,
        path=_ENGINE_PATHS[completion.style],
        body=completion.engine_body(**fields),
        cache_salt=scope,
        style=completion.style,
        deadline=route_request.deadline,
        max_tokens=completion.max_tokens,
    )


def _find_adapter(model: Model, completion: Completion) -> AdapterId | None:
    adapter = completion.body.adapter
    if adapter is None:
        return None
    if adapter not in model.adapters:
        raise ModelNotFound(
            f"Model {model.id} has no adapter {adapter[:80]}",
            remedy="Correct or omit the field adapter",
        )
    return AdapterId(adapter)


def _stream_not_found(request_id: RequestId) -> NotFound:
    return NotFound(
        f"Request {request_id[:80]} does not exist or has ended",
        remedy="Send the request again",
    )


__all__ = ["CompletionService"]
