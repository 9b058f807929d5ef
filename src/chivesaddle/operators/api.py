"""Routes of the operator API."""

import json
from typing import Any

from klein import Klein
from twisted.python.failure import Failure
from twisted.web.resource import Resource
from twisted.web.server import Request
from werkzeug.exceptions import HTTPException

from chivesaddle.configuration import (
    ConfigService,
    Plan,
    PlanOutdated,
    PromptStore,
    redact_key_digests,
)
from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import ChivesaddleError, InvalidValue
from chivesaddle.core.events import EventFilter, EventKind, EventRing, Timestamp
from chivesaddle.core.ids import (
    AccountId,
    ChangeId,
    Fingerprint,
    IdempotencyKey,
    PromptId,
)
from chivesaddle.operators.account_keys import complete_account_keys
from chivesaddle.operators.auth import Operator, OperatorKeys, Role
from chivesaddle.operators.interfaces import ActionResolver, FleetClient
from chivesaddle.operators.web import (
    endpoint,
    http_error_response,
    json_body,
    query_parameter,
)

# Daemons that do not respond within this time are listed in missing_daemons.
COLLECT_TIMEOUT_S = 2.0
MAX_TIMELINE_EVENTS = 10_000
# A longer number is over any limit.
MAX_LIMIT_DIGITS = 20
MAX_PLAN_ATTEMPTS = 3


class AccountNotFound(ChivesaddleError):
    """The configuration has no account with this id."""

    code = "account_not_found"
    status = 404


