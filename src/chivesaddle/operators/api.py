"""Operators' HTTP API."""

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
    redacted,
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
from chivesaddle.operators.fleet import Actions, Fleet
from chivesaddle.operators.web import endpoint, http_error_answer, json_body, query

# Peers that do not answer within this time are named as missing.
COLLECT_S = 2.0
MAX_EVENTS = 10_000
PLAN_ATTEMPTS = 3


class AccountNotFound(ChivesaddleError):
    """The configuration has no account with this id."""

    code = "account_not_found"
    status = 404


class OperatorApi:
    """Plans, confirms, status, time line and repairs for operators.

    Parameters
    ----------
    keys : OperatorKeys
        Accepted operator keys.
    config : ConfigService
        Plans and confirms.
    prompts : PromptStore
        Stored prompts.
    fleet : Fleet
        Status and events of all daemons.
    actions : Actions
        Actions in doubt.
    events : EventRing
        Receives an event for every plan, confirm and resolve.
    clock : Clock
        Monotonic clock of this process.
    """

    app = Klein()

    def __init__(
        self,
        keys: OperatorKeys,
        config: ConfigService,
        prompts: PromptStore,
        fleet: Fleet,
        actions: Actions,
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
        """Return the root resource of the operators' listener."""
        return self.app.resource()

    @app.handle_errors(HTTPException)
    def _unknown_route(self, request: Request, failure: Failure) -> bytes:
        assert isinstance(failure.value, HTTPException)
        return http_error_answer(request, failure.value)

    @app.route("/operator/v1/plans", methods=["POST"])
    @endpoint(Role.OPERATOR)
    async def _plan(self, request: Request, operator: Operator) -> Any:
        plan, keys_by_account = await self._make_plan(json_body(request), operator)
        change = plan.change
        # The event kinds have none for plans; `step` tells plan and confirm apart.
        self._record_change(operator, change.id, change.revision, "planned")
        return 201, self._plan_json(plan) | {"keys_by_account": keys_by_account}

    @app.route("/operator/v1/plans/<change_id>", methods=["GET"])
    @endpoint(Role.VIEWER)
    async def _show(self, request: Request, operator: Operator, change_id: str) -> Any:
        return self._plan_json(await self._config.get_plan(ChangeId(change_id)))

    @app.route("/operator/v1/plans/<change_id>/confirm", methods=["POST"])
    @endpoint(Role.OPERATOR)
    async def _confirm(
        self, request: Request, operator: Operator, change_id: str
    ) -> Any:
        try:
            done = await self._config.confirm(ChangeId(change_id), operator.name)
        except ChivesaddleError as error:
            self._record_change(operator, change_id, 0, "confirm_failed", error.code)
            raise
        outcome = "accepted" if done.accepted else "committed"
        self._record_change(operator, change_id, done.revision, "confirmed", outcome)
        answer = {
            "change_id": done.change_id,
            "revision": done.revision,
            "state": outcome,
            "not_in_force": list(done.not_in_force),
        }
        return (200 if done.accepted else 202), answer

    @app.route("/operator/v1/configuration", methods=["GET"])
    @endpoint(Role.VIEWER)
    async def _configuration(self, request: Request, operator: Operator) -> Any:
        return redacted(self._config.holder.state.to_json())

    @app.route("/operator/v1/status", methods=["GET"])
    @endpoint(Role.VIEWER)
    async def _status(self, request: Request, operator: Operator) -> Any:
        now = self._clock.seconds()
        status = await self._fleet.collect_status(now + COLLECT_S)
        freshness = self._config.freshness
        return {
            "configuration": {
                "revision": self._config.holder.revision,
                "confirmed": freshness.is_confirmed(now),
                "majority_contact": freshness.has_majority_contact(now),
                "reading_age_s": freshness.reading_age(now),
            },
            "daemons": status.daemons,
            "missing_daemons": status.missing,
        }

    @app.route("/operator/v1/timeline", methods=["GET"])
    @endpoint(Role.VIEWER)
    async def _timeline(self, request: Request, operator: Operator) -> Any:
        wanted = EventFilter(
            request=query(request, "request"),
            account=query(request, "account"),
            object=query(request, "object"),
            after=_timestamp(query(request, "after", "0.-1")),
            limit=_limit(query(request, "limit", "1000")),
        )
        deadline = self._clock.seconds() + COLLECT_S
        found = await self._fleet.collect_events(wanted, deadline)
        events = sorted(found.events, key=lambda event: (event.at, event.daemon))
        return {
            "events": [event.to_json() for event in events[-wanted.limit :]],
            "missing_daemons": found.missing,
        }

    @app.route(
        "/operator/v1/actions/<account>/<path:key>/resolve",
        methods=["POST"],
    )
    @endpoint(Role.OPERATOR)
    async def _resolve(
        self, request: Request, operator: Operator, account: str, key: str
    ) -> Any:
        body = json_body(request)
        outcome = body.get("outcome") if isinstance(body, dict) else None
        if outcome not in ("done", "not_run"):
            raise InvalidValue(
                "Field outcome is neither done nor not_run",
                field="outcome",
                remedy="Look the action up at its service, then send what happened",
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
        self._check_account(account)
        prompts = await self._prompts.list(AccountId(account))
        # Contents belong to the account; operators see only names and sizes.
        return {
            "prompts": [{"id": p.id, "bytes": len(json.dumps(p.body))} for p in prompts]
        }

    @app.route("/operator/v1/accounts/<account>/prompts", methods=["POST"])
    @endpoint(Role.OPERATOR)
    async def _create_prompt(
        self, request: Request, operator: Operator, account: str
    ) -> Any:
        self._check_account(account)
        data = json_body(request)
        body = data.get("body") if isinstance(data, dict) else None
        prompt_id = data.get("id") if isinstance(data, dict) else None
        if not isinstance(body, dict) or not isinstance(prompt_id, str | None):
            raise InvalidValue(
                "A prompt needs an object in field body and optionally a string in id",
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
        self._check_account(account)
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

    async def _make_plan(
        self, intent: Any, operator: Operator
    ) -> tuple[Plan, dict[str, str]]:
        """Plan an intent whose account keys were completed from the plan's parent."""
        for _ in range(PLAN_ATTEMPTS):
            await self._config.refresh()
            state = self._config.holder.state
            completed, keys_by_account = complete_account_keys(intent, state)
            plan = await self._config.plan(completed, operator.name)
            if plan.change.parent == state.revision:
                return plan, keys_by_account
        raise PlanOutdated(
            "The configuration kept changing while the plan was computed",
            remedy="Plan again",
        )

    def _plan_json(self, plan: Plan) -> dict[str, Any]:
        holder = self._config.holder
        if holder.remembers(plan.change.id):
            state = "committed"
        elif plan.change.parent < holder.revision:
            state = "outdated"
        else:
            state = "open"
        return plan.to_public_json() | {"state": state}

    def _record_change(
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

    def _check_account(self, account: str) -> None:
        if account not in self._config.holder.state.accounts_by_id:
            raise AccountNotFound(
                f"There is no account {account}", remedy="List the accounts"
            )


def _timestamp(text: str) -> Timestamp:
    wall_us, _, counter = text.partition(".")
    try:
        return Timestamp(int(wall_us), int(counter or 0))
    except ValueError:
        raise InvalidValue(
            f"after={text!r} is not wall_us.counter",
            field="after",
            remedy="Use the field at of the last event",
        ) from None


def _limit(text: str) -> int:
    if not text.isascii() or not text.isdigit() or not 1 <= int(text) <= MAX_EVENTS:
        raise InvalidValue(
            f"limit={text!r} is not between 1 and {MAX_EVENTS}", field="limit"
        )
    return int(text)


__all__ = ["AccountNotFound", "OperatorApi"]
