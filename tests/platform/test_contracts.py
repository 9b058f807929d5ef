import pytest

from chivesaddle.platform import Features


@pytest.mark.parametrize(
    "names, is_shared", [([], False), (["other"], False), (["other", "pressure"], True)]
)
def test_only_the_named_rule_set_shares_capacity_by_account(names, is_shared):
    assert Features.from_contracts(names).shares_by_account is is_shared
