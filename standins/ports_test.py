"""Tests of picking and holding ports."""

import errno
import socket

from standins import fault_proxy, ports


def test_port_that_is_in_use_at_another_loopback_address_is_not_free():
    with socket.create_server(("127.0.0.2", 0)) as other:
        assert not ports.is_free(other.getsockname()[1])
    assert ports.is_free(ports.PortPicker().next())


def test_picked_port_is_kept_from_others_until_its_server_listens_and_after():
    picker = ports.PortPicker()
    port = picker.next()
    for _ in range(2):
        assert not ports.is_free(port)
        for host in (ports.HOST, "127.0.0.7"):
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as foreign:
                assert bind_error(foreign, host, port) == errno.EADDRINUSE
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as caller:
                assert caller.connect_ex((host, port)) == errno.ECONNREFUSED
            with socket.create_server((host, port)):
                assert not ports.is_free(port)
    picker.close()
    assert ports.is_free(port)


def bind_error(foreign: socket.socket, host: str, port: int) -> int | None:
    try:
        foreign.bind((host, port))
    except OSError as error:
        return error.errno
    return None


async def test_port_of_a_crashed_runner_is_not_given_to_another_process():
    path_proxy = fault_proxy.FaultProxy(1)
    await path_proxy.start()
    path_proxy.stop_listening()
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as caller:
        assert caller.connect_ex((ports.HOST, path_proxy.port))
    assert not ports.is_free(path_proxy.port)
    await path_proxy.listen_again()
    await path_proxy.close()
