"""Adapters between packages whose interfaces differ."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from chivesaddle import engines
from chivesaddle.actions import ActionResult, ActionService, ActionState, Resolution
from chivesaddle.configuration import Change, ConfigService, PromptStore
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import (
    AccountId,
    BackendServerId,
    BlockKey,
    DaemonId,
    IdempotencyKey,
    ModelId,
    PromptId,
    Revision,
    ServiceId,
    WeightVersion,
)
from chivesaddle.routing import LoadReport, Router


class ConfigurationPort:
    """Access to the configuration for `peers`, with changes encoded as JSON."""

    def __init__(self, service: ConfigService) -> None:
        self._service = service

    @property
    def revision(self) -> int:
        """Configuration revision that this daemon uses."""
        return self._service.active_config.revision

    async def changes_after(self, revision: int) -> Sequence[bytes]:
        """Return the changes after ``revision``, oldest first."""
        changes = await self._service.changes_after(Revision(revision))
        return [json.dumps(change.to_json()).encode() for change in changes]

    def apply(self, changes: Sequence[bytes]) -> None:
        """Apply changes in order, skipping those that are applied already."""
        for change in changes:
            self._service.active_config.apply(Change.from_json(json.loads(change)))

    async def refresh(self) -> None:
        """Read the latest revision and the missing changes from the platform."""
        await self._service.refresh()

    def record_revision(self, daemon_id: DaemonId, revision: int) -> None:
        """Record the revision that a peer uses."""
        self._service.record_revision(daemon_id, Revision(revision))


@dataclass(frozen=True)
class JsonResult:
    """Result of an action, with its body as a JSON value."""

    state: ActionState
    code: str
    status: int
    body: Any
    retry_after_s: float | None

    @classmethod
    def from_result(cls, result: ActionResult) -> "JsonResult":
        """Decode the body of the service's response; use text if it is not JSON."""
        return cls(
            result.state,
            result.code,
            result.status,
            _decode_body(result.body),
            result.retry_after_s,
        )


def _decode_body(body: bytes) -> Any:
    if not body:
        return None
    try:
        return json.loads(body)
    except ValueError:
        return body.decode(errors="replace")


class RouterSink:
    """Passes the results of engine polls to the router."""

    def __init__(self, router: Router) -> None:
        self._router = router

    def update_load(
        self, server_id: BackendServerId, report: engines.LoadReport, now: float
    ) -> None:
        """Process a load report received at ``now``."""
        self._router.update_load(
            server_id,
            LoadReport(
                report.running,
                report.queued,
                report.max_running,
                report.prefill_tokens_per_s,
                report.decode_tokens_per_s,
                report.queued_prefill_tokens,
                draining=report.draining,
                age_s=report.age_ms / 1_000,
            ),
            now,
        )

    def update_blocks(
        self,
        server_id: BackendServerId,
        stored: frozenset[BlockKey],
        evicted: frozenset[BlockKey],
    ) -> None:
        """Process changes of a server's cached blocks."""
        self._router.update_blocks(server_id, stored, evicted)

    def update_versions(
        self, server_id: BackendServerId, state: engines.EngineState
    ) -> None:
        """Process the models and weight versions that a server has loaded."""
        self._router.update_versions(
            server_id,
            {
                ModelId(model): tuple(map(WeightVersion, versions))
                for model, versions in state.models.items()
            },
        )

    def record_connection_refused(self, server_id: BackendServerId) -> None:
        """Record that a server refused a connection."""
        self._router.record_connection_refused(server_id)

    def record_restart(self, server_id: BackendServerId) -> None:
        """Record that a server was restarted."""
        self._router.record_restart(server_id)

    def mark_leaving(self, server_id: BackendServerId) -> None:
        """Record that a server accepts no new requests."""
        self._router.mark_leaving(server_id)


class CallerActions:
    """`ActionService` with JSON bodies, for the callers' API."""

    def __init__(self, actions: ActionService) -> None:
        self._actions = actions

    async def run(
        self,
        account_id: AccountId,
        key: IdempotencyKey | None,
        service: ServiceId,
        operation: str,
        body: dict[str, Any],
        deadline: float,
    ) -> JsonResult:
        """Run an operation.

        The body is encoded canonically, so that equal JSON values give equal requests.
        """
        encoded = json.dumps(body, sort_keys=True, separators=(",", ":")).encode()
        result = await self._actions.run(
            account_id,
            key or IdempotencyKey(""),
            service,
            operation,
            encoded,
            deadline,
        )
        return JsonResult.from_result(result)

    async def lookup(self, account_id: AccountId, key: IdempotencyKey) -> JsonResult:
        """Return the state of an action."""
        return JsonResult.from_result(await self._actions.lookup(account_id, key))


class OperatorActions:
    """`ActionService` for the operators' API."""

    def __init__(self, actions: ActionService) -> None:
        self._actions = actions

    async def resolve(
        self, account_id: AccountId, key: IdempotencyKey, outcome: str, operator: str
    ) -> ActionResult:
        """Set the outcome of the current attempt of the action."""
        record = await self._actions.lookup(account_id, key)
        resolution = Resolution(ActionState(outcome), record.attempt)
        return await self._actions.resolve(account_id, key, resolution, operator)


@dataclass(frozen=True)
class TextPrompt:
    """A stored prompt with its text."""

    id: PromptId
    text: str


class CallerPrompts:
    """`PromptStore` with prompts as text, for the callers' API.

    The ``deadline`` parameters are unused: the store sets its own deadline for each
    call to the platform.
    """

    def __init__(self, prompts: PromptStore) -> None:
        self._prompts = prompts

    async def create(
        self, account_id: AccountId, text: str, *, deadline: float
    ) -> TextPrompt:
        """Store a prompt."""
        stored = await self._prompts.create(account_id, {"text": text})
        return TextPrompt(stored.id, text)

    async def get(
        self, account_id: AccountId, prompt_id: PromptId, *, deadline: float
    ) -> TextPrompt:
        """Return a prompt."""
        stored = await self._prompts.get(account_id, prompt_id)
        text = stored.body.get("text")
        if not isinstance(text, str):
            raise ChivesaddleError(
                f"Prompt {prompt_id} has no text",
                remedy="Delete the prompt and store it again with a text field",
            )
        return TextPrompt(stored.id, text)

    async def list(
        self, account_id: AccountId, *, deadline: float
    ) -> Sequence[TextPrompt]:
        """Return all prompts of the account."""
        stored = await self._prompts.list(account_id)
        return [TextPrompt(p.id, str(p.body.get("text", ""))) for p in stored]

    async def delete(
        self, account_id: AccountId, prompt_id: PromptId, *, deadline: float
    ) -> None:
        """Delete a prompt."""
        await self._prompts.delete(account_id, prompt_id)


__all__ = [
    "CallerActions",
    "CallerPrompts",
    "ConfigurationPort",
    "JsonResult",
    "OperatorActions",
    "RouterSink",
    "TextPrompt",
]
