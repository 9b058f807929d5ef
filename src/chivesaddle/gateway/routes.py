"""Routes of the HTTP API for callers."""

from collections.abc import Callable, Coroutine
from enum import Enum
from functools import wraps
from typing import Any

from klein import Klein
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure
from twisted.web.server import Site
from werkzeug.exceptions import HTTPException
from werkzeug.exceptions import MethodNotAllowed as HttpMethodNotAllowed

from chivesaddle.core.aio import start
from chivesaddle.core.errors import ChivesaddleError, InvalidValue
from chivesaddle.core.ids import IdempotencyKey, PromptId, RequestId, ServiceId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.model import Account, Operation
from chivesaddle.core.objects import ObjectNotFound
from chivesaddle.engines import ApiStyle
from chivesaddle.gateway.authentication import Authenticator
from chivesaddle.gateway.completions import CompletionService
from chivesaddle.gateway.dependencies import ActionResult, Dependencies
from chivesaddle.gateway.drain import Drain
from chivesaddle.gateway.errors import (
    ConfigurationUnconfirmed,
    IdempotencyKeyRequired,
    MethodNotAllowed,
    NotFound,
    error_body,
    retry_after_header,
)
from chivesaddle.gateway.http_limits import limited_site
from chivesaddle.gateway.responses import prepare_error, write_error, write_json
from chivesaddle.gateway.streaming import BufferingSink, Sink, StreamingSink
from chivesaddle.gateway.validation import (
    Completion,
    PromptBody,
    parse_json,
    validate_body,
)

ACTION_TIMEOUT_S = 10.0
PROMPT_TIMEOUT_S = 2.0
MAX_IDEMPOTENCY_KEY_LENGTH = 255
RETRY_AFTER_S = 1.0
# Messages and remedies by action state. The remedy for "not_run" mentions an earlier
# attempt because an outage can hide whether that attempt was recorded.
_ACTION_MESSAGES = {
    "not_run": (
        "This attempt was not sent to the service",
        "Retry with the same key; an earlier attempt may have run",
    ),
    "in_doubt": (
        "The operation was sent, but whether it ran is not known",
        "Query GET /v1/actions/KEY later or ask an operator; it is not sent again",
    ),
}
_ACTION_IN_PROGRESS = (
    "The operation is running under this key",
    "Retry with the same key after the time in Retry-After",
)
_log = ComponentLogger("gateway")

Handler = Callable[..., Coroutine[Any, Any, None]]


def _writes_error_responses(handler: Handler) -> Handler:
    """Decorate a route handler so that its exceptions become error responses."""

    @wraps(handler)
    async def wrapper(self: "GatewayApi", request: Any, **path_parameters: str) -> None:
        if self.drain.leaving:
            request.setHeader("Connection", "close")
        try:
            await handler(self, request, **path_parameters)
        except CancelledError:
            raise
        except ObjectNotFound as error:
            write_error(request, NotFound(error.message, remedy="Check the id"))
        except ChivesaddleError as error:
            write_error(request, error)
        except Exception:
            _log.exception("%s %s failed", request.method, request.path)
            write_error(request, ChivesaddleError("The request failed unexpectedly"))

    return wrapper


