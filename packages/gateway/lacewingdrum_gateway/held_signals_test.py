"""Tests of signals that come while a gateway starts, or as its stop ends."""

import asyncio
import contextlib
import pathlib
import signal

from standins import gateway_settings, ports, processes

HOST = "127.0.0.1"
START_S = 20.0
# Longer than a stop without requests.
STOP_S = 15.0
SIGNAL_INTERVAL_S = 0.005
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


@contextlib.asynccontextmanager
async def starting_gateway(folder: pathlib.Path):
    """Yield a gateway as soon as it listens, and the port it listens on.

    Its modules are not loaded then, and its store is not there.
    """
    picker = ports.PortPicker()
    addresses = gateway_settings.Addresses(HOST, *(picker.next() for _ in range(4)))
    path = folder / "gateway.toml"
    path.write_text(gateway_settings.text(0, "north", addresses))
    arguments = ["-m", "lacewingdrum_gateway.start", "--settings", str(path)]
    child = await processes.start("gateway", arguments, folder, with_stdout=False)
    try:
        async with asyncio.timeout(START_S):
            while not await accepts(addresses.caller_port):
                await asyncio.sleep(0.001)
        yield child, addresses.caller_port
    finally:
        await child.kill()
        picker.close()


async def accepts(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    writer.transport.abort()
    return True


async def wait_for_event(child: processes.Child, name: str) -> None:
    async with asyncio.timeout(START_S):
        while f'"event":"{name}"' not in child.log.read_text():
            assert child.is_running, child.exit_code
            await asyncio.sleep(SIGNAL_INTERVAL_S)


async def send_until_end(child: processes.Child, number: signal.Signals) -> None:
    async with asyncio.timeout(STOP_S):
        while child.is_running:
            child.send_signal(number)
            await asyncio.sleep(SIGNAL_INTERVAL_S)


async def test_settings_signal_in_a_start_does_not_end_the_gateway(folder):
    # Until its handlers were set, SIGHUP ended a gateway with signal 1.
    async with starting_gateway(folder) as (child, _):
        child.send_signal(signal.SIGHUP)
        await wait_for_event(child, "reloaded")
        await wait_for_event(child, "started")


async def test_settings_signals_in_a_stop_do_not_end_the_gateway(folder):
    # Once the event loop was closed, SIGHUP ended the process with signal 1.
    async with starting_gateway(folder) as (child, _):
        await wait_for_event(child, "started")
        child.send_signal(signal.SIGTERM)
        await send_until_end(child, signal.SIGHUP)
        assert child.exit_code == 0, child.exit_code


async def test_connection_made_in_a_start_is_answered_though_a_stop_comes(folder):
    # SIGTERM in a start reset the connections that waited in the queue.
    async with starting_gateway(folder) as (child, port):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(REQUEST)
        child.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_S):
            assert (await reader.read(-1)).startswith(b"HTTP/1.1 ")
            writer.close()
        assert await child.wait(STOP_S) == 0
