"""Checks slow runners and pauses of a daemon at critical points.

A process can be suspended between any two instructions, also where the event
loop does not run. No timer of the loop has then fired when the process
resumes, so the daemon must read the clock right before a critical step.
"""

import random
from typing import Any
from unittest import mock

from result import Ok

from lacewingdrum_coordination import order_steps, orders
from lacewingdrum_daemon import order_executor
from lacewingdrum_protocol import callers_api
from lacewingdrum_state import ids, orders as rows, states
from tests import collection, faulty_table, proofs, virtual_time

COMPLETIONS_TEST = "packages/daemon/lacewingdrum_daemon/completions_test.py"
PROCESSING_S = 0.1
PATIENCES_S = (0.3, 1.0, 4.0, 5.0, 7.5, 12.0, 31.0)
PART_PAUSES_S = (0.5, 1.3, 2.0, 2.9)
ORDER_PATIENCE_S = 1.5
ORDER_ID = rows.OrderId(
    ids.ServiceName("vault-ledger"), ids.CustomerId("broker"), ids.IdempotencyKey("k")
)


def _load_completions_test() -> Any:
    return collection.load_module(collection.ROOT / COMPLETIONS_TEST)


def _expiry_violations(bench: Any, failure: callers_api.Failure | None) -> list[str]:
    """Return the violations of a call that had to end by its patience."""
    if failure is None:
        return ["answered after its patience"]
    found = []
    late_s = bench.answer.failed_s - bench.deadline_s
    if late_s > PROCESSING_S:
        found.append(f"ended {late_s:.2f} s after its patience")
    if failure.code is not callers_api.ErrorCode.PATIENCE_OVER:
        found.append(f"ended by {failure.code.value}")
    if not failure.retry_after_ms:
        found.append("no time to return at")
    return found


def run_slow_runners(seed: int) -> proofs.Outcome:
    """Run calls to runners that send too slowly or stop after two parts.

    Args:
        seed: unused, because nothing is random.

    Returns:
        The number of calls, and the calls that did not end by their patience.
    """
    del seed
    module = _load_completions_test()
    scripts = [module.Script(part_pause_s=pause_s) for pause_s in PART_PAUSES_S]
    scripts.append(module.Script(parts=2, then="silent"))
    found: list[str] = []
    trials = 0
    for patience_s in PATIENCES_S:
        for script in scripts:
            needed_s = script.part_pause_s * (len(module.TEXT) + 1)
            if script.then == "done" and needed_s < patience_s:
                # The runner finishes within the patience.
                continue
            trials += 1

            async def main(
                loop: virtual_time.VirtualLoop,
                patience_s: float = patience_s,
                script: Any = script,
            ) -> list[str]:
                bench = module.Bench(loop, *[script] * 6)
                failure = await bench.run(patience_s)
                if failure is not None and bench.answer.failed_s < bench.deadline_s:
                    # Every runner was tried, which may end a call early.
                    return []
                return _expiry_violations(bench, failure)

            found += virtual_time.run(main)
    return proofs.Outcome(trials, tuple(found))


def run_freezes(seed: int) -> proofs.Outcome:
    """Freeze the daemon past the patience while its buffer holds parts.

    Args:
        seed: unused, because nothing is random.

    Returns:
        The number of calls, and the calls that received parts too late.
    """
    del seed
    module = _load_completions_test()
    found: list[str] = []
    for frozen_before in range(len(module.TEXT)):

        async def main(
            loop: virtual_time.VirtualLoop, frozen_before: int = frozen_before
        ) -> list[str]:
            bench = module.Bench(loop)

            async def complete(target: Any, call: Any, timeout_s: float) -> Any:
                stream = module.FakeStream(module.Script(), call, loop)
                count = 0

                async def next_at_once(timeout_s: float) -> Any:
                    nonlocal count
                    if count == frozen_before:
                        loop.freeze(2 * module.PATIENCE_S)
                    count += 1
                    return next(stream.queue)

                stream.next = next_at_once
                return Ok(stream)

            bench.runners.complete = complete
            failure = await bench.run()
            passed = len(bench.answer.text.split())
            if failure is None or passed > frozen_before:
                return [f"frozen before part {frozen_before}, {passed} passed on"]
            return []

        found += virtual_time.run(main)
    return proofs.Outcome(len(module.TEXT), tuple(found))


async def _pause_before_send(loop: virtual_time.VirtualLoop, seed: int) -> list[str]:
    table = faulty_table.FaultyTable(random.Random(seed))
    holder, other = (
        order_executor.OrderExecutor(faulty_table.Link(table), loop.time)
        for _ in range(2)
    )
    sent: list[str] = []

    async def send_of(name: str) -> orders.SendOutcome:
        sent.append(name)
        return orders.Answered(rows.OrderAnswer(200, "text/plain", b"done"))

    step = order_steps.step

    def paused(*arguments: Any) -> orders.Step:
        attempt, actions = step(*arguments)
        if any(isinstance(action, orders.Send) for action in actions):
            loop.freeze(2 * ORDER_PATIENCE_S)
        return attempt, actions

    with mock.patch.object(order_steps, "step", paused):
        deadline_s = loop.time() + ORDER_PATIENCE_S
        holder_result = await holder.run(
            ORDER_ID, "ff", ids.AttemptId("a1"), deadline_s, lambda: send_of("holder")
        )
        await holder.close(30.0)
    deadline_s = loop.time() + ORDER_PATIENCE_S
    retry_result = await other.run(
        ORDER_ID, "ff", ids.AttemptId("a2"), deadline_s, lambda: send_of("other")
    )
    await other.close(30.0)
    found = []
    if "holder" in sent:
        found.append("sent after its patience")
    if not isinstance(holder_result, orders.NotSent):
        found.append(f"the holder's caller was told {holder_result}")
    elif holder_result.ran is states.Ran.NO and "holder" in sent:
        found.append("told as not run, and sent")
    if len(sent) > 1:
        found.append("sent twice")
    if not isinstance(retry_result, orders.Done):
        found.append(f"the repeat was told {retry_result}")
    return found


def run_paused_orders(seed: int, count: int = 100) -> proofs.Outcome:
    """Freeze the holder between its decision to send and the send.

    Args:
        seed: seed of the first order; each order has its own.
        count: number of orders.

    Returns:
        The number of orders, and the wrong sends and answers.
    """
    found: list[str] = []
    for order_seed in range(seed, seed + count):
        found += virtual_time.run(
            lambda loop, s=order_seed: _pause_before_send(loop, s)  # type: ignore[misc]
        )
    return proofs.Outcome(count, tuple(found))


PROOFS = (
    proofs.Proof("patience: slow and silent runners", 0, run_slow_runners),
    proofs.Proof("patience: frozen with parts in the buffer", 0, run_freezes),
    proofs.Proof("orders: holder paused right before the send", 1, run_paused_orders),
)
