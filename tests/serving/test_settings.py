import json
import re
from pathlib import Path

import pytest

from chivesaddle.serving.main import EXIT_INVALID_SETTINGS, main
from chivesaddle.serving.settings import ServingSettings, SettingsError

VALID = {
    "daemon_id": "d1",
    "zone": "z",
    "listen": {
        "callers": "10.0.0.1:80",
        "readiness": "10.0.0.1:81",
        "peers": "10.0.0.1:82",
        "addresses": "10.0.0.1:83",
        "metrics": "10.0.0.1:84",
    },
    "store": {"address": "10.9.0.1:80"},
    "bounds": {
        "retry_ratio": 0.2,
        "retry_slack": 58,
        "retry_window_s": 10,
        "older_weights_s": 8000e-3,
        "shutdown_s": 8,
        "address_valid_most_s": 5,
    },
}


@pytest.fixture
def write_settings(tmp_path):
    def write_file(value):
        path = tmp_path / "settings.json"
        path.write_text(value if isinstance(value, str) else json.dumps(value))
        return path

    return write_file


def test_valid_settings_are_accepted(write_settings):
    settings = ServingSettings.from_config(write_settings(VALID))
    assert settings.bounds.older_weights_s == 8.0
    assert settings.seeds == []


@pytest.mark.parametrize(
    "section, field, value",
    [
        ("listen", "callers", "nowhere"),
        ("bounds", "retry_window_s", 0),
        ("bounds", "retry_ratio", "many"),
        ("store", "unknown", 1),
    ],
)
def test_error_names_the_invalid_field(write_settings, section, field, value):
    wrong = {**VALID, section: {**VALID[section], field: value}}
    with pytest.raises(SettingsError, match=field):
        ServingSettings.from_config(write_settings(wrong))


def test_daemon_with_invalid_settings_exits_before_listening(write_settings, capsys):
    assert main(str(write_settings("{"))) == EXIT_INVALID_SETTINGS
    assert "settings.json" in capsys.readouterr().err


def test_error_names_the_missing_file(tmp_path):
    with pytest.raises(SettingsError, match="absent"):
        ServingSettings.from_config(tmp_path / "absent.json")


class TestTemplate:
    """The platform fills `deploy/settings.json` for each instance."""

    VALUES = {
        "node": "n1",
        "zone": "z",
        "seeds": [],
        "platform.value_bytes": 1_048_576,
        "limits.cpu_share": 0.5,
        "limits.cores": 1,
        "limits.link_mbps": 100,
        "contracts": ["base", "drain"],
        "bootstrap": True,
    }

    def render(self, **values):
        template = Path(__file__).parents[2] / "deploy" / "settings.json"
        text = re.sub(
            r"{{#(\S+)}}(.*?){{/\1}}",
            lambda m: m[2] if m[1] in values else "",
            template.read_text(),
            flags=re.DOTALL,
        ).replace("{{ip}}", "10.0.0.1")
        values = {**self.VALUES, **values}

        def value(match):
            name = match[1]
            is_address = name.startswith("listen.") or name.endswith(".address")
            return json.dumps(values.get(name, "10.0.0.1:80" if is_address else 8))

        return re.sub(r"{{([^|}]+)\|json}}", value, text)

    @pytest.mark.parametrize(
        "values, evacuation_s",
        [({}, None), ({"bounds.evacuation_ms": 5000}, 5.0)],
    )
    def test_is_valid_with_and_without_evacuations(
        self, write_settings, values, evacuation_s
    ):
        settings = ServingSettings.from_config(write_settings(self.render(**values)))
        assert settings.bounds.evacuation_s == evacuation_s
        assert settings.contracts == ["base", "drain"]

    @pytest.mark.parametrize("is_first", [True, False])
    def test_says_whether_the_system_starts_for_the_first_time(
        self, write_settings, is_first
    ):
        path = write_settings(self.render(bootstrap=is_first))
        assert ServingSettings.from_config(path).is_first_start is is_first


class TestCapacity:
    @pytest.mark.parametrize(
        "capacity, cores",
        [
            ({}, 1.0),
            ({"cpu_share": 0.717, "cpu_speed": 3, "link_mbit_s": 100}, 2.151),
            ({"cpu_share": 0.516, "cpu_speed": 1, "link_mbit_s": 5}, 0.25),
        ],
    )
    def test_smaller_of_processor_and_link_counts(
        self, write_settings, capacity, cores
    ):
        path = write_settings({**VALID, "capacity": capacity})
        settings = ServingSettings.from_config(path)
        assert settings.capacity.cores == pytest.approx(cores)

    def test_invalid_capacity_names_the_field(self, write_settings):
        path = write_settings({**VALID, "capacity": {"cpu_share": 0}})
        with pytest.raises(SettingsError, match=r"capacity\.cpu_share"):
            ServingSettings.from_config(path)
