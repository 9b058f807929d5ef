"""Routes of the callers' HTTP API."""

from collections.abc import Callable, Coroutine
from enum import Enum
from functools import wraps
from typing import Any

from klein import Klein
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure
from twisted.web.server import Site
from werkzeug.exceptions import HTTPException
from werkzeug.exceptions import MethodNotAllowed as WrongMethod

from chivesaddle.core.aio import start
from chivesaddle.core.errors import ChivesaddleError, InvalidValue
from chivesaddle.core.ids import IdempotencyKey, PromptId, RequestId, ServiceId
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.model import Account, Operation
from chivesaddle.core.objects import ObjectNotFound
from chivesaddle.engines import ApiStyle
from chivesaddle.gateway.authentication import Authenticator
from chivesaddle.gateway.dependencies import ActionResult, Dependencies
from chivesaddle.gateway.drain import Drain
from chivesaddle.gateway.errors import (
    ConfigurationUnconfirmed,
    IdempotencyKeyRequired,
    MethodNotAllowed,
    NotFound,
    error_body,
    retry_after,
)
from chivesaddle.gateway.flow import ServingFlow
from chivesaddle.gateway.responses import prepare_error, write_error, write_json
from chivesaddle.gateway.streaming import PlainSink, Sink, StreamingSink
from chivesaddle.gateway.transport import limited_site
from chivesaddle.gateway.validation import Completion, PromptBody, check, parse_json

ACTION_DEADLINE_S = 10.0
PROMPT_DEADLINE_S = 2.0
MAX_KEY_LENGTH = 255
RETRY_AFTER_S = 1.0
# During an outage it is not known whether an earlier attempt has a record.
_ACTION_MESSAGES = {
    "not_run": (
        "This attempt was not sent to the service",
        "Send it again with the same key; an earlier attempt may have run",
    ),
    "in_doubt": (
        "The operation was sent, and whether it ran is not known",
        "Ask GET /v1/actions/KEY later, or an operator; it is not sent again",
    ),
}
_ACTION_IN_PROGRESS = (
    "The operation is running under this key",
    "Ask again after the given time with the same key",
)
_log = PartLogger("gateway")

Handler = Callable[..., Coroutine[Any, Any, None]]


def _answered(handler: Handler) -> Handler:
    """Turn failures of a handler into responses."""

    @wraps(handler)
    async def answer(self: "GatewayApi", request: Any, **names: str) -> None:
        if self.drain.leaving:
            request.setHeader("Connection", "close")
        try:
            await handler(self, request, **names)
        except CancelledError:
            raise
        except ObjectNotFound as error:
            write_error(request, NotFound(error.message, remedy="Check the id"))
        except ChivesaddleError as error:
            write_error(request, error)
        except Exception:
            _log.exception("%s %s failed", request.method, request.path)
            write_error(request, ChivesaddleError("The request failed unexpectedly"))

    return answer


