"""Configurations of the size to be measured."""

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

MODELS = 9
ZONES = 18
KEY = "key"


def config_state(
    servers: int = 0,
    accounts: int = 0,
    *,
    urls: tuple[str, ...] = ("http://127.0.0.1:9",),
) -> ConfigState:
    """Return a configuration at revision 1; the servers are spread over 18 zones."""
    models = [Model(id=ModelId(f"m{n}"), weight_version=_v(1)) for n in range(MODELS)]
    return ConfigState(
        revision=Revision(1),
        accounts_by_id={a.id: a for a in map(account, range(accounts))},
        models_by_id={m.id: m for m in models},
        backend_servers_by_id={
            s.id: s for s in (server(n, urls[n % len(urls)]) for n in range(servers))
        },
    )


def server(number: int, url: str) -> BackendServer:
    """Return a backend server with one model."""
    return BackendServer(
        id=BackendServerId(f"server-{number}"),
        url=url,
        zone=ZoneId(f"zone-{number % ZONES}"),
        models=(ModelId(f"m{number % MODELS}"),),
        max_running=64,
    )


def account(number: int) -> Account:
    """Return an account; the bearer key of the first one is `KEY`."""
    key = KEY if number == 0 else f"{KEY}-{number}"
    digest = hashlib.sha256(key.encode()).hexdigest()
    return Account(
        id=AccountId(f"account-{number}"),
        key_sha256=(digest,),
        requests_per_s=1e6,
        tokens_per_s=1e9,
    )


def _v(number: int) -> WeightVersion:
    return WeightVersion(f"v{number}")


__all__ = ["KEY", "account", "config_state", "server"]
