import pytest

from chivesaddle.core.model import Account, BackendServer, ConfigState, Model
from chivesaddle.routing import LoadReport, Router, RouteRequest


def make_config(servers=6, zones=3, version="v1", accounts=("a",), **limits):
    return ConfigState(
        revision=1,
        accounts_by_id={a: Account(id=a, **limits) for a in accounts},
        models_by_id={"m": Model(id="m", weight_version=version)},
        backend_servers_by_id={
            f"s{i}": BackendServer(
                id=f"s{i}", url="", zone=f"z{i % zones}", models=("m",), max_running=4
            )
            for i in range(servers)
        },
    )


def make_router(**config):
    router = Router("d1")
    router.update_config(make_config(**config))
    return router


def make_request(prompt="p", account="a", blocks=8, **fields):
    values = {
        "account_id": account,
        "model_id": "m",
        "weight_version": "v1",
        "adapter": None,
        "fingerprint": f"{account}/{prompt}",
        "prefix_keys": tuple(f"{account}/{prompt}/{i}" for i in range(blocks)),
        "prompt_tokens": blocks * 256 + 10,
        "max_tokens": 100,
        "interactive": True,
        "deadline": 100.0,
    }
    return RouteRequest(**(values | fields))


def make_report(**fields):
    values = {
        "running": 0,
        "queued": 0,
        "max_running": 4,
        "prefill_tokens_per_s": 8_000.0,
        "decode_tokens_per_s": 400.0,
        "queued_prefill_tokens": 0,
    }
    return LoadReport(**(values | fields))


@pytest.fixture
def build():
    """Builders shared by the tests of this package."""

    class Build:
        config = staticmethod(make_config)
        router = staticmethod(make_router)
        request = staticmethod(make_request)
        report = staticmethod(make_report)

    return Build
