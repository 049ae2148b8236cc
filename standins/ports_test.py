import socket

from standins import fault_proxy, ports


def is_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as other:
        try:
            other.bind((ports.HOST, port))
        except OSError:
            return False
        return True


async def test_port_of_a_crashed_runner_is_not_given_to_another_process():
    path_proxy = fault_proxy.FaultProxy(1)
    await path_proxy.start()
    path_proxy.stop_listening()
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as caller:
        assert caller.connect_ex((ports.HOST, path_proxy.port))
    assert not is_free(path_proxy.port)
    await path_proxy.listen_again()
    await path_proxy.close()
