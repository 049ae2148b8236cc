"""Tests of picking and holding ports."""

import socket

from standins import fault_proxy, ports


def test_port_that_is_in_use_at_another_loopback_address_is_not_free():
    with socket.create_server(("127.0.0.2", 0)) as other:
        assert not ports.is_free(other.getsockname()[1])
    assert ports.is_free(ports.PortPicker().next())


async def test_port_of_a_crashed_runner_is_not_given_to_another_process():
    path_proxy = fault_proxy.FaultProxy(1)
    await path_proxy.start()
    path_proxy.stop_listening()
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as caller:
        assert caller.connect_ex((ports.HOST, path_proxy.port))
    assert not ports.is_free(path_proxy.port)
    await path_proxy.listen_again()
    await path_proxy.close()
