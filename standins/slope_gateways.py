"""Measures the cost of idle gateways.

Run as ``python -m standins.slope_gateways``. The gateways run as processes
with a stand-in of the store and without callers, so that only their control
work is measured.
"""

import argparse
import asyncio
import collections
import dataclasses
import os
import pathlib
import tempfile

from standins import platform_processes, platform_site, platform_store

SETTLE_S = 6.0
SETTLE_PER_GATEWAY_S = 0.25
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


@dataclasses.dataclass(frozen=True, slots=True)
class _Cost:
    """What idle gateways cost: one of them, and all of them at the store.

    ``start_calls`` are those until the fleet has settled, ``calm_calls`` those
    of ``MEASURE_S`` after that, by kind and table.
    """

    processor_ms_per_s: float
    memory_mb: float
    start_calls: collections.Counter[str]
    calm_calls: collections.Counter[str]


async def _measure(
    count: int, folder: pathlib.Path, configuration_max_ms: float
) -> _Cost:
    store = platform_store.PlatformStore()
    store_port = await store.start()
    store.put_json("op", "config", platform_site.make_configuration())
    gateways = platform_processes.GatewayProcesses(
        folder, store_port, configuration_max_ms
    )
    try:
        await gateways.start(count)
        processes = gateways.processes
        await asyncio.sleep(SETTLE_S + count * SETTLE_PER_GATEWAY_S)
        before_s = [_processor_s(process.pid) for process in processes]
        start_calls = store.call_counts.copy()
        await asyncio.sleep(MEASURE_S)
        used_s = [
            _processor_s(process.pid) - before
            for process, before in zip(processes, before_s, strict=True)
        ]
        calm_calls = store.call_counts - start_calls
        memory_mb = sum(_memory_mb(process.pid) for process in processes) / count
        processor_ms_per_s = sum(used_s) / count / MEASURE_S * 1_000
        return _Cost(processor_ms_per_s, memory_mb, start_calls, calm_calls)
    finally:
        await gateways.close()
        await store.close()


def main() -> None:
    """Print for each number of gateways what they cost, and calls by kind."""
    parser = argparse.ArgumentParser(prog="python -m standins.slope_gateways")
    parser.add_argument("--counts", type=int, nargs="+", default=[4, 12, 24])
    parser.add_argument("--configuration-max-ms", type=float, default=2_000.0)
    arguments = parser.parse_args()
    print("gateways  processor ms/s  memory MB  store calls/s")
    with tempfile.TemporaryDirectory() as name:
        for count in arguments.counts:
            row = asyncio.run(
                _measure(count, pathlib.Path(name), arguments.configuration_max_ms)
            )
            calls_per_s = row.calm_calls.total() / MEASURE_S
            print(
                f"{count:8}  {row.processor_ms_per_s:14.1f}  {row.memory_mb:9.1f}"
                f"  {calls_per_s:13.1f}"
            )
            for when, calls in (("start", row.start_calls), ("calm", row.calm_calls)):
                kinds = (f"{kind} {number}" for kind, number in sorted(calls.items()))
                print(f"          {when}: {', '.join(kinds)}")


if __name__ == "__main__":
    main()
