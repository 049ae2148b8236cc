"""Tests of executing orders, in virtual time and with a faulty table."""

import asyncio
import random

from lacewingdrum_coordination import orders
from lacewingdrum_daemon import order_executor
from lacewingdrum_protocol import row_codec
from lacewingdrum_state import ids, orders as rows, states
from tests import faulty_table, virtual_time

ORDER_ID = rows.OrderId(
    ids.ServiceName("meiler-app"), ids.CustomerId("kiln"), ids.IdempotencyKey("k")
)
ANSWER = rows.OrderAnswer(201, "application/json", b"{}")


class Site:
    """Two daemons, a table, and a runner that records when it is called."""

    def __init__(self, loop):
        self.now_s = loop.time
        self.table = faulty_table.FaultyTable(random.Random(4))
        self.links = [faulty_table.Link(self.table) for _ in range(2)]
        self.executors = [
            order_executor.OrderExecutor(link, loop.time) for link in self.links
        ]
        self.sent_s = []
        self.runner_s = 0.1
        self.count = 0

    async def send(self):
        self.sent_s.append(self.now_s())
        await asyncio.sleep(self.runner_s)
        return orders.Answered(ANSWER)

    def run(self, daemon, patience_s=2.0):
        self.count += 1
        return self.executors[daemon].run(
            ORDER_ID,
            "ff",
            ids.AttemptId(f"a{self.count}"),
            self.now_s() + patience_s,
            self.send,
        )

    def row(self):
        row = self.table.row(row_codec.order_key(ORDER_ID))
        return row_codec.decode_order(row.value).ok()


def test_order_is_recorded_after_its_caller_disconnects():
    async def main(loop):
        site = Site(loop)
        caller = asyncio.create_task(site.run(0))
        await asyncio.sleep(0.06)
        caller.cancel()
        await asyncio.sleep(1.0)
        assert site.row().answer == ANSWER
        assert await site.run(1) == orders.Done(ANSWER, replayed=True)
        assert len(site.sent_s) == 1
        assert site.executors[0].open_count == 0

    virtual_time.run(main)


def test_caller_is_answered_at_the_deadline_and_the_answer_is_stored():
    async def main(loop):
        site = Site(loop)
        site.runner_s = 5.0
        started_s = loop.time()
        result = await site.run(0, patience_s=1.0)
        assert loop.time() <= started_s + 1.001
        assert result.ran is states.Ran.MAYBE
        await asyncio.sleep(5.0)
        assert await site.run(1) == orders.Done(ANSWER, replayed=True)

    virtual_time.run(main)


def test_daemon_suspended_after_its_claim_does_not_send_after_the_deadline():
    async def main(loop):
        site = Site(loop)
        site.links[0].thawed.clear()
        first = asyncio.create_task(site.run(0, patience_s=1.0))
        await asyncio.sleep(0.5)
        second = await site.run(1)
        assert second.ran is states.Ran.MAYBE
        await asyncio.sleep(10.0)
        site.links[0].thawed.set()
        assert (await first).ran is states.Ran.NO
        await asyncio.sleep(1.0)
        assert site.sent_s == []
        assert await site.run(1) == orders.Done(ANSWER, replayed=False)

    virtual_time.run(main)


def test_no_pause_between_steps_allows_a_send_after_the_deadline():
    # The clock jumps ahead after a given number of readings, as it does when
    # the process is suspended between two steps.
    async def main(loop):
        for reads in range(12):
            site = Site(loop)
            left = [reads]

            def clock(left=left):
                left[0] -= 1
                return loop.time() + (60.0 if left[0] < 0 else 0.0)

            async def send(site=site, left=left):
                site.sent_s.append(left[0])
                return orders.Answered(ANSWER)

            site.send = send
            site.executors[0] = order_executor.OrderExecutor(site.links[0], clock)
            result = await site.run(0)
            await asyncio.sleep(1.0)
            assert all(left_at_send >= 0 for left_at_send in site.sent_s)
            if not site.sent_s:
                assert result.ran is states.Ran.NO
                assert site.row() is None or site.row().state.value == "not_run"

    virtual_time.run(main)


def test_answer_is_recorded_when_the_table_is_available_again():
    async def main(loop):
        site = Site(loop)
        caller = asyncio.create_task(site.run(0))
        await asyncio.sleep(0.06)
        site.table.is_down = True
        assert await caller == orders.Done(ANSWER, replayed=False)
        assert (await site.run(1)).reason is orders.NotSentReason.NO_TABLE
        await asyncio.sleep(60.0)
        site.table.is_down = False
        await asyncio.sleep(3.0)
        assert site.row().state is states.OrderState.ANSWERED

    virtual_time.run(main)


def test_close_waits_for_the_record_and_refuses_new_orders():
    async def main(loop):
        site = Site(loop)
        caller = asyncio.create_task(site.run(0))
        await asyncio.sleep(0.06)
        closing = asyncio.create_task(site.executors[0].close(5.0))
        await asyncio.sleep(0.0)
        refused = await site.run(0)
        assert refused.reason is orders.NotSentReason.STOPPING
        assert refused.ran is states.Ran.NO
        await closing
        assert await caller == orders.Done(ANSWER, replayed=False)
        assert site.row().state is states.OrderState.ANSWERED

    virtual_time.run(main)


def test_send_that_raises_counts_as_a_lost_answer():
    async def broken():
        raise ValueError("bug")

    async def main(loop):
        site = Site(loop)
        site.send = broken
        assert (await site.run(0)).reason is orders.NotSentReason.ANSWER_LOST
        assert (await site.run(1)).reason is orders.NotSentReason.MAY_HAVE_RUN

    virtual_time.run(main)
