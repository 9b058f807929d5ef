from chivesaddle.core.settings_reference import render


class TestSettingsReference:
    def test_nested_and_listed_fields_are_named_in_full(self):
        """Guards against sections missing from the generated page."""
        text = render()
        assert "`callers.port`" in text
        assert "`operator_keys[].key_sha256`" in text
        assert "`tls.certificate`" in text
