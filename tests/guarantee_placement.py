"""Placement on virtual time: holders are paused, replies lost, orders late.

Two daemons order the runners of one service, each another model. Now and then
either is paused, cut off from the table or told that it shall hold the lease,
and orders reach their runner long after they were sent. Once that is over the
runners must be, and stay, in the later holder's state.
"""

import asyncio
import random
import types

from lacewingdrum_coordination import leases
from tests import collection, faulty_table, proofs, virtual_time

TRIAL_COUNT = 200
TROUBLES = 12
SETTLE_S = leases.TERM_S + 10.0
TEST_FILE = "packages/daemon/lacewingdrum_daemon/placement_keeper_test.py"
FAULTS = faulty_table.Faults(
    refused=0.1, dropped=0.1, reply_lost=0.15, late=0.15, read_lost=0.1
)


async def _disturb(site, rng: random.Random) -> None:  # type: ignore[no-untyped-def]
    """Cause one trouble, and wait a while."""
    number = rng.randrange(len(site.keepers))
    kind = rng.choice(["elect", "elect", "pause", "cut", "late order"])
    wait_s = rng.uniform(0.0, 1.5 * leases.TERM_S)
    if kind == "elect":
        site.elect(number, seen_by=rng.choice([(0,), (1,), (0, 1)]))
    elif kind == "pause":
        site.links[number].thawed.clear()
    elif kind == "cut":
        site.links[number].is_cut = True
    elif site.engines.orders:
        runner_id, call = rng.choice(site.engines.orders)
        runner = next(r for r in site.runners if r.runner_id == runner_id)
        await site.engines.order_desired(runner, call, 1.0)
    await asyncio.sleep(wait_s)
    site.links[number].is_cut = False
    site.links[number].thawed.set()


async def _try(
    module: types.ModuleType, loop: virtual_time.VirtualLoop, seed: int
) -> list[str]:
    rng = random.Random(seed)
    checks = bool(seed % 2)
    site = module.Site(loop, checks)
    site.runners = module.RUNNERS
    site.table.faults = FAULTS
    site.elect(0)
    for _ in range(TROUBLES):
        await _disturb(site, rng)
    site.table.faults = faulty_table.Faults()
    last = rng.randrange(len(site.keepers))
    site.elect(last)
    await asyncio.sleep(SETTLE_S + faulty_table.LATE_S)
    found = _violations(site, last, "after the faults")
    stale = [call for call in site.engines.orders if call[1].model != f"m@{last + 1}"]
    for runner_id, call in stale[-3:]:
        runner = next(r for r in site.runners if r.runner_id == runner_id)
        await site.engines.order_desired(runner, call, 1.0)
    await asyncio.sleep(3.0)
    found.extend(_violations(site, last, "after a stale order"))
    await site.close()
    return [f"seed {seed}, numbers checked {checks}: {line}" for line in found]


def _violations(site, last: int, when: str) -> list[str]:  # type: ignore[no-untyped-def]
    holding = [keeper.holds(site.service) for keeper in site.keepers]
    found = []
    if holding != [number == last for number in range(len(holding))]:
        found.append(f"{when}: held by {holding}, wanted by {last}")
    if site.engines.models() != {f"m@{last + 1}"}:
        found.append(f"{when}: runners have {site.engines.models()}")
    return found


def run_trials(seed: int, count: int = TRIAL_COUNT) -> proofs.Outcome:
    """Run trials, with runners that check numbers and that do not in turn.

    Args:
        seed: of the first trial; each has its own.
        count: how many.

    Returns:
        How many were run and what broke the promise.
    """
    module = collection.load_module(collection.ROOT / TEST_FILE)
    found: list[str] = []
    for number in range(seed, seed + count):
        found.extend(
            virtual_time.run(lambda loop, s=number: _try(module, loop, s))  # type: ignore[misc]
        )
    return proofs.Outcome(count, tuple(found))


PROOFS = (
    proofs.Proof("fencing: runners end in the later holder's state", 9_000, run_trials),
)
