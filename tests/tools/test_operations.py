import json

import httpx
import pytest

from chivesaddle.tools import operations
from chivesaddle.tools.operations import apply_operations
from chivesaddle.tools.processes import ToolError

OPERATIONS = [{"kind": "delete_account", "id": "cooks"}]


@pytest.fixture
def apply(monkeypatch):
    """Apply operations against prepared answers; return what was sent."""
    monkeypatch.setattr(operations, "RETRY_S", 0)

    def apply_against(*answers):
        left, sent = list(answers), []

        def answer(request):
            sent.append(request)
            status, body = left.pop(0)
            return httpx.Response(status, json=body)

        transport = httpx.MockTransport(answer)
        apply_operations("http://operators", "key", OPERATIONS, "note", transport)
        assert left == []
        return sent

    return apply_against


class TestApplyOperations:
    def test_plan_is_confirmed_under_its_id(self, apply):
        plan, confirm = apply((201, {"id": "p1"}), (200, {"revision": 1}))
        assert json.loads(plan.content) == {"operations": OPERATIONS, "note": "note"}
        assert plan.headers["Authorization"] == "Bearer key"
        assert confirm.url.path == "/operator/v1/plans/p1/confirm"

    def test_outdated_plan_is_replaced_by_a_new_one(self, apply):
        """Guards against confirming again what can never be accepted."""
        sent = apply(
            (200, {"id": "p1"}),
            (409, {"error": {"code": "plan_outdated"}}),
            (200, {"id": "p2"}),
            (200, {"revision": 2}),
        )
        assert sent[-1].url.path == "/operator/v1/plans/p2/confirm"

    def test_refused_plan_is_reported_with_its_answer(self, apply):
        with pytest.raises(ToolError, match="no such account"):
            apply((400, {"error": {"message": "no such account"}}))