class OperatorApi:
    """HTTP API with which operators change and inspect the fleet.

    It plans and confirms configuration changes, reports the status and the event
    timeline of all daemons, manages stored prompts, resolves actions in doubt and
    clears suspect requests.

    Parameters
    ----------
    keys : OperatorKeys
        Keys that authenticate operators.
    config : ConfigService
        Plans and confirms configuration changes.
    prompts : PromptStore
        Prompts stored for client accounts.
    fleet : FleetClient
        Collects the status and events of all daemons and clears suspect requests.
    actions : ActionResolver
        Resolves actions in doubt.
    events : EventRing
        Records every plan, confirmation, resolved action and cleared suspect.
    clock : Clock
        Monotonic clock of this process.
    """

    app = Klein()

    def __init__(
        self,
        keys: OperatorKeys,
        config: ConfigService,
        prompts: PromptStore,
        fleet: FleetClient,
        actions: ActionResolver,
        events: EventRing,
        clock: Clock,
    ) -> None:
        self.keys = keys
        self._config = config
        self._prompts = prompts
        self._fleet = fleet
        self._actions = actions
        self._events = events
        self._clock = clock

    def resource(self) -> Resource:
        """Return the root resource of the API."""
        return self.app.resource()

    @app.handle_errors(HTTPException)
    def _handle_http_error(self, request: Request, failure: Failure) -> bytes:
        assert isinstance(failure.value, HTTPException)
        return http_error_response(request, failure.value)

    @app.route("/operator/v1/plans", methods=["POST"])
    @endpoint(Role.OPERATOR)
    async def _create_plan(self, request: Request, operator: Operator) -> Any:
        plan, keys_by_account = await self._plan_with_account_keys(
            json_body(request), operator
        )
        change = plan.change
        # Planning has no event kind of its own: the event is CONFIG_CONFIRMED with step
        # "planned".
        self._record_plan_event(operator, change.id, change.revision, "planned")
        return 201, self._plan_json(plan) | {"keys_by_account": keys_by_account}

    @app.route("/operator/v1/plans/<change_id>", methods=["GET"])
    @endpoint(Role.VIEWER)
    async def _get_plan(
        self, request: Request, operator: Operator, change_id: str
    ) -> Any:
        return self._plan_json(await self._config.get_plan(ChangeId(change_id)))

    @app.route("/operator/v1/plans/<change_id>/confirm", methods=["POST"])
    @endpoint(Role.OPERATOR)
    async def _confirm_plan(
        self, request: Request, operator: Operator, change_id: str
    ) -> Any:
        try:
            confirmation = await self._config.confirm(
                ChangeId(change_id), operator.name
            )
        except ChivesaddleError as error:
            self._record_plan_event(
                operator, change_id, 0, "confirm_failed", error.code
            )
            raise
        outcome = "accepted" if confirmation.accepted else "committed"
        self._record_plan_event(
            operator, change_id, confirmation.revision, "confirmed", outcome
        )
        response = {
            "change_id": confirmation.change_id,
            "revision": confirmation.revision,
            "state": outcome,
            "not_in_force": list(confirmation.not_in_force),
        }
        return (200 if confirmation.accepted else 202), response

    @app.route("/operator/v1/configuration", methods=["GET"])
    @endpoint(Role.VIEWER)
    async def _get_configuration(self, request: Request, operator: Operator) -> Any:
        return redact_key_digests(self._config.active_config.state.to_json())

    @app.route("/operator/v1/status", methods=["GET"])
    @endpoint(Role.VIEWER)
    async def _get_status(self, request: Request, operator: Operator) -> Any:
        now = self._clock.seconds()
        status = await self._fleet.collect_status(now + COLLECT_TIMEOUT_S)
        freshness = self._config.freshness
        return {
            "configuration": {
                "revision": self._config.active_config.revision,
                "confirmed": freshness.is_confirmed(now),
                "majority_contact": freshness.has_majority_contact(now),
                "reading_age_s": freshness.reading_age(now),
            },
            "daemons": status.daemons,
            "missing_daemons": status.missing_daemons,
        }

    @app.route("/operator/v1/timeline", methods=["GET"])
    @endpoint(Role.VIEWER)
    async def _get_timeline(self, request: Request, operator: Operator) -> Any:
        event_filter = EventFilter(
            request=query_parameter(request, "request"),
            account=query_parameter(request, "account"),
            object=query_parameter(request, "object"),
            after=_parse_timestamp(query_parameter(request, "after", "0.-1")),
            limit=_parse_limit(query_parameter(request, "limit", "1000")),
        )
        deadline = self._clock.seconds() + COLLECT_TIMEOUT_S
        collected = await self._fleet.collect_events(event_filter, deadline)
        events = sorted(collected.events, key=lambda event: (event.at, event.daemon))
        return {
            "events": [event.to_json() for event in events[-event_filter.limit :]],
            "missing_daemons": collected.missing_daemons,
        }

    @app.route(
        "/operator/v1/actions/<account>/<path:key>/resolve",
        methods=["POST"],
    )
    @endpoint(Role.OPERATOR)
    async def _resolve_action(
        self, request: Request, operator: Operator, account: str, key: str
    ) -> Any:
        body = json_body(request)
        outcome = body.get("outcome") if isinstance(body, dict) else None
        if outcome not in ("done", "not_run"):
            raise InvalidValue(
                "Field outcome must be done or not_run",
                field="outcome",
                remedy="Look the action up at its service; send done or not_run",
            )
        step = "resolve_failed"
        try:
            result = await self._actions.resolve(
                AccountId(account), IdempotencyKey(key), outcome, operator.name
            )
            step = "resolved"
        finally:
            self._events.record(
                EventKind.ACTION_CHANGED,
                account=account,
                object=f"action/{key}",
                operator=operator.name,
                step=step,
                outcome=outcome,
            )
        return {"state": result.state.value, "status": result.status}

    @app.route("/operator/v1/accounts/<account>/prompts", methods=["GET"])
    @endpoint(Role.VIEWER)
    async def _list_prompts(
        self, request: Request, operator: Operator, account: str
    ) -> Any:
        self._require_account(account)
        prompts = await self._prompts.list(AccountId(account))
        # The content of a prompt is private to its account; operators get only ids and
        # sizes.
        return {
            "prompts": [
                {"id": stored.id, "bytes": len(json.dumps(stored.body))}
                for stored in prompts
            ]
        }

    @app.route("/operator/v1/accounts/<account>/prompts", methods=["POST"])
    @endpoint(Role.OPERATOR)
    async def _create_prompt(
        self, request: Request, operator: Operator, account: str
    ) -> Any:
        self._require_account(account)
        data = json_body(request)
        body = data.get("body") if isinstance(data, dict) else None
        prompt_id = data.get("id") if isinstance(data, dict) else None
        if not isinstance(body, dict) or not isinstance(prompt_id, str | None):
            raise InvalidValue(
                "Field body must be an object, and field id a string if present",
                field="body",
            )
        prompt = await self._prompts.create(
            AccountId(account), body, PromptId(prompt_id) if prompt_id else None
        )
        return 201, {"id": prompt.id}

    @app.route(
        "/operator/v1/accounts/<account>/prompts/<path:prompt_id>",
        methods=["DELETE"],
    )
    @endpoint(Role.OPERATOR)
    async def _delete_prompt(
        self, request: Request, operator: Operator, account: str, prompt_id: str
    ) -> Any:
        self._require_account(account)
        await self._prompts.delete(AccountId(account), PromptId(prompt_id))
        return {"id": prompt_id}

    @app.route("/operator/v1/suspects/<fingerprint>/clear", methods=["POST"])
    @endpoint(Role.OPERATOR)
    async def _clear_suspect(
        self, request: Request, operator: Operator, fingerprint: str
    ) -> Any:
        await self._fleet.clear_suspect(Fingerprint(fingerprint), operator.name)
        self._events.record(
            EventKind.SUSPECT_CHANGED,
            object=f"suspect/{fingerprint}",
            operator=operator.name,
            step="cleared",
        )
        return {"fingerprint": fingerprint}

    async def _plan_with_account_keys(
        self, intent: Any, operator: Operator
    ) -> tuple[Plan, dict[str, str]]:
        """Plan an intent after adding missing account keys; return the new keys.

        Keys of existing accounts come from the configuration in force. If it changes
        before the plan is computed, both steps are repeated.
        """
        for _ in range(MAX_PLAN_ATTEMPTS):
            await self._config.refresh()
            state = self._config.active_config.state
            completed_intent, keys_by_account = complete_account_keys(intent, state)
            plan = await self._config.plan(completed_intent, operator.name)
            if plan.change.parent == state.revision:
                return plan, keys_by_account
        raise PlanOutdated(
            "The configuration changed during every attempt to compute the plan",
            remedy="Plan again",
        )

    def _plan_json(self, plan: Plan) -> dict[str, Any]:
        active_config = self._config.active_config
        if active_config.has_recent_change(plan.change.id):
            state = "committed"
        elif plan.change.parent < active_config.revision:
            state = "outdated"
        else:
            state = "open"
        return plan.to_public_json() | {"state": state}

    def _record_plan_event(
        self,
        operator: Operator,
        change_id: str,
        revision: int,
        step: str,
        outcome: str = "",
    ) -> None:
        self._events.record(
            EventKind.CONFIG_CONFIRMED,
            object=f"plan/{change_id}",
            revision=revision,
            operator=operator.name,
            step=step,
            outcome=outcome,
        )

    def _require_account(self, account: str) -> None:
        if account not in self._config.active_config.state.accounts_by_id:
            raise AccountNotFound(
                f"There is no account {account}", remedy="List the accounts"
            )


def _parse_timestamp(text: str) -> Timestamp:
    wall_us, _, counter = text.partition(".")
    try:
        return Timestamp(int(wall_us), int(counter or 0))
    except ValueError:
        raise InvalidValue(
            f"Parameter after={text!r} does not have the form wall_us.counter",
            field="after",
            remedy="Use wall_us and counter from field at of the last event received",
        ) from None


def _parse_limit(text: str) -> int:
    # Python refuses to convert numbers of thousands of digits.
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_LIMIT_DIGITS
    if not is_number or not 1 <= int(text) <= MAX_TIMELINE_EVENTS:
        raise InvalidValue(
            f"Parameter limit={text[:MAX_LIMIT_DIGITS]!r} is not an integer from 1 to "
            f"{MAX_TIMELINE_EVENTS}",
            field="limit",
        )
    return int(text)


__all__ = ["AccountNotFound", "OperatorApi"]
