"""Builds a fleet's initial configuration and applies it through the operators' API."""

import hashlib
import time
from collections.abc import Mapping, Sequence
from typing import Any

import httpx

from chivesaddle.core.model import (
    Account,
    BackendServer,
    Entity,
    Model,
    Operation,
    Service,
    Store,
)
from chivesaddle.tools import kursuskoda as layout
from chivesaddle.tools.processes import ToolError

APPLY_TIMEOUT_S = 60.0
RETRY_INTERVAL_S = 0.5
# 503: too few daemons are known yet; 409: another plan was confirmed first;
# 429: too many requests.
RETRYABLE_STATUSES = frozenset({409, 429, 503})


def key_digest(key: str) -> str:
    """Return the hex SHA-256 of a bearer key."""
    return hashlib.sha256(key.encode()).hexdigest()


def initial_operations(
    keys_by_account: Mapping[str, str], urls_by_name: Mapping[str, str]
) -> list[dict[str, Any]]:
    """Return the operations that configure the Kursuskoda deployment.

    Parameters
    ----------
    keys_by_account : mapping
        Bearer key of each account.
    urls_by_name : mapping
        Base URLs of the fakes.
    """
    accounts = [
        Account.model_validate(
            {
                "id": name,
                "key_sha256": [key_digest(key)],
                "weight": layout.FAIR_SHARE_WEIGHTS_BY_ACCOUNT.get(name, 1.0),
            }
        )
        for name, key in keys_by_account.items()
    ]
    model = Model.model_validate(
        {
            "id": layout.MODEL,
            "weight_version": layout.WEIGHT_VERSION,
            "adapters": [layout.ADAPTER],
        }
    )
    servers = [
        BackendServer.model_validate(
            {
                "id": f"engine-{n}",
                "url": urls_by_name[f"engine-{n}"],
                "zone": zone,
                "region": layout.REGION,
                "models": [layout.MODEL],
                "checks_fencing": checks_fence(n),
            }
        )
        for n, zone in enumerate(layout.ENGINE_ZONES, 1)
    ]
    stores = [
        Store.model_validate(
            {
                "id": f"store-{n}",
                "url": urls_by_name[f"store-{n}"],
                "zone": zone,
                "region": layout.REGION,
            }
        )
        for n, zone in enumerate(layout.STORE_ZONES, 1)
    ]
    service = Service.model_validate(
        {
            "id": layout.SERVICE,
            "urls": booking_urls(urls_by_name),
            "operations": [
                Operation(name=name, repeatable=repeatable)
                for name, repeatable in layout.REPEATABLE_BY_OPERATION.items()
            ],
        }
    )
    return [
        *(_operation("put_account", account) for account in accounts),
        _operation("put_model", model),
        *(_operation("put_backend_server", server) for server in servers),
        *(_operation("put_store", store) for store in stores),
        _operation("put_service", service),
    ]


def checks_fence(number: int) -> bool:
    """Return whether the engine of this number checks fencing tokens; odd ones do."""
    return number % 2 == 1


def booking_urls(urls_by_name: Mapping[str, str]) -> list[str]:
    """Return the base URLs of the booking service."""
    return [
        urls_by_name[f"booking-{n}"] for n in range(1, len(layout.BOOKING_ZONES) + 1)
    ]


def apply_operations(
    operator_url: str,
    key: str,
    operations: Sequence[dict[str, Any]],
    note: str,
    transport: httpx.BaseTransport | None = None,
) -> dict[str, Any]:
    """Create and confirm a plan; retry with a new plan on `RETRYABLE_STATUSES`.

    Parameters
    ----------
    operator_url, key : str
        Base URL and bearer key of the operators' API.
    operations : sequence of dict
        Operations to plan.
    note : str
        Reason shown in the plan.
    transport : httpx.BaseTransport or None
        Transport for tests; None connects to ``operator_url``.

    Returns
    -------
    dict
        Response of the operators' API to the confirmation.

    Raises
    ------
    ToolError
        If the plan is rejected, or not confirmed within ``APPLY_TIMEOUT_S``.
    """
    deadline = time.monotonic() + APPLY_TIMEOUT_S
    intent = {"operations": list(operations), "note": note}
    headers = {"Authorization": f"Bearer {key}"}
    with httpx.Client(
        base_url=f"{operator_url}/operator/v1",
        headers=headers,
        timeout=15.0,
        transport=transport,
    ) as client:
        while True:
            response = client.post("/plans", json=intent)
            if response.is_success:
                plan_id = response.json()["id"]
                response = client.post(f"/plans/{plan_id}/confirm")
                if response.is_success:
                    return response.json()
            is_past_deadline = time.monotonic() >= deadline
            if is_past_deadline or response.status_code not in RETRYABLE_STATUSES:
                raise ToolError(
                    f"{response.request.url}: HTTP {response.status_code}: "
                    f"{response.text[:500]}"
                )
            time.sleep(RETRY_INTERVAL_S)


def _operation(kind: str, entity: Entity) -> dict[str, Any]:
    return {"kind": kind, **entity.model_dump(mode="json")}


__all__ = [
    "apply_operations",
    "booking_urls",
    "checks_fence",
    "initial_operations",
    "key_digest",
]