class GatewayApi:
    """The callers' API.

    Parameters
    ----------
    dependencies : Dependencies
        What the API is built from.

    Attributes
    ----------
    drain : Drain
        Requests in flight and shutdown.
    flow : ServingFlow
        Serving of completions.
    """

    app = Klein()

    def __init__(self, dependencies: Dependencies) -> None:
        self._deps = dependencies
        self._authenticator = Authenticator(dependencies.config)
        self.drain = Drain(dependencies.clock)
        self.flow = ServingFlow(dependencies)

    def site(self) -> Site:
        """Return the site to listen with."""
        return limited_site(self.app.resource(), self._deps.clock)

    @app.route("/v1/chat/completions", methods=["POST"])
    @_answered
    async def chat_completions(self, request: Any) -> None:
        """Answer a chat."""
        await self._complete(request, ApiStyle.CHAT)

    @app.route("/v1/completions", methods=["POST"])
    @_answered
    async def completions(self, request: Any) -> None:
        """Complete a prompt."""
        await self._complete(request, ApiStyle.COMPLETION)

    @app.route("/v1/requests/<request_id>/stream", methods=["GET"])
    @_answered
    async def resume_stream(self, request: Any, request_id: str) -> None:
        """Resume a stream that any daemon started."""
        account = self._account(request)
        after = _after(request)
        with self.drain.enter():
            sink = StreamingSink(request, self._deps.clock)
            await self.flow.resume(account, RequestId(request_id), after, sink)

    @app.route("/v1/models", methods=["GET"])
    @_answered
    async def models(self, request: Any) -> None:
        """List the models."""
        self._account(request)
        models = sorted(self._deps.config.state.models_by_id)
        data = [
            {"id": m, "object": "model", "created": 0, "owned_by": "chivesaddle"}
            for m in models
        ]
        write_json(request, 200, {"object": "list", "data": data})

    @app.route("/v1/prompts", methods=["POST"])
    @_answered
    async def create_prompt(self, request: Any) -> None:
        """Store a prompt."""
        account = self._ready_account(request)
        with self.drain.enter():
            body = check(PromptBody, parse_json(request.content.read()))
            stored = await self._deps.prompts.create(
                account.id, body.text, deadline=self._prompt_deadline()
            )
            write_json(request, 201, {"id": stored.id, "object": "prompt"})

    @app.route("/v1/prompts", methods=["GET"])
    @_answered
    async def list_prompts(self, request: Any) -> None:
        """List the account's prompts without their text."""
        account = self._ready_account(request)
        with self.drain.enter():
            found = await self._deps.prompts.list(
                account.id, deadline=self._prompt_deadline()
            )
            data = [{"id": p.id, "object": "prompt"} for p in found]
            write_json(request, 200, {"object": "list", "data": data})

    @app.route("/v1/prompts/<prompt_id>", methods=["GET"])
    @_answered
    async def get_prompt(self, request: Any, prompt_id: str) -> None:
        """Return one of the account's prompts."""
        account = self._ready_account(request)
        with self.drain.enter():
            stored = await self._deps.prompts.get(
                account.id, PromptId(prompt_id), deadline=self._prompt_deadline()
            )
            value = {"id": stored.id, "object": "prompt", "text": stored.text}
            write_json(request, 200, value)

    @app.route("/v1/prompts/<prompt_id>", methods=["DELETE"])
    @_answered
    async def delete_prompt(self, request: Any, prompt_id: str) -> None:
        """Delete one of the account's prompts."""
        account = self._ready_account(request)
        with self.drain.enter():
            await self._deps.prompts.delete(
                account.id, PromptId(prompt_id), deadline=self._prompt_deadline()
            )
            value = {"id": prompt_id, "object": "prompt", "deleted": True}
            write_json(request, 200, value)

    @app.route("/v1/services/<service>/<operation>", methods=["POST"])
    @_answered
    async def call_service(self, request: Any, service: str, operation: str) -> None:
        """Run an operation of a plain service."""
        account = self._ready_account(request)
        found = self._operation(service, operation)
        key = _idempotency_key(request, found)
        body = parse_json(request.content.read())
        running = self._run_action(account, key, ServiceId(service), operation, body)
        _write_result(request, await _uncancelled(running))

    @app.route("/v1/actions/<path:key>", methods=["GET"])
    @_answered
    async def get_action(self, request: Any, key: str) -> None:
        """Return the state of one of the account's actions."""
        account = self._ready_account(request)
        with self.drain.enter():
            found = await self._deps.actions.lookup(account.id, IdempotencyKey(key))
            if found is None:
                raise NotFound(f"No action with key {key[:80]}", remedy="Check the key")
            value = {
                "state": _state_name(found),
                "status": found.status,
                "body": found.body,
            }
            write_json(request, 200, value)

    @app.route("/v1/addresses", methods=["GET"])
    @_answered
    async def addresses(self, request: Any) -> None:
        """Name the daemons to use, best first."""
        self._account(request)
        now = self._deps.clock.seconds()
        found = self._deps.addresses.address_answer(now)
        valid_for_s = max(0.0, found.valid_until - now)
        write_json(
            request,
            200,
            {"urls": list(found.urls), "valid_for_s": valid_for_s},
            Cache_Control=f"private, max-age={int(valid_for_s)}",
        )

    @app.route("/healthz", methods=["GET"])
    @_answered
    async def health(self, request: Any) -> None:
        """Tell whether this daemon takes new requests."""
        confirmed = self._deps.freshness.is_confirmed(self._deps.clock.seconds())
        state = "ok" if confirmed else "configuration_unconfirmed"
        if self.drain.leaving:
            state = "draining"
        value = {"status": state, "in_flight": self.drain.in_flight}
        write_json(request, 200 if state == "ok" else 503, value)

    @app.handle_errors(HTTPException)
    def unmatched(self, request: Any, failure: Failure) -> bytes:
        """Answer a path or method that no route has; klein sends the body."""
        path = request.path.decode("utf-8", "replace")[:80]
        if failure.check(WrongMethod):
            method = request.method.decode("ascii", "replace")
            error: ChivesaddleError = MethodNotAllowed(f"{path} has no method {method}")
        else:
            error = NotFound(f"Path {path} does not exist")
        return prepare_error(request, error)

    async def _complete(self, request: Any, style: ApiStyle) -> None:
        account = self._ready_account(request)
        with self.drain.enter():
            completion = Completion(style, parse_json(request.content.read()))
            sink: Sink = (
                StreamingSink(request, self._deps.clock)
                if completion.body.stream
                else PlainSink(request, style)
            )
            interactive = _is_interactive(request)
            await self.flow.serve(account, completion, interactive, sink)

    async def _run_action(
        self,
        account: Account,
        key: IdempotencyKey | None,
        service: ServiceId,
        operation: str,
        body: dict[str, Any],
    ) -> ActionResult:
        deadline = self._deps.clock.seconds() + ACTION_DEADLINE_S
        with self.drain.enter():
            return await self._deps.actions.run(
                account.id, key, service, operation, body, deadline
            )

    def _account(self, request: Any) -> Account:
        return self._authenticator.authenticate(_header(request, b"Authorization"))

    def _ready_account(self, request: Any) -> Account:
        account = self._account(request)
        if not self._deps.freshness.is_confirmed(self._deps.clock.seconds()):
            raise ConfigurationUnconfirmed(
                "This daemon's configuration is not confirmed to be current",
                remedy="Ask GET /v1/addresses for another daemon",
                retry_after_s=RETRY_AFTER_S,
            )
        return account

    def _operation(self, service: str, operation: str) -> Operation:
        found = self._deps.config.state.services_by_id.get(ServiceId(service))
        named = found.operation(operation) if found is not None else None
        if named is None:
            raise NotFound(
                f"Service {service[:80]} has no operation {operation[:80]}",
                remedy="Check the names",
            )
        return named

    def _prompt_deadline(self) -> float:
        return self._deps.clock.seconds() + PROMPT_DEADLINE_S


