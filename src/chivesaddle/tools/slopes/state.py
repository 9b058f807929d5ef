"""Builds configurations of a given size."""

import hashlib

from chivesaddle.core.ids import (
    AccountId,
    BackendServerId,
    ModelId,
    Revision,
    WeightVersion,
    ZoneId,
)
from chivesaddle.core.model import Account, BackendServer, ConfigState, Model

MODEL_COUNT = 9
ZONE_COUNT = 18
BEARER_KEY = "key"


def config_state(
    servers: int = 0,
    accounts: int = 0,
    *,
    urls: tuple[str, ...] = ("http://127.0.0.1:9",),
) -> ConfigState:
    """Return a configuration at revision 1, with backend servers in 18 zones."""
    models = [
        Model(id=ModelId(f"m{n}"), weight_version=_weight_version(1))
        for n in range(MODEL_COUNT)
    ]
    return ConfigState(
        revision=Revision(1),
        accounts_by_id={a.id: a for a in map(make_account, range(accounts))},
        models_by_id={m.id: m for m in models},
        backend_servers_by_id={
            s.id: s
            for s in (make_server(n, urls[n % len(urls)]) for n in range(servers))
        },
    )


def make_server(number: int, url: str) -> BackendServer:
    """Return a backend server with one model."""
    return BackendServer(
        id=BackendServerId(f"server-{number}"),
        url=url,
        zone=ZoneId(f"zone-{number % ZONE_COUNT}"),
        models=(ModelId(f"m{number % MODEL_COUNT}"),),
        max_running=64,
    )


def make_account(number: int) -> Account:
    """Return an account; the bearer key of account 0 is `BEARER_KEY`."""
    key = BEARER_KEY if number == 0 else f"{BEARER_KEY}-{number}"
    digest = hashlib.sha256(key.encode()).hexdigest()
    return Account(
        id=AccountId(f"account-{number}"),
        key_sha256=(digest,),
        requests_per_s=1e6,
        tokens_per_s=1e9,
    )


def _weight_version(number: int) -> WeightVersion:
    return WeightVersion(f"v{number}")


__all__ = ["BEARER_KEY", "config_state", "make_account", "make_server"]
