"""Tests of picking free ports."""

import socket

from standins import ports


def test_port_that_is_in_use_at_another_loopback_address_is_not_free():
    with socket.create_server(("127.0.0.2", 0)) as other:
        assert not ports.is_free(other.getsockname()[1])
    assert ports.is_free(ports.PortPicker().next())
