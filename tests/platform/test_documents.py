import pytest

from chivesaddle.core.errors import InvalidValue
from chivesaddle.core.serving_model import RouteKind, ServerState
from chivesaddle.platform import decode_configuration, decode_server

SERVER = {
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 8,
    "state": "ready",
    "models": [{"name": "m", "version": 2, "adapters": []}],
    "sequence": 4,
}


def route(name, prefix, **fields):
    return {
        "name": name,
        "host": "H.example",
        "path_prefix": prefix,
        "kind": "safe",
        "timeout_ms": 800,
        "service": "app",
        **fields,
    }


def configuration(**fields):
    routes = [route("a", "/a/"), route("ab", "/a/b/"), route("s", "/s/")]
    return decode_configuration({"version": 7, "routes": routes, **fields})


class TestConfiguration:
    def test_longest_prefix_takes_the_request(self):
        found = configuration()
        assert found.find_route("h.example", "/a/b/c?q=/s/").id == "ab"
        assert found.find_route("h.example", "/a/x").id == "a"
        assert found.find_route("h.example", "/ab") is None
        assert found.find_route("other", "/a/x") is None

    def test_split_goes_before_a_single_service(self):
        split = [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]
        found = decode_configuration(
            {"version": 1, "routes": [route("a", "/a/", traffic_split=split)]}
        )
        assert found.find_route("h.example", "/a/").weight_by_service == {
            "x": 90,
            "y": 10,
        }

    def test_stores_are_kept_apart_from_services(self):
        services = [
            {"name": "vault", "kv_store_address": "10.9.0.1:80", "kv_capacity": 9},
            {"name": "app"},
        ]
        found = configuration(services=services)
        assert list(found.stores_by_id) == ["vault"]
        assert list(found.services_by_id) == ["app"]

    def test_resumable_streams_and_idempotent_requests_may_be_repeated(self):
        kinds = [("safe", False), ("unsafe", False), ("streaming", False)]
        repeatable = []
        for kind, resume in [*kinds, ("streaming", True)]:
            one = route("a", "/a/", kind=kind, allow_resume=resume)
            found = decode_configuration({"version": 1, "routes": [one]})
            repeatable.append(found.find_route("h.example", "/a/").is_repeatable)
        assert repeatable == [True, False, False, True]

    def test_route_of_an_unknown_kind_is_left_out(self):
        found = decode_configuration(
            {"version": 1, "routes": [route("a", "/a/", kind="other")]}
        )
        assert found.find_route("h.example", "/a/") is None

    def test_malformed_configuration_names_the_field(self):
        with pytest.raises(InvalidValue, match="version"):
            decode_configuration({"version": "seven"})

    def test_kinds_are_the_products(self):
        assert configuration().find_route("h.example", "/s/").kind is (
            RouteKind.IDEMPOTENT
        )


class TestServers:
    def test_entry_is_decoded(self):
        found = decode_server("i-1", SERVER)
        assert found.state is ServerState.READY
        assert found.version_by_model == {"m": 2}

    @pytest.mark.parametrize(
        "fields",
        [
            {"state": "confused"},
            {"address": "nowhere"},
            {"address": 5},
            {"slots": "many"},
            {"slots": 0},
            {"models": [5]},
        ],
    )
    def test_entry_of_another_writer_names_no_server(self, fields):
        assert decode_server("i-1", {**SERVER, **fields}) is None

    @pytest.mark.parametrize("value", [None, "text", [], {"service": "llm"}])
    def test_unreadable_value_names_no_server(self, value):
        assert decode_server("i-1", value) is None
