"""Checks that an order takes effect at most once under all pairs of faults.

Three daemons, one table and one runner run on virtual time. Callers retry
with the same key at other daemons, also while the first call is in progress.
"""

import asyncio
import dataclasses
import enum
import itertools
import random
from collections.abc import Callable

from lacewingdrum_coordination import orders
from lacewingdrum_daemon import order_executor
from lacewingdrum_protocol import row_codec
from lacewingdrum_state import ids, orders as rows, states
from tests import faulty_table, proofs, virtual_time

ORDER_COUNT = 2_000
DAEMON_COUNT = 3
REPEATS = 3
PATIENCE_S = 1.5
PROCESSING_S = 0.1
SETTLE_S = 90.0
ORDER_ID = rows.OrderId(
    ids.ServiceName("vault-ledger"), ids.CustomerId("broker"), ids.IdempotencyKey("k")
)


class Fault(enum.Enum):
    """A fault during an order."""

    TABLE_REFUSES = "table refuses"
    WRITE_DROPPED = "write dropped"
    REPLY_LOST = "reply lost after the write"
    WRITE_LATE = "write lands late"
    TABLE_DOWN = "table down"
    FREEZE = "daemon frozen"
    FREEZE_LONG = "daemon frozen past the patience"
    KILL = "daemon killed"
    ANSWER_LOST = "runner's answer lost"
    RUNNER_REFUSES = "runner refuses"
    RUNNER_UNREACHED = "runner not reached"
    CALLER_GONE = "caller goes away"


FAULT_PAIRS = tuple(itertools.combinations_with_replacement(Fault, 2))


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """The result of one call, and how late after its deadline it ended."""

    attempt_id: ids.AttemptId
    result: orders.OrderResult
    late_s: float


class Trial:
    """One order, its faults, its effects and the results of its calls."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, pair: tuple[Fault, Fault], seed: int
    ) -> None:
        self._loop = loop
        self._faults = set(pair)
        self._rng = random.Random(seed)
        self._table = faulty_table.FaultyTable(self._rng)
        self._links = [faulty_table.Link(self._table) for _ in range(DAEMON_COUNT)]
        self._daemons = [
            order_executor.OrderExecutor(link, loop.time) for link in self._links
        ]
        self._attempt_count = 0
        self.effects: dict[ids.AttemptId, rows.OrderAnswer] = {}
        self.results: list[CallResult] = []
        self.killed = False
        self.answer_lost = False

    async def run(self) -> None:
        """Run the order with its faults and retries, then wait."""
        self._set_table_faults()
        fault_tasks = [
            asyncio.ensure_future(self._inject_fault(fault))
            for fault in sorted(self._faults, key=lambda fault: fault.value)
        ]
        repeats = [
            asyncio.ensure_future(self._caller(number)) for number in range(REPEATS)
        ]
        await asyncio.gather(*repeats, *fault_tasks)
        self._faults = set()
        self._table.faults = faulty_table.Faults()
        await asyncio.sleep(SETTLE_S)

    async def ask(self, daemon: int) -> None:
        """Call one daemon; an aborted call records no result."""
        self._attempt_count += 1
        attempt_id = ids.AttemptId(f"a{self._attempt_count}")
        deadline_s = self._loop.time() + PATIENCE_S
        calling = asyncio.ensure_future(
            self._daemons[daemon].run(
                ORDER_ID, "ff", attempt_id, deadline_s, self._sender(daemon, attempt_id)
            )
        )
        if Fault.CALLER_GONE in self._faults and self._rng.random() < 0.5:
            await asyncio.sleep(self._rng.uniform(0.0, 0.3))
            calling.cancel()
        await asyncio.wait({calling})
        if not calling.cancelled():
            late_s = self._loop.time() - deadline_s
            self.results.append(CallResult(attempt_id, calling.result(), late_s))

    def row(self) -> rows.OrderRow | None:
        """Return the order's current row."""
        row = self._table.row(row_codec.order_key(ORDER_ID))
        return row_codec.decode_order(row.value).ok()

    async def close(self) -> None:
        """End all daemons."""
        for daemon in self._daemons:
            await daemon.close(0.0)

    async def _caller(self, number: int) -> None:
        await asyncio.sleep(number * self._rng.uniform(0.0, 1.5))
        await self.ask(self._rng.randrange(DAEMON_COUNT) if number else 0)

    def _set_table_faults(self) -> None:
        def probability(fault: Fault) -> float:
            return 0.35 if fault in self._faults else 0.0

        self._table.faults = faulty_table.Faults(
            refused=probability(Fault.TABLE_REFUSES),
            dropped=probability(Fault.WRITE_DROPPED),
            reply_lost=probability(Fault.REPLY_LOST),
            late=probability(Fault.WRITE_LATE),
        )

    async def _inject_fault(self, fault: Fault) -> None:
        begin_s, length_s = self._rng.uniform(0.0, 0.3), self._rng.uniform(0.1, 4.0)
        await asyncio.sleep(begin_s)
        match fault:
            case Fault.TABLE_DOWN:
                self._table.is_down = True
                await asyncio.sleep(length_s)
                self._table.is_down = False
            case Fault.FREEZE | Fault.FREEZE_LONG:
                long_s = PATIENCE_S if fault is Fault.FREEZE_LONG else 0.0
                self._links[0].thawed.clear()
                await asyncio.sleep(long_s + length_s)
                self._links[0].thawed.set()
            case Fault.KILL:
                self.killed = True
                dead = self._daemons[0]
                self._links[0] = faulty_table.Link(self._table)
                self._daemons[0] = order_executor.OrderExecutor(
                    self._links[0], self._loop.time
                )
                await dead.close(0.0)

    def _sender(self, daemon: int, attempt_id: ids.AttemptId) -> Callable:
        link = self._links[daemon]

        async def send() -> orders.SendOutcome:
            outcome = await self._run_at_runner(attempt_id)
            await link.thawed.wait()
            return outcome

        return send

    async def _run_at_runner(self, attempt_id: ids.AttemptId) -> orders.SendOutcome:
        is_faulty = self._rng.random() < 0.6
        if is_faulty and Fault.RUNNER_UNREACHED in self._faults:
            return orders.Unsent()
        delay_s = self._rng.uniform(0.0, 0.05)
        if is_faulty and Fault.RUNNER_REFUSES in self._faults:
            await asyncio.sleep(delay_s)
            return orders.RefusedNotStarted()
        answer = rows.OrderAnswer(200, "text/plain", attempt_id.encode())
        is_lost = is_faulty and Fault.ANSWER_LOST in self._faults
        if not is_lost or self._rng.random() < 0.5:
            # The runner continues even if the daemon is killed meanwhile.
            self._loop.call_later(delay_s, self.effects.__setitem__, attempt_id, answer)
        await asyncio.sleep(delay_s + self._rng.uniform(0.001, 0.05))
        if is_lost:
            self.answer_lost = True
            return orders.AnswerLost()
        return orders.Answered(answer)