class GatewayApi:
    """HTTP API for callers.

    Parameters
    ----------
    dependencies : Dependencies
        Components that the API uses.

    Attributes
    ----------
    drain : Drain
        Counter of requests in flight, and the state of shutdown.
    completion_service : CompletionService
        Service that answers completion requests.
    """

    app = Klein()

    def __init__(self, dependencies: Dependencies) -> None:
        self._deps = dependencies
        self._authenticator = Authenticator(dependencies.config)
        self.drain = Drain(dependencies.clock)
        self.completion_service = CompletionService(dependencies)

    def site(self) -> Site:
        """Return the Twisted site that serves the API with all HTTP limits."""
        return limited_site(self.app.resource(), self._deps.clock)

    @app.route("/v1/chat/completions", methods=["POST"])
    @_writes_error_responses
    async def chat_completions(self, request: Any) -> None:
        """Answer a chat completion request."""
        await self._complete(request, ApiStyle.CHAT)

    @app.route("/v1/completions", methods=["POST"])
    @_writes_error_responses
    async def completions(self, request: Any) -> None:
        """Answer a text completion request."""
        await self._complete(request, ApiStyle.COMPLETION)

    @app.route("/v1/requests/<request_id>/stream", methods=["GET"])
    @_writes_error_responses
    async def resume_stream(self, request: Any, request_id: str) -> None:
        """Resume a stream, whichever daemon started it."""
        account = self._authenticate(request)
        after = _parse_after(request)
        with self.drain.track_request():
            sink = StreamingSink(request, self._deps.clock)
            await self.completion_service.resume(
                account, RequestId(request_id), after, sink
            )

    @app.route("/v1/models", methods=["GET"])
    @_writes_error_responses
    async def models(self, request: Any) -> None:
        """List the models."""
        self._authenticate(request)
        models = sorted(self._deps.config.state.models_by_id)
        data = [
            {"id": m, "object": "model", "created": 0, "owned_by": "chivesaddle"}
            for m in models
        ]
        write_json(request, 200, {"object": "list", "data": data})

    @app.route("/v1/prompts", methods=["POST"])
    @_writes_error_responses
    async def create_prompt(self, request: Any) -> None:
        """Store a prompt."""
        account = self._authenticate_with_current_config(request)
        with self.drain.track_request():
            body = validate_body(PromptBody, parse_json(request.content.read()))
            stored = await self._deps.prompts.create(
                account.id, body.text, deadline=self._prompt_deadline()
            )
            write_json(request, 201, {"id": stored.id, "object": "prompt"})

    @app.route("/v1/prompts", methods=["GET"])
    @_writes_error_responses
    async def list_prompts(self, request: Any) -> None:
        """List the account's prompts without their text."""
        account = self._authenticate_with_current_config(request)
        with self.drain.track_request():
            found = await self._deps.prompts.list(
                account.id, deadline=self._prompt_deadline()
            )
            data = [{"id": p.id, "object": "prompt"} for p in found]
            write_json(request, 200, {"object": "list", "data": data})

    @app.route("/v1/prompts/<prompt_id>", methods=["GET"])
    @_writes_error_responses
    async def get_prompt(self, request: Any, prompt_id: str) -> None:
        """Return one of the account's prompts."""
        account = self._authenticate_with_current_config(request)
        with self.drain.track_request():
            stored = await self._deps.prompts.get(
                account.id, PromptId(prompt_id), deadline=self._prompt_deadline()
            )
            value = {"id": stored.id, "object": "prompt", "text": stored.text}
            write_json(request, 200, value)

    @app.route("/v1/prompts/<prompt_id>", methods=["DELETE"])
    @_writes_error_responses
    async def delete_prompt(self, request: Any, prompt_id: str) -> None:
        """Delete one of the account's prompts."""
        account = self._authenticate_with_current_config(request)
        with self.drain.track_request():
            await self._deps.prompts.delete(
                account.id, PromptId(prompt_id), deadline=self._prompt_deadline()
            )
            value = {"id": prompt_id, "object": "prompt", "deleted": True}
            write_json(request, 200, value)

    @app.route("/v1/services/<service>/<operation>", methods=["POST"])
    @_writes_error_responses
    async def call_service(self, request: Any, service: str, operation: str) -> None:
        """Run an operation of a service other than a model."""
        account = self._authenticate_with_current_config(request)
        found = self._find_operation(service, operation)
        key = _idempotency_key(request, found)
        body = parse_json(request.content.read())
        running = self._run_action(account, key, ServiceId(service), operation, body)
        _write_action_result(request, await _shield(running))

    @app.route("/v1/actions/<path:key>", methods=["GET"])
    @_writes_error_responses
    async def get_action(self, request: Any, key: str) -> None:
        """Return the state of one of the account's actions."""
        account = self._authenticate_with_current_config(request)
        with self.drain.track_request():
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
    @_writes_error_responses
    async def addresses(self, request: Any) -> None:
        """List the daemons that the caller may use, in order of preference."""
        self._authenticate(request)
        now = self._deps.clock.seconds()
        found = self._deps.addresses.address_list(now)
        valid_for_s = max(0.0, found.valid_until - now)
        write_json(
            request,
            200,
            {"urls": list(found.urls), "valid_for_s": valid_for_s},
            Cache_Control=f"private, max-age={int(valid_for_s)}",
        )

    @app.route("/healthz", methods=["GET"])
    @_writes_error_responses
    async def health(self, request: Any) -> None:
        """Report whether this daemon accepts new requests."""
        confirmed = self._deps.freshness.is_confirmed(self._deps.clock.seconds())
        state = "ok" if confirmed else "configuration_unconfirmed"
        if self.drain.leaving:
            state = "draining"
        value = {"status": state, "in_flight": self.drain.in_flight}
        write_json(request, 200 if state == "ok" else 503, value)

    @app.handle_errors(HTTPException)
    def handle_routing_error(self, request: Any, failure: Failure) -> bytes:
        """Return the error body for an unknown path or method; klein sends it."""
        path = request.path.decode("utf-8", "replace")[:80]
        if failure.check(HttpMethodNotAllowed):
            method = request.method.decode("ascii", "replace")
            error: ChivesaddleError = MethodNotAllowed(
                f"{path} does not support method {method}"
            )
        else:
            error = NotFound(f"Path {path} does not exist")
        return prepare_error(request, error)

    async def _complete(self, request: Any, style: ApiStyle) -> None:
        account = self._authenticate_with_current_config(request)
        with self.drain.track_request():
            completion = Completion(style, parse_json(request.content.read()))
            sink: Sink = (
                StreamingSink(request, self._deps.clock)
                if completion.body.stream
                else BufferingSink(request, style)
            )
            interactive = _is_interactive(request)
            await self.completion_service.serve(account, completion, interactive, sink)

    async def _run_action(
        self,
        account: Account,
        key: IdempotencyKey | None,
        service: ServiceId,
        operation: str,
        body: dict[str, Any],
    ) -> ActionResult:
        deadline = self._deps.clock.seconds() + ACTION_TIMEOUT_S
        with self.drain.track_request():
            return await self._deps.actions.run(
                account.id, key, service, operation, body, deadline
            )

    def _authenticate(self, request: Any) -> Account:
        return self._authenticator.authenticate(_header_text(request, b"Authorization"))

    def _authenticate_with_current_config(self, request: Any) -> Account:
        account = self._authenticate(request)
        if not self._deps.freshness.is_confirmed(self._deps.clock.seconds()):
            raise ConfigurationUnconfirmed(
                "This daemon's configuration is not confirmed to be current",
                remedy="Use another daemon from GET /v1/addresses",
                retry_after_s=RETRY_AFTER_S,
            )
        return account

    def _find_operation(self, service: str, operation: str) -> Operation:
        found = self._deps.config.state.services_by_id.get(ServiceId(service))
        named = found.operation(operation) if found is not None else None
        if named is None:
            raise NotFound(
                f"Service {service[:80]} has no operation {operation[:80]}",
                remedy="Check the names",
            )
        return named

    def _prompt_deadline(self) -> float:
        return self._deps.clock.seconds() + PROMPT_TIMEOUT_S


