"""Checks planned stops under load: every daemon is stopped in turn.

Callers honour readiness, as the platform's balancer does. Each stream must be
complete, and no caller's connection may fail.
"""

import argparse
import asyncio
import collections
import dataclasses
import pathlib
import random
import sys
import tempfile

from lacewingdrum_state import documents
from lacewingdrum_transport import http_client
from standins import calls, cluster, load
from tests import whole_system

PATIENCES_MS = {"15000": "600000"}
NOTICE_MS = 1_000
DECODE_STEP_S = 0.05
CALLER_COUNT = 24
STOP_TIMEOUT_S = 120.0
SEED = 1


@dataclasses.dataclass(frozen=True, slots=True)
class StopReport:
    """How calls ended, and the daemons' exit codes."""

    ends: dict[calls.End, int]
    exit_codes: tuple[int | None, ...]
    details: tuple[str, ...]

    @property
    def violations(self) -> int:
        """The number of incomplete calls and of nonzero exit codes."""
        incomplete_count = sum(
            count for end, count in self.ends.items() if end is not calls.End.ANSWERED
        )
        return incomplete_count + sum(code != 0 for code in self.exit_codes)


async def run(stream_s: float, folder: pathlib.Path) -> StopReport:
    """Stop each of three daemons in turn and restart it.

    Args:
        stream_s: duration of each long stream; every second caller's is long.
        folder: folder for settings and logs.

    Returns:
        How calls and daemons ended.
    """
    service, _ = whole_system.write_documents(folder, PATIENCES_MS)
    limits = (("drain_notice_ms", NOTICE_MS),)
    options = ("--decode-step-s", str(DECODE_STEP_S))
    plan = whole_system.plan(3, 1, options, limits)
    outcomes: list[calls.Outcome] = []
    async with whole_system.running(plan, folder, folder) as deployment:
        balancer = load.Balancer(deployment, random.Random(SEED))
        await balancer.start()
        stopping = asyncio.Event()
        callers = [
            asyncio.ensure_future(
                _call_repeatedly(
                    deployment, balancer, service, number, stream_s, stopping, outcomes
                )
            )
            for number in range(CALLER_COUNT)
        ]
        codes = []
        for daemon in plan.daemons:
            codes.append(await _stop_and_start(deployment, daemon, stream_s))
        stopping.set()
        await asyncio.gather(*callers)
        await balancer.close()
    ends = collections.Counter(outcome.end for outcome in outcomes)
    details = tuple(
        f"{outcome.daemon}: {outcome.end.value} {outcome.status} {outcome.detail}"
        for outcome in outcomes
        if outcome.end is not calls.End.ANSWERED
    )
    return StopReport(dict(ends), tuple(codes), details)


async def _stop_and_start(
    deployment: cluster.Cluster, daemon: cluster.DaemonPlan, stream_s: float
) -> int | None:
    await asyncio.sleep(min(stream_s / 2, 2.0))
    child = deployment.daemons[daemon.vm_id].child
    await deployment.stop_daemon(daemon.vm_id)
    code = await child.wait(STOP_TIMEOUT_S)
    await deployment.start_daemon(daemon)
    await deployment.wait_for("/readyz")
    return code


async def _call_repeatedly(
    deployment: cluster.Cluster,
    balancer: load.Balancer,
    service: documents.ServiceDocument,
    number: int,
    stream_s: float,
    stopping: asyncio.Event,
    outcomes: list[calls.Outcome],
) -> None:
    """Call repeatedly on one connection pool until ``stopping`` is set."""
    http = http_client.HttpClient()
    count = 0
    tokens = max(1, int(stream_s / DECODE_STEP_S))
    while not stopping.is_set():
        count += 1
        prompt = f"caller {number} call {count} " * 100
        plan = calls.CompletionPlan(
            service,
            service.kinds[0],
            whole_system.CUSTOMER_TOKEN,
            prompt,
            tokens if number % 2 else 4,
            True,
        )
        vm_id = balancer.pick()
        if vm_id is None:
            await asyncio.sleep(load.BALANCER_POLL_S)
            continue
        outcome = await calls.complete(http, deployment.daemons[vm_id].callers, plan)
        outcome.daemon = vm_id
        outcomes.append(outcome)
    await http.close()


def main() -> int:
    """Return 0 if no call was interrupted and all exit codes are 0."""
    parser = argparse.ArgumentParser(prog="python -m tests.guarantee_stop")
    parser.add_argument("--stream-s", type=float, default=60.0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="lacewingdrum-stop-") as name:
        report = asyncio.run(run(arguments.stream_s, pathlib.Path(name)))
    total = sum(report.ends.values())
    print(f"{total} calls over 3 planned stops, {report.violations} violations")
    print(f"exit codes {report.exit_codes}")
    print("\n".join(report.details[:10]))
    return 1 if report.violations else 0


if __name__ == "__main__":
    sys.exit(main())