def violations_of(trial: Trial) -> list[str]:
    """Return a line for each violation in a finished trial."""
    found = []
    if len(trial.effects) > 1:
        found.append(f"{len(trial.effects)} effects")
    for call_result in trial.results:
        if call_result.late_s > PROCESSING_S:
            found.append(f"answered {call_result.late_s:.2f} s late")
        match call_result.result:
            case orders.Done(answer, _) if answer not in trial.effects.values():
                found.append("an answer that the runner never gave")
            case orders.NotSent(states.Ran.NO) if (
                call_result.attempt_id in trial.effects
            ):
                found.append("told as not run, and ran")
    found.extend(_row_violations(trial))
    return found


def _row_violations(trial: Trial) -> list[str]:
    row = trial.row()
    if row is None:
        return []
    match row.state:
        case states.OrderState.ANSWERED:
            if trial.effects != {row.attempt_id: row.answer}:
                return ["the record disagrees with the runner"]
        case states.OrderState.NOT_RUN if trial.effects:
            return ["recorded as not run, and ran"]
    return []


async def _run_trial(
    loop: asyncio.AbstractEventLoop, pair: tuple[Fault, Fault], seed: int
) -> list[str]:
    trial = Trial(loop, pair, seed)
    await trial.run()
    found = violations_of(trial)
    await trial.ask(DAEMON_COUNT - 1)
    found.extend(violations_of(trial))
    last = trial.results[-1].result
    # A retry may be answered "may have run" forever only if the answer was
    # lost or a daemon was killed that may have known the outcome.
    may_stay_unknown = trial.answer_lost or trial.killed
    if not isinstance(last, orders.Done) and not may_stay_unknown:
        found.append(f"blocked for ever: {last}")
    await trial.close()
    names = " + ".join(fault.value for fault in pair)
    return [f"{names}, seed {seed}: {violation}" for violation in found]


def run_orders(seed: int, count: int = ORDER_COUNT) -> proofs.Outcome:
    """Run orders, cycling through the pairs of faults.

    Args:
        seed: seed of the first order; each order has its own.
        count: number of orders.

    Returns:
        The number of orders and the violations.
    """
    found: list[str] = []
    for number in range(count):
        pair = FAULT_PAIRS[number % len(FAULT_PAIRS)]
        order_seed = seed + number
        found.extend(
            virtual_time.run(lambda loop, p=pair, s=order_seed: _run_trial(loop, p, s))  # type: ignore[misc]
        )
    return proofs.Outcome(count, tuple(found))


PROOFS = (
    proofs.Proof("orders: at most once under all fault pairs", 4_000, run_orders),
)
