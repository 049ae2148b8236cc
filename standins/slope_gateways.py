"""Measures the cost of idle gateways.

Run as ``python -m standins.slope_gateways``. The gateways run as processes
with a stand-in of the store and without callers, so that only their control
work is measured.
"""

import argparse
import asyncio
import os
import pathlib
import tempfile

from standins import platform_processes, platform_site, platform_store

SETTLE_S = 6.0
MEASURE_S = 10.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
BYTES_PER_PAGE = os.sysconf("SC_PAGE_SIZE")
BYTES_PER_MB = 1_000_000


def _processor_s(process_id: int) -> float:
    fields = pathlib.Path(f"/proc/{process_id}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / TICKS_PER_S


def _memory_mb(process_id: int) -> float:
    pages = pathlib.Path(f"/proc/{process_id}/statm").read_text().split()[1]
    return int(pages) * BYTES_PER_PAGE / BYTES_PER_MB


async def _measure(count: int, folder: pathlib.Path) -> tuple[float, float, float]:
    """Return processor ms/s and MB per gateway, and store calls per second."""
    store = platform_store.PlatformStore()
    store_port = await store.start()
    store.put_json("op", "config", platform_site.make_configuration())
    gateways = platform_processes.GatewayProcesses(folder, store_port)
    try:
        await gateways.start(count)
        processes = gateways.processes
        await asyncio.sleep(SETTLE_S)
        before_s = [_processor_s(process.pid) for process in processes]
        calls_before = store.call_count
        await asyncio.sleep(MEASURE_S)
        used_s = [
            _processor_s(process.pid) - before
            for process, before in zip(processes, before_s, strict=True)
        ]
        calls = (store.call_count - calls_before) / MEASURE_S
        memory_mb = sum(_memory_mb(process.pid) for process in processes) / count
        return sum(used_s) / count / MEASURE_S * 1_000, memory_mb, calls
    finally:
        await gateways.close()
        await store.close()


def main() -> None:
    """Print a row for each number of gateways."""
    parser = argparse.ArgumentParser(prog="python -m standins.slope_gateways")
    parser.add_argument("--counts", type=int, nargs="+", default=[4, 12, 24])
    arguments = parser.parse_args()
    print("gateways  processor ms/s  memory MB  store calls/s")
    with tempfile.TemporaryDirectory() as name:
        for count in arguments.counts:
            row = asyncio.run(_measure(count, pathlib.Path(name)))
            print(f"{count:8}  {row[0]:14.1f}  {row[1]:9.1f}  {row[2]:13.1f}")


if __name__ == "__main__":
    main()