def _header_text(request: Any, name: bytes) -> str:
    # Read as bytes: with a str name, Twisted raises if the value is not UTF-8.
    return (request.getHeader(name) or b"").decode("utf-8", "replace")


def _is_interactive(request: Any) -> bool:
    priority = _header_text(request, b"X-Priority") or "interactive"
    if priority not in ("interactive", "batch"):
        raise InvalidValue(
            f"Invalid value for X-Priority: {priority[:80]}",
            remedy="Use interactive or batch",
        )
    return priority == "interactive"


def _parse_after(request: Any) -> int:
    text = request.args.get(b"after", [b"0"])[0]
    if not text.isdigit() or len(text) > 9:
        raise InvalidValue(
            f"Invalid value for after: {text[:80]!r}",
            field="after",
            remedy="Use a number of tokens",
        )
    return int(text)


def _idempotency_key(request: Any, operation: Operation) -> IdempotencyKey | None:
    key = _header_text(request, b"Idempotency-Key")
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH:
        raise InvalidValue(
            f"Idempotency-Key has {len(key)} characters",
            remedy=f"Use at most {MAX_IDEMPOTENCY_KEY_LENGTH}",
        )
    if not key and not operation.repeatable:
        raise IdempotencyKeyRequired(
            f"Operation {operation.name} runs at most once and requires a key",
            remedy="Send an Idempotency-Key header, the same for each retry",
        )
    return IdempotencyKey(key) if key else None


def _shield(work: Coroutine[Any, Any, Any]) -> "Deferred[Any]":
    """Return a Deferred of ``work`` whose cancellation does not stop ``work``.

    Otherwise a caller that disconnects could stop an action after it was recorded and
    before it was sent to the service.
    """
    result: Deferred[Any] = Deferred(lambda _: None)
    start(work).addBoth(lambda value: None if result.called else result.callback(value))
    return result


def _state_name(result: ActionResult) -> str:
    return result.state.value if isinstance(result.state, Enum) else str(result.state)


def _write_action_result(request: Any, result: ActionResult) -> None:
    state = _state_name(result)
    headers = {"X_Action_State": state}
    if result.retry_after_s is not None:
        headers["Retry_After"] = retry_after_header(result.retry_after_s)
    value = result.body
    if value is None and result.status >= 400:
        message, remedy = _ACTION_MESSAGES.get(state, _ACTION_IN_PROGRESS)
        value = error_body(ChivesaddleError(message, remedy=remedy))
        value["error"]["code"] = result.code
    write_json(request, result.status, value, **headers)


__all__ = ["GatewayApi"]
