import json

import httpx
import pytest

from chivesaddle.tools import operations
from chivesaddle.tools.operations import apply_operations
from chivesaddle.tools.processes import ToolError

OPERATIONS = [{"kind": "delete_account", "id": "cooks"}]


@pytest.fixture
def apply_against_responses(monkeypatch):
    """Return a function that applies operations and returns the requests sent.

    Its arguments are the status and JSON body of each response, in order.
    """
    monkeypatch.setattr(operations, "RETRY_INTERVAL_S", 0)

    def apply_with(*responses):
        remaining, sent = list(responses), []

        def respond(request):
            sent.append(request)
            status, body = remaining.pop(0)
            return httpx.Response(status, json=body)

        transport = httpx.MockTransport(respond)
        apply_operations("http://operators", "key", OPERATIONS, "note", transport)
        assert remaining == []
        return sent

    return apply_with


class TestApplyOperations:
    def test_plan_is_confirmed_under_its_id(self, apply_against_responses):
        plan, confirm = apply_against_responses(
            (201, {"id": "p1"}), (200, {"revision": 1})
        )
        assert json.loads(plan.content) == {"operations": OPERATIONS, "note": "note"}
        assert plan.headers["Authorization"] == "Bearer key"
        assert confirm.url.path == "/operator/v1/plans/p1/confirm"

    def test_outdated_plan_is_replaced_by_a_new_one(self, apply_against_responses):
        """Guards against confirming an outdated plan again, which never succeeds."""
        sent = apply_against_responses(
            (200, {"id": "p1"}),
            (409, {"error": {"code": "plan_outdated"}}),
            (200, {"id": "p2"}),
            (200, {"revision": 2}),
        )
        assert sent[-1].url.path == "/operator/v1/plans/p2/confirm"

    def test_rejected_plan_is_reported_with_the_response_body(
        self, apply_against_responses
    ):
        with pytest.raises(ToolError, match="no such account"):
            apply_against_responses((400, {"error": {"message": "no such account"}}))
