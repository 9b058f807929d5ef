"""Ports for processes on loopback."""

import random
import socket

import pytest

from chivesaddle.tools.ports import (
    BLOCK_PORTS,
    RECENT_PORTS,
    NoPorts,
    PortBlock,
    free_ports,
)


@pytest.fixture
def open_block(tmp_path):
    blocks = []

    def open_block():
        blocks.append(PortBlock(tmp_path))
        return blocks[-1]

    yield open_block
    for block in blocks:
        block.close()


class TestPortBlock:
    def test_no_two_processes_draw_the_same_port(self, open_block, monkeypatch):
        """Guards against "Address already in use" of fleets that start at once."""
        monkeypatch.setattr(random, "shuffle", lambda items: None)
        drawn = [open_block().draw(30) for _ in range(5)]
        assert len({port for ports in drawn for port in ports}) == 150

    def test_ports_can_be_drawn_by_others_after_the_end(self, open_block, monkeypatch):
        monkeypatch.setattr(random, "shuffle", lambda items: None)
        block = open_block()
        ports = block.draw(3)
        block.close()
        assert open_block().draw(3) == ports

    def test_port_is_not_drawn_again_soon(self, open_block):
        """Guards against the port of a process that is being started again."""
        block = open_block()
        drawn = [port for _ in range(RECENT_PORTS // 10) for port in block.draw(10)]
        assert len(set(drawn)) == len(drawn)

    def test_port_in_use_is_not_drawn(self, open_block):
        block = open_block()
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", block.draw(1)[0]))
            (port,) = listener.getsockname()[1:]
            for _ in range(4):
                assert port not in block.draw(RECENT_PORTS - 50)

    def test_too_many_ports_are_an_error(self, open_block):
        with pytest.raises(NoPorts, match="are free"):
            open_block().draw(BLOCK_PORTS + 1)

    def test_too_many_blocks_are_an_error(self, open_block):
        with pytest.raises(NoPorts, match="in use"):
            for _ in range(100):
                open_block()


def test_ports_of_one_process_are_distinct():
    ports = free_ports(20) + free_ports(20)
    assert len(set(ports)) == 40
