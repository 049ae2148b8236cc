"""Runs a site of the users' platform: ``python -m standins.platform_demo``.

The site has three gateway processes, stand-ins for the store, the engines and
the plain runners, and callers of all request kinds. The exit code is 0 if
every answer was complete and no order ran twice.
"""

import argparse
import asyncio
import collections
import dataclasses
import pathlib
import random
import sys
import tempfile

from hdrh import histogram
from result import Ok

from lacewingdrum_state import fleet
from lacewingdrum_transport import http_client, http_messages
from standins import (
    platform_processes,
    platform_runner,
    platform_site,
    platform_store,
)

GATEWAYS = 3
ENGINES = 4
LEDGERS = 3
EVENTS = 8
CALLERS = 10
LOAD_DURATION_S = 10.0
THINK_TIME_S = 0.1
READY_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 8.0
PATIENCE_MS = 4_000
# The last length exceeds the memory of one engine.
PROMPTS = {"ask": (5_000,), "digest": (*(45_000,) * 6, 210_000, 500_000)}
# The load is about half of what the four engines can prefill.
WEIGHTS = {"ask": 60, "digest": 2, "read": 20, "order": 20}
LATENCY_MAX_MS = 60_000
MS_PER_S = 1_000
STATUS_REFUSED = 503


@dataclasses.dataclass(slots=True)
class KindCounts:
    """Outcomes that callers saw for one kind of request."""

    sent: int = 0
    complete: int = 0
    refused: int = 0
    failed: int = 0
    broken: int = 0
    latencies_ms: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1, LATENCY_MAX_MS, 3)
    )


class Demo:
    """The stand-ins, gateways and callers of one run."""

    def __init__(self, rng: random.Random) -> None:
        self.counts: dict[str, KindCounts] = collections.defaultdict(KindCounts)
        self.runners: list[platform_runner.PlatformRunner] = []
        self._store = platform_store.PlatformStore()
        self._rng = rng
        self._number = 0

    async def run(self, folder: pathlib.Path, duration_s: float) -> None:
        """Run the load for ``duration_s``; ``folder`` holds the settings."""
        store_port = await self._store.start()
        self._store.put_json("op", "config", platform_site.make_configuration())
        gateways = platform_processes.GatewayProcesses(folder, store_port)
        try:
            for number in range(ENGINES + LEDGERS):
                await self._add_runner(number)
            await gateways.start(GATEWAYS)
            await _until_ready(gateways)
            loop = asyncio.get_running_loop()
            end_s = loop.time() + duration_s
            await asyncio.gather(
                *(self._caller(gateways, end_s) for _ in range(CALLERS))
            )
        finally:
            await gateways.close()
            for runner in self.runners:
                await runner.close()
            await self._store.close()

    def orders_run_twice(self) -> int:
        """Return the number of orders that ran more than once."""
        runs = collections.Counter(
            run for runner in self.runners for run in runner.runs
        )
        return sum(count > 1 for run, count in runs.items() if run.startswith("order"))

    async def _add_runner(self, number: int) -> None:
        service = platform_site.MODEL if number < ENGINES else platform_site.LEDGER
        runner = platform_runner.PlatformRunner(f"r{number}", EVENTS)
        await runner.start()
        self.runners.append(runner)
        self._store.put_json("servers", runner.runner_id, runner.entry(service))

    async def _caller(
        self, gateways: platform_processes.GatewayProcesses, end_s: float
    ) -> None:
        client = http_client.HttpClient()
        loop = asyncio.get_running_loop()
        try:
            while loop.time() < end_s:
                number = self._rng.randrange(GATEWAYS)
                port = gateways.caller_ports[number]
                address = fleet.Address(gateways.host(number), port)
                await self._request(client, address)
                await asyncio.sleep(self._rng.uniform(0, 2 * THINK_TIME_S))
        finally:
            await client.close()

    async def _request(
        self, client: http_client.HttpClient, address: fleet.Address
    ) -> None:
        (kind,) = self._rng.choices(tuple(WEIGHTS), tuple(WEIGHTS.values()))
        self._number += 1
        headers: http_messages.Headers = (
            ("Host", "site.example"),
            ("Attempt-Id", f"{kind}-{self._number}"),
            ("Key", platform_site.CREDENTIAL),
        )
        if kind in PROMPTS:
            tokens = self._rng.choice(PROMPTS[kind])
            headers += platform_site.prompt_headers(tokens, PATIENCE_MS)
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        answer = await client.request(
            address, "POST", f"/{kind}/x", headers, b"body", CALL_TIMEOUT_S
        )
        counts = self.counts[kind]
        counts.sent += 1
        if not isinstance(answer, Ok):
            counts.broken += 1
            return
        response = answer.ok_value
        if response.status == http_messages.STATUS_OK:
            is_complete = kind not in PROMPTS or _is_complete(response.body)
            counts.complete += is_complete
            counts.broken += not is_complete
            elapsed_ms = int((loop.time() - sent_s) * MS_PER_S)
            counts.latencies_ms.record_value(max(elapsed_ms, 1))
        elif response.status == STATUS_REFUSED:
            counts.refused += 1
        else:
            counts.failed += 1


def _is_complete(body: bytes) -> bool:
    """Return whether a stream has each event once and in order."""
    expected = "".join(
        f"id: {number}\ndata: piece {number}\n\n" for number in range(1, EVENTS + 1)
    )
    return body == expected.encode()


async def _until_ready(gateways: platform_processes.GatewayProcesses) -> None:
    client = http_client.HttpClient()
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            for number, port in enumerate(gateways.ready_ports):
                address = fleet.Address(gateways.host(number), port)
                while not await _is_ready(client, address):
                    await asyncio.sleep(THINK_TIME_S)
    finally:
        await client.close()


async def _is_ready(client: http_client.HttpClient, address: fleet.Address) -> bool:
    answer = await client.request(address, "GET", "/", (), b"", 1.0)
    if not isinstance(answer, Ok):
        return False
    return answer.ok_value.status == http_messages.STATUS_OK


def main() -> int:
    """Run the demo and print a row for each kind of request.

    Returns:
        The exit code.
    """
    parser = argparse.ArgumentParser(prog="python -m standins.platform_demo")
    parser.add_argument("--length", type=float, default=LOAD_DURATION_S, metavar="S")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    demo = Demo(random.Random(arguments.seed))
    with tempfile.TemporaryDirectory() as name:
        asyncio.run(demo.run(pathlib.Path(name), arguments.length))
    print("kind    sent  whole  refused  failed  broken  p50 ms  p95 ms")
    for kind, counts in sorted(demo.counts.items()):
        p50 = counts.latencies_ms.get_value_at_percentile(50)
        p95 = counts.latencies_ms.get_value_at_percentile(95)
        print(
            f"{kind:6} {counts.sent:5}  {counts.complete:5}  {counts.refused:7}  "
            f"{counts.failed:6}  {counts.broken:6}  {p50:6}  {p95:6}"
        )
    twice = demo.orders_run_twice()
    broken = sum(counts.broken for counts in demo.counts.values())
    print(f"orders run twice: {twice}; answers broken: {broken}")
    return 1 if twice or broken else 0


if __name__ == "__main__":
    sys.exit(main())
