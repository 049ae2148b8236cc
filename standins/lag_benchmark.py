"""Measures what callers wait while one runner of three sends without end.

``python -m standins.lag_benchmark`` prints a row for each kind of bytes. The
store, runners, gateway and callers share one process and its event loop, so
that the times of all of them are in the figures.
"""

import asyncio
import logging
import time

from result import Err

from standins import loop_turns, platform_runner, platform_site

Fault = platform_runner.Fault

RUNNERS = 3
MEASURED_S = 6.0
READS_PER_S = 40.0
STREAMS = 6
EVENT_INTERVAL_S = 0.02
EVENT_COUNT = 50
PROMPT_TOKENS = 100
PATIENCE_S = 4.0
QUANTILE = 0.99
FAULTS = (
    Fault.NONE,
    Fault.ENDLESS_CHUNKS,
    Fault.ENDLESS_EVENTS,
    Fault.ENDLESS_LINES,
    Fault.ENDLESS_INTERIM,
)
HEADER = (
    "| one runner of three sends | requests to it | reads, p99 ms | not answered | "
    "pauses of streams, p99 ms | longest pause ms | longest turn ms |\n"
    "|---|---|---|---|---|---|---|"
)


class Callers:
    """Calm callers, and the times that they measure."""

    def __init__(self, site: platform_site.PlatformSite) -> None:
        self.reads_ms: list[float] = []
        self.pauses_ms: list[float] = []
        self.unanswered_count = 0
        self.call_count = 0
        self._site = site
        self._end_s = time.monotonic() + MEASURED_S

    async def run(self) -> None:
        """Call until the time is over, and wait for the answers."""
        await asyncio.gather(self._read(), *map(self._stream, range(STREAMS)))

    async def _read(self) -> None:
        calls: list[asyncio.Future[None]] = []
        while time.monotonic() < self._end_s:
            calls.append(asyncio.ensure_future(self._read_once(len(calls))))
            await asyncio.sleep(1 / READS_PER_S)
        await asyncio.gather(*calls)

    async def _read_once(self, number: int) -> None:
        self.call_count += 1
        start_s = time.monotonic()
        headers = (("Deadline-Ms", f"{PATIENCE_S * 1_000:.0f}"),)
        answer = await self._site.call(
            "/read/x", f"r{number}", "GET", headers, b"", timeout_s=PATIENCE_S
        )
        self.reads_ms.append((time.monotonic() - start_s) * 1_000)
        self.unanswered_count += answer.status != 200

    async def _stream(self, caller: int) -> None:
        number = 0
        while time.monotonic() < self._end_s:
            number += 1
            await self.stream_once(f"{caller:02x}{number:04x}")

    async def stream_once(self, attempt_id: str) -> None:
        """Send one stream, and note its pauses."""
        headers = (
            ("Host", "site.example"),
            ("Attempt-Id", attempt_id),
            ("Key", platform_site.CREDENTIAL),
            ("Token-Count", f"{PROMPT_TOKENS},{EVENT_COUNT}"),
            ("Model", "m"),
            ("Prompt-Prefix", f"{attempt_id}:{PROMPT_TOKENS}"),
            ("Deadline-Ms", f"{PATIENCE_S * 1_000:.0f}"),
        )
        address = self._site.gateways[0].gateway_settings.vm.caller_address
        self.call_count += 1
        opened = await self._site.client.open(
            address, "POST", "/ask/x", headers, b"body", PATIENCE_S
        )
        if isinstance(opened, Err):
            self.unanswered_count += 1
            return
        reader = opened.ok_value
        before_s = time.monotonic()
        while not isinstance(part := await reader.read(PATIENCE_S), Err):
            if not part.ok_value:
                break
            now_s = time.monotonic()
            self.pauses_ms.append((now_s - before_s) * 1_000)
            before_s = now_s
        else:
            self.unanswered_count += 1
        await reader.close()


async def measure(fault: Fault) -> str:
    """Return the row of one kind of bytes."""
    async with platform_site.running_site(engines=RUNNERS, ledgers=RUNNERS) as site:
        for engine in site.engines:
            engine.event_count = EVENT_COUNT
            engine.event_interval_s = EVENT_INTERVAL_S
        await _send_first_stream(site)
        engine = max(site.engines, key=lambda one: len(one.arrivals))
        engine.arrivals.clear()
        ledger = site.ledgers[0]
        engine.faults = ledger.faults = [fault] * 10_000
        callers = Callers(site)
        async with loop_turns.measured() as longest:
            await callers.run()
    return (
        f"| {fault.value} | {len(ledger.arrivals)} reads, {len(engine.arrivals)} "
        f"streams | {_quantile(callers.reads_ms):.0f} "
        f"| {callers.unanswered_count} of {callers.call_count} "
        f"| {_quantile(callers.pauses_ms):.0f} | {max(callers.pauses_ms):.0f} "
        f"| {longest.worked_ms:.0f} |"
    )


async def _send_first_stream(site: platform_site.PlatformSite) -> None:
    """Send one stream, whose engine those that follow prefer too."""
    await Callers(site).stream_once("ff0000")


def _quantile(values: list[float]) -> float:
    return sorted(values)[int(QUANTILE * (len(values) - 1))]


async def main() -> None:
    """Print a row for each kind of bytes."""
    logging.disable(logging.CRITICAL)
    print(HEADER)
    for fault in FAULTS:
        print(await measure(fault), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
