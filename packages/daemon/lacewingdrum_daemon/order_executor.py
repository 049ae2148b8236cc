"""Executes orders by driving the state machine of ``coordination.orders``.

Each order runs in its own task, so that it runs to its end and is recorded
even if its caller disconnects or its deadline passes.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from result import Err, Ok

from lacewingdrum_coordination import order_steps, orders
from lacewingdrum_daemon import tables
from lacewingdrum_protocol import row_codec
from lacewingdrum_runtime import tasks
from lacewingdrum_state import ids, orders as order_rows, rows, states

MAX_OPEN_ORDERS = 10_000

Sender = Callable[[], Awaitable[orders.SendOutcome]]
_log = logging.getLogger(__name__)


class OrderExecutor:
    """Runs each order to its end, whether or not its caller waits."""

    def __init__(self, table: tables.Table, clock: Callable[[], float]) -> None:
        """Create an executor without orders.

        Args:
            table: the platform's table service.
            clock: monotonic seconds.
        """
        self._table = table
        self._clock = clock
        self._tasks = tasks.TaskSet()
        self._order_attempts: dict[order_rows.OrderId, set[_OrderAttempt]] = {}
        self._open_count = 0
        self._is_closed = False

    @property
    def open_count(self) -> int:
        """Number of orders that are in progress or not yet recorded."""
        return self._open_count

    async def run(
        self,
        order_id: order_rows.OrderId,
        fingerprint: str,
        attempt_id: ids.AttemptId,
        deadline_s: float,
        send: Sender,
    ) -> orders.OrderResult:
        """Run one order, and return at its deadline at the latest.

        Args:
            order_id: service, customer and idempotency key of the order.
            fingerprint: SHA-256 of method, request target and body, in hex.
            attempt_id: an id that is unique to this call.
            deadline_s: when the caller's patience ends, on ``clock``.
            send: sends the order to a runner; called at most once, and never
                after the deadline.

        Returns:
            The runner's answer, or why there is none and whether the order
            ran.
        """
        if self._is_closed:
            return orders.NotSent(states.Ran.NO, orders.NotSentReason.STOPPING)
        if self._open_count >= MAX_OPEN_ORDERS:
            # Too many open orders have no reason of their own: the caller is
            # answered as if the table could not be reached.
            return orders.NotSent(states.Ran.NO, orders.NotSentReason.NO_TABLE)
        attempt = orders.Attempt(order_id, fingerprint, attempt_id, deadline_s)
        order_attempt = _OrderAttempt(
            self._table, self._clock, self._own_attempts, attempt, send
        )
        self._add(order_attempt)
        self._tasks.spawn(self._drive(order_attempt))
        return await order_attempt.result()

    async def close(self, grace_s: float) -> None:
        """Refuse new orders, and wait until open ones are recorded.

        Args:
            grace_s: how long to wait before the remaining orders are given up.
        """
        self._is_closed = True
        await self._tasks.close(grace_s)

    def _add(self, order_attempt: "_OrderAttempt") -> None:
        self._order_attempts.setdefault(order_attempt.attempt.order_id, set()).add(
            order_attempt
        )
        self._open_count += 1

    async def _drive(self, order_attempt: "_OrderAttempt") -> None:
        try:
            await order_attempt.drive()
        finally:
            self._remove(order_attempt)

    def _remove(self, order_attempt: "_OrderAttempt") -> None:
        order_attempts = self._order_attempts[order_attempt.attempt.order_id]
        order_attempts.discard(order_attempt)
        if not order_attempts:
            del self._order_attempts[order_attempt.attempt.order_id]
        self._open_count -= 1

    def _own_attempts(self, order_id: order_rows.OrderId) -> orders.OwnAttempts:
        order_attempts = self._order_attempts.get(order_id, set())
        return orders.own_attempts(
            order_attempt.attempt for order_attempt in order_attempts
        )


class _OrderAttempt:
    """One attempt to execute an order, and the reply to its caller."""

    def __init__(
        self,
        table: tables.Table,
        clock: Callable[[], float],
        own_attempts: Callable[[order_rows.OrderId], orders.OwnAttempts],
        attempt: orders.Attempt,
        send: Sender,
    ) -> None:
        self.attempt = attempt
        self._table = table
        self._clock = clock
        self._own_attempts = own_attempts
        self._send = send
        self._row_key = row_codec.order_key(attempt.order_id)
        self._reply: asyncio.Future[orders.OrderResult] = (
            asyncio.get_running_loop().create_future()
        )

    async def result(self) -> orders.OrderResult:
        """Wait for the result of the order, at most until the deadline."""
        left_s = max(0.0, self.attempt.deadline_s - self._clock())
        await asyncio.wait({self._reply}, timeout=left_s)
        if not self._reply.done():
            self._step(orders.DeadlinePassed())
        return self._reply.result()

    async def drive(self) -> None:
        """Perform the steps of the attempt until it ends."""
        work = self._step(orders.Started())
        while work is not None:
            event = await self._perform(work)
            work = self._step(event)

    def _step(self, event: orders.Event) -> orders.WriteRow | orders.Send | None:
        own = self._own_attempts(self.attempt.order_id)
        self.attempt, actions = order_steps.step(
            self.attempt, event, self._clock(), own
        )
        work: orders.WriteRow | orders.Send | None = None
        for action in actions:
            match action:
                case orders.Reply(result):
                    self._reply.set_result(result)
                case orders.WriteRow() | orders.Send():
                    work = action
        return work

    async def _perform(self, work: orders.WriteRow | orders.Send) -> orders.Event:
        match work:
            case orders.Send():
                return orders.SendEnded(await self._send_before_deadline())
            case orders.WriteRow():
                return await self._write(work)

    async def _send_before_deadline(self) -> orders.SendOutcome:
        # The process can be suspended between any two steps, so the clock is
        # read immediately before the send.
        if self._clock() >= self.attempt.deadline_s:
            return orders.Unsent()
        try:
            return await self._send()
        except Exception:
            _log.exception("order %s: send failed", self.attempt.attempt_id)
            return orders.AnswerLost()

    async def _write(self, work: orders.WriteRow) -> orders.Event:
        if work.delay_s > 0:
            await asyncio.sleep(work.delay_s)
        value = row_codec.encode(work.row)
        write = rows.RowWrite(self._row_key, work.if_version, value)
        match await self._table.write((write,)):
            case Ok((outcome,)):
                return _write_reply(outcome)
            case Err(error):
                return orders.WriteFailed(tables.may_have_applied(error))
        return orders.WriteFailed(may_have_applied=True)


def _write_reply(outcome: rows.WriteOutcome) -> orders.WriteReply:
    row = row_codec.decode_order(outcome.row.value).ok()
    return orders.WriteReply(outcome.applied, outcome.row.row_version, row)
