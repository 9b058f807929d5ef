import pytest

from chivesaddle.configuration import parse_intent, redact_key_digests
from chivesaddle.configuration.operations import apply_operations, check_consistency
from chivesaddle.configuration.plan import differences, warnings
from chivesaddle.core.errors import InvalidValue
from chivesaddle.core.model import ConfigState

DIGEST = "ab" * 32
MODEL = {"kind": "put_model", "id": "assistant", "weight_version": "1"}
ACCOUNT = {"kind": "put_account", "id": "tartu", "key_sha256": [DIGEST]}


def server(name, **fields):
    defaults = {"url": "http://127.0.0.1:1", "zone": "z1", "models": ["assistant"]}
    return {"kind": "put_backend_server", "id": name, **defaults, **fields}


def state_after(state, *operations):
    intent = parse_intent({"operations": list(operations)})
    return apply_operations(state, intent.operations, state.revision + 1)


@pytest.fixture
def base():
    return state_after(ConfigState.empty(), MODEL, server("s1"), server("s2"), ACCOUNT)


class TestIntent:
    @pytest.mark.parametrize(
        "data, field",
        [
            ({"operations": []}, "operations"),
            ({"operations": [{"kind": "make_account"}]}, "operations.0"),
            ({"operations": [MODEL | {"colour": 1}]}, "operations.0.put_model.colour"),
            ([], "(top level)"),
        ],
    )
    def test_error_identifies_the_invalid_field(self, data, field):
        with pytest.raises(InvalidValue) as caught:
            parse_intent(data)
        assert caught.value.field == field

    @pytest.mark.parametrize(
        "operation, field",
        [
            (ACCOUNT | {"key_sha256": ["the-key-itself"]}, "key_sha256"),
            (ACCOUNT | {"id": "a/b"}, "id"),
            (ACCOUNT | {"id": ""}, "id"),
            (server("s", url="ftp://x"), "url"),
            (server("s", zone="z 1"), "zone"),
        ],
    )
    def test_malformed_text_is_rejected(self, operation, field):
        """Guards against storing plain-text keys and ids that do not fit into a URL."""
        with pytest.raises(InvalidValue) as caught:
            parse_intent({"operations": [operation]})
        assert caught.value.field == f"operations.0.{field}"
        assert "the-key-itself" not in str(caught.value)

    def test_error_does_not_repeat_the_value(self):
        """Guards against logging a key that was given in the wrong field."""
        with pytest.raises(InvalidValue) as caught:
            parse_intent({"operations": [ACCOUNT | {"key": "secret-key"}]})
        assert "secret-key" not in str(caught.value)


class TestApplyOperations:
    def test_drain_keeps_the_server_and_its_other_fields(self, base):
        state = state_after(base, {"kind": "drain_backend_server", "id": "s1"})
        drained = state.backend_servers_by_id["s1"]
        assert drained.state.value == "draining"
        assert drained.url == base.backend_servers_by_id["s1"].url

    @pytest.mark.parametrize(
        "kind", ["account", "model", "backend_server", "store", "service"]
    )
    def test_deleting_an_unknown_object_is_refused(self, base, kind):
        with pytest.raises(InvalidValue, match=r"no .* gone"):
            state_after(base, {"kind": f"delete_{kind}", "id": "gone"})

    def test_model_used_by_a_server_cannot_be_deleted(self, base):
        with pytest.raises(InvalidValue, match="s1 uses model assistant"):
            check_consistency(
                state_after(base, {"kind": "delete_model", "id": "assistant"})
            )

    def test_two_accounts_cannot_share_a_key(self, base):
        """Guards against exposing one account's prompts to another account."""
        with pytest.raises(InvalidValue, match="share a key"):
            check_consistency(state_after(base, ACCOUNT | {"id": "tallinn"}))


class TestReadablePlan:
    def test_added_changed_and_removed_objects_are_listed(self, base):
        state = state_after(
            base,
            server("s3", zone="z2"),
            ACCOUNT | {"weight": 2.0},
            {"kind": "delete_backend_server", "id": "s2"},
        )
        lines = differences(base, state)
        assert lines[0] == "change account tartu: weight 1.0 -> 2.0"
        assert lines[1] == "remove backend server s2"
        assert lines[2].startswith("add backend server s3: url=http://127.0.0.1:1")

    def test_key_digests_do_not_appear(self, base):
        """Guards against secrets in plans that are shown to non-operators."""
        state = state_after(
            base, ACCOUNT | {"key_sha256": ["cd" * 32]}, ACCOUNT | {"id": "b"}
        )
        text = str(differences(base, state)) + str(redact_key_digests(state.to_json()))
        assert DIGEST not in text and "cd" * 32 not in text

    @pytest.mark.parametrize(
        "operations, warning",
        [
            (
                [MODEL | {"id": "booking"}],
                "model booking has no serving backend server",
            ),
            (
                [
                    {"kind": "drain_backend_server", "id": "s1"},
                    {"kind": "delete_backend_server", "id": "s2"},
                ],
                "model assistant loses its last serving backend server",
            ),
            ([MODEL | {"weight_version": "2"}], "swaps weight version 1 for 2"),
            ([MODEL | {"weight_version": "2"}], "is not preloaded"),
            ([{"kind": "delete_account", "id": "tartu"}], "account tartu is removed"),
            ([ACCOUNT | {"key_sha256": ["cd" * 32]}], "account tartu loses a key"),
        ],
    )
    def test_consequence_produces_a_warning(self, base, operations, warning):
        found_warnings = warnings(base, state_after(base, *operations))
        assert [w for w in found_warnings if warning in w], found_warnings

    def test_adding_a_server_produces_no_warning(self, base):
        assert warnings(base, state_after(base, server("s3"))) == ()
