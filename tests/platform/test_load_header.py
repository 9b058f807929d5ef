"""Load headers: no figure may invalidate the others."""

import pytest

from chivesaddle.forwarding.messages import ServerLoad
from chivesaddle.http1 import ResponseHead
from chivesaddle.platform import decode_response


def decode_load(value: bytes) -> ServerLoad | None:
    head = ResponseHead(200, b"OK", [(b"x-chivesaddle-server-load", value)])
    return decode_response(head).load


def test_load_of_three_figures_is_decoded():
    assert decode_load(b"3,0,12") == ServerLoad(3, 0, 12)


def test_load_with_the_speed_of_a_shared_machine_is_decoded():
    # Guards against placing requests without any load report: the fourth figure made
    # the daemon drop the other three.
    assert decode_load(b"3, 1, 12, 250") == ServerLoad(3, 1, 12, 250)


@pytest.mark.parametrize(
    "value", [b"3,0,12,", b"3,0,12,x", b"3,0,12,-4", b"3,0,12,0", b"3,0,12,1.5,7"]
)
def test_invalid_or_later_figures_leave_the_first_three(value):
    assert decode_load(value) == ServerLoad(3, 0, 12)


@pytest.mark.parametrize("value", [b"", b"3,0", b"a,0,12", b"3,-1,12", b"9" * 10_240])
def test_load_without_valid_counts_is_ignored(value):
    assert decode_load(value) is None


def test_figure_of_another_script_is_not_a_number():
    assert decode_load(b"3,\xb2,12") is None