def _header(request: Any, name: bytes) -> str:
    # Asked for as text, a header that is not UTF-8 would raise.
    return (request.getHeader(name) or b"").decode("utf-8", "replace")


def _is_interactive(request: Any) -> bool:
    priority = _header(request, b"X-Priority") or "interactive"
    if priority not in ("interactive", "batch"):
        raise InvalidValue(
            f"X-Priority is {priority[:80]}", remedy="Use interactive or batch"
        )
    return priority == "interactive"


def _after(request: Any) -> int:
    text = request.args.get(b"after", [b"0"])[0]
    if not text.isdigit() or len(text) > 9:
        raise InvalidValue(
            f"after is {text[:80]!r}", field="after", remedy="Use a number of tokens"
        )
    return int(text)


def _idempotency_key(request: Any, operation: Operation) -> IdempotencyKey | None:
    key = _header(request, b"Idempotency-Key")
    if len(key) > MAX_KEY_LENGTH:
        raise InvalidValue(
            f"Idempotency-Key has {len(key)} characters",
            remedy=f"Use at most {MAX_KEY_LENGTH}",
        )
    if not key and not operation.repeatable:
        raise IdempotencyKeyRequired(
            f"Operation {operation.name} runs at most once and needs a key",
            remedy="Send an Idempotency-Key header, the same for each retry",
        )
    return IdempotencyKey(key) if key else None


def _uncancelled(work: Coroutine[Any, Any, Any]) -> "Deferred[Any]":
    """Return a Deferred of ``work`` whose cancellation leaves ``work`` running.

    A caller that disconnects must not stop an action between its record and its send.
    """
    result: Deferred[Any] = Deferred(lambda _: None)
    start(work).addBoth(lambda value: None if result.called else result.callback(value))
    return result


def _state_name(result: ActionResult) -> str:
    return result.state.value if isinstance(result.state, Enum) else str(result.state)


def _write_result(request: Any, result: ActionResult) -> None:
    state = _state_name(result)
    headers = {"X_Action_State": state}
    if result.retry_after_s is not None:
        headers["Retry_After"] = retry_after(result.retry_after_s)
    value = result.body
    if value is None and result.status >= 400:
        message, remedy = _ACTION_MESSAGES.get(state, _ACTION_IN_PROGRESS)
        value = error_body(ChivesaddleError(message, remedy=remedy))
        value["error"]["code"] = result.code
    write_json(request, result.status, value, **headers)


__all__ = ["GatewayApi"]
