"""Checks placement on virtual time: paused holders, lost replies, late orders.

Two daemons send model orders to the runners of one service, each for another
model. At random, a daemon is paused, partitioned from the table or elected to
hold the lease, and old orders reach their runner again. At no time may two
daemons hold the lease or a daemon without it send an order. Runners that check
fencing numbers may never accept an older holder's order. After the faults have
ended, the runners must reach the last holder's state and stay in it.
"""

import asyncio
import random
import types

from lacewingdrum_coordination import leases
from tests import collection, faulty_table, proofs, virtual_time

TRIAL_COUNT = 200
FAULT_COUNT = 12
SETTLE_S = leases.TERM_S + 10.0
WATCH_PERIOD_S = 0.1
FREEZE_PROBABILITY = 0.002
TEST_FILE = "packages/daemon/lacewingdrum_daemon/placement_controller_test.py"
FAULTS = faulty_table.Faults(
    refused=0.1, dropped=0.1, reply_lost=0.15, late=0.15, read_lost=0.1
)


class Trial:
    """One run; ``violations`` has a line for each violation."""

    def __init__(
        self, module: types.ModuleType, loop: virtual_time.VirtualLoop, seed: int
    ) -> None:
        self._rng = random.Random(seed)
        self._loop = loop
        self._site = module.Site(loop, checks=bool(seed % 2))
        self._runners = {runner.runner_id: runner for runner in module.RUNNERS}
        self._service = module.SERVICE
        self._engines = self._site.engines
        self._set_desired_model = self._engines.set_desired_model
        self._engines.set_desired_model = self._send_order
        self._engines.pause = self._maybe_freeze
        self.violations: list[str] = []

    async def run(self) -> None:
        """Inject the faults, end them, and check the runners' state."""
        watch_task = asyncio.ensure_future(self._watch())
        self._site.table.faults = FAULTS
        self._site.elect(0)
        for _ in range(FAULT_COUNT):
            await self._inject_fault()
        self._engines.pause = None
        self._site.table.faults = faulty_table.Faults()
        last = self._rng.randrange(len(self._site.controllers))
        self._site.elect(last)
        await asyncio.sleep(SETTLE_S + faulty_table.LATE_WRITE_MAX_S)
        self._check_end(last)
        for _ in range(3):
            await self._replay_order()
        await asyncio.sleep(3.0)
        self._check_end(last)
        watch_task.cancel()
        await self._site.close()

    async def _inject_fault(self) -> None:
        """Inject one fault, wait for a random time, and end it."""
        number = self._rng.randrange(len(self._site.controllers))
        link = self._site.links[number]
        match self._rng.choice(["elect", "elect", "pause", "cut", "stale order"]):
            case "elect":
                observers = self._rng.choice([(0,), (1,), (0, 1)])
                self._site.elect(number, seen_by=observers)
            case "pause":
                link.thawed.clear()
            case "cut":
                link.is_partitioned = True
            case "stale order":
                await self._replay_order()
        await asyncio.sleep(self._rng.uniform(0.0, 1.5 * leases.TERM_S))
        link.is_partitioned = False
        link.thawed.set()

    def _maybe_freeze(self) -> None:
        """Freeze the process at random between a decision and its order."""
        if self._rng.random() < FREEZE_PROBABILITY:
            self._loop.freeze(leases.TERM_S)

    async def _send_order(self, runner, call, timeout_s: float):  # type: ignore[no-untyped-def]
        """Check that the sender holds the lease, and send the order."""
        sender = int(call.model.removeprefix("m@")) - 1
        if not self._site.controllers[sender].holds_lease(self._service):
            self.violations.append(f"{sender} ordered without the lease")
        return await self._set_desired_model(runner, call, timeout_s)

    async def _replay_order(self) -> None:
        """Deliver an earlier order to its runner again."""
        if not self._engines.orders:
            return
        runner_id, call = self._rng.choice(self._engines.orders)
        before = self._engines.seen[runner_id]
        await self._set_desired_model(self._runners[runner_id], call, 1.0)
        is_older = call.model != before.model
        is_accepted = self._engines.seen[runner_id].model == call.model
        if self._engines.checks and is_older and is_accepted:
            self.violations.append(f"an older order was taken after {before}")

    async def _watch(self) -> None:
        while True:
            holders = [
                controller.holds_lease(self._service)
                for controller in self._site.controllers
            ]
            if sum(holders) > 1:
                self.violations.append("two holders at once")
            await asyncio.sleep(WATCH_PERIOD_S)

    def _check_end(self, last: int) -> None:
        holding = [
            controller.holds_lease(self._service)
            for controller in self._site.controllers
        ]
        if holding != [number == last for number in range(len(holding))]:
            self.violations.append(f"held by {holding}, wanted by {last}")
        if self._engines.models() != {f"m@{last + 1}"}:
            self.violations.append(f"runners have {self._engines.models()}")


async def _run_trial(
    module: types.ModuleType, loop: virtual_time.VirtualLoop, seed: int
) -> list[str]:
    trial = Trial(module, loop, seed)
    await trial.run()
    checks = "checked" if seed % 2 else "ignored"
    return [f"seed {seed}, numbers {checks}: {line}" for line in trial.violations]


def run_trials(seed: int, count: int = TRIAL_COUNT) -> proofs.Outcome:
    """Run trials, alternating runners that check and ignore fencing numbers.

    Args:
        seed: seed of the first trial; each trial has its own.
        count: number of trials.

    Returns:
        The number of trials and the violations.
    """
    module = collection.load_module(collection.ROOT / TEST_FILE)
    found: list[str] = []
    for number in range(seed, seed + count):
        found.extend(
            virtual_time.run(lambda loop, s=number: _run_trial(module, loop, s))  # type: ignore[misc]
        )
    return proofs.Outcome(count, tuple(found))


PROOFS = (
    proofs.Proof("fencing: runners end in the later holder's state", 9_000, run_trials),
)
