"""Measures what rows of ended daemons cost a gateway that starts and runs.

Run as ``python -m standins.slope_dead_rows``. The gateways run as processes
with a stand-in of the store, which holds rows of daemons that have ended.
"""

import argparse
import asyncio
import dataclasses
import os
import pathlib
import re
import tempfile
import time

from standins import platform_processes, platform_site, platform_store

GATEWAYS = 3
MEASURE_S = 10.0
READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.02
DEAD_ROWS_A_SUBNET = 250
BYTES_PER_KB = 1_024
BYTES_PER_MB = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Cost:
    """The worst of the gateways; ``calls`` are those of all together."""

    ready_s: float
    memory_mb: float
    calls: int
    descriptors: int


def add_dead_rows(
    store: platform_store.PlatformStore, count: int, peer_port: int
) -> None:
    """Write rows of daemons that have ended."""
    for number in range(count):
        subnet, host = divmod(number, DEAD_ROWS_A_SUBNET)
        address = f"127.0.{100 + subnet}.{host + 1}:{peer_port}"
        store.put("daemons", address, b"1")


def _peak_memory_mb(process_id: int) -> float:
    status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    (peak_kb,) = re.findall(r"VmHWM:\s+(\d+) kB", status)
    return int(peak_kb) * BYTES_PER_KB / BYTES_PER_MB


def _count_descriptors(process_id: int) -> int:
    return len(os.listdir(f"/proc/{process_id}/fd"))


async def _is_ready(host: str, port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    writer.write(f"GET / HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
    line = await reader.readline()
    writer.close()
    return b" 200 " in line


async def _wait_until_ready(host: str, port: int) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not await _is_ready(host, port):
            await asyncio.sleep(READY_POLL_S)


async def _measure(dead_rows: int, folder: pathlib.Path) -> _Cost:
    store = platform_store.PlatformStore()
    store_port = await store.start()
    store.put_json("op", "config", platform_site.make_configuration())
    gateways = platform_processes.GatewayProcesses(folder, store_port)
    add_dead_rows(store, dead_rows, gateways.peer_port)
    try:
        start_s = time.monotonic()
        await gateways.start(GATEWAYS)
        for number, port in enumerate(gateways.ready_ports):
            await _wait_until_ready(gateways.host(number), port)
        ready_s = time.monotonic() - start_s
        calls_before = store.call_count
        await asyncio.sleep(MEASURE_S)
        process_ids = [process.pid for process in gateways.processes]
        return _Cost(
            ready_s,
            max(_peak_memory_mb(process_id) for process_id in process_ids),
            store.call_count - calls_before,
            max(_count_descriptors(process_id) for process_id in process_ids),
        )
    finally:
        await gateways.close()
        await store.close()


def main() -> None:
    """Print a row for each number of dead rows."""
    parser = argparse.ArgumentParser(prog="python -m standins.slope_dead_rows")
    parser.add_argument("--counts", type=int, nargs="+", default=[0, 100, 1_100])
    arguments = parser.parse_args()
    print("dead rows  ready s  memory MB  store calls in 10 s  descriptors")
    for count in arguments.counts:
        with tempfile.TemporaryDirectory() as name:
            cost = asyncio.run(_measure(count, pathlib.Path(name)))
        print(
            f"{count:9}  {cost.ready_s:7.2f}  {cost.memory_mb:9.1f}"
            f"  {cost.calls:19}  {cost.descriptors:11}",
            flush=True,
        )


if __name__ == "__main__":
    main()
