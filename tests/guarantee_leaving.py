"""Checks that a leaving engine receives no new work after three seconds.

Daemons learn that it is leaving in one of two ways: only from its mark in the
membership list, or only from its refusals while the list lags far behind.
"""

import asyncio
import dataclasses
import enum
import pathlib
import random
import sys
import tempfile

from lacewingdrum_state import documents, states
from lacewingdrum_transport import http_client
from standins import calls, cluster, load
from tests import whole_system

BOUND_S = 3.0
WATCH_S = 4.0
WARM_UP_S = 1.5
CALLER_COUNT = 12
LEAVING = "engine-2"
SEED = 1


class Sign(enum.Enum):
    """How daemons learn that the engine is leaving."""

    LIST_MARK = "list_mark"
    REFUSAL = "refusal"


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingReport:
    """Counts of attempts at the engine; none may arrive after the bound."""

    sign: Sign
    before: int
    within_bound: int
    after_bound: int
    failed: int


async def run(sign: Sign, folder: pathlib.Path) -> LeavingReport:
    """Let one of three engines leave under load.

    Args:
        sign: how daemons learn of it.
        folder: folder for settings and logs.

    Returns:
        The number of attempts at the engine in each time span.
    """
    service, _ = whole_system.write_documents(folder, {})
    async with whole_system.running(whole_system.plan(), folder, folder) as deployment:
        balancer = load.Balancer(deployment, random.Random(SEED))
        await balancer.start()
        failures: list[calls.Outcome] = []
        callers = [
            asyncio.ensure_future(
                _call_repeatedly(deployment, balancer, service, n, failures)
            )
            for n in range(CALLER_COUNT)
        ]
        await asyncio.sleep(WARM_UP_S)
        before = await _attempts_received(deployment)
        await _leave(sign, deployment)
        await asyncio.sleep(BOUND_S)
        at_bound = await _attempts_received(deployment)
        await asyncio.sleep(WATCH_S)
        after = await _attempts_received(deployment)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await balancer.close()
    return LeavingReport(
        sign, before, at_bound - before, after - at_bound, len(failures)
    )


async def _leave(sign: Sign, deployment: cluster.Cluster) -> None:
    match sign:
        case Sign.LIST_MARK:
            await deployment.mark(LEAVING, states.MemberState.LEAVING)
        case Sign.REFUSAL:
            await deployment.fault(deployment.platform["members"], list_lag_ms=600_000)
            await deployment.fault(deployment.runners[LEAVING], leaving=True)


async def _attempts_received(deployment: cluster.Cluster) -> int:
    record = await deployment.record(deployment.runners[LEAVING])
    return len(record["started"]) + len(record["refused"])


async def _call_repeatedly(
    deployment: cluster.Cluster,
    balancer: load.Balancer,
    service: documents.ServiceDocument,
    number: int,
    failures: list[calls.Outcome],
) -> None:
    http = http_client.HttpClient()
    count = 0
    while True:
        count += 1
        vm_id = balancer.pick()
        if vm_id is None:
            await asyncio.sleep(load.BALANCER_POLL_S)
            continue
        plan = calls.CompletionPlan(
            service,
            service.kinds[0],
            whole_system.CUSTOMER_TOKEN,
            f"caller {number} call {count}",
            4,
            True,
        )
        outcome = await calls.complete(http, deployment.daemons[vm_id].callers, plan)
        if outcome.end is not calls.End.ANSWERED:
            failures.append(outcome)


def main() -> int:
    """Return 0 if no attempt arrived after the bound and no call failed."""
    violations = 0
    for sign in Sign:
        with tempfile.TemporaryDirectory(prefix="lacewingdrum-leave-") as name:
            report = asyncio.run(run(sign, pathlib.Path(name)))
        print(report)
        violations += report.after_bound + report.failed
    print(f"2 trials, {violations} violations, seed {SEED}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
