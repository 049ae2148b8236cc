import asyncio
import time

from lacewingdrum_transport import turn_budget


async def work(turns: turn_budget.ReadTurns, event_count: int, event_s: float):
    """Handle events that have all arrived, and give back what is not ours."""
    for _ in range(event_count):
        if turns.is_over:
            await turns.give_back()
        turns.count()
        end_s = time.monotonic() + event_s
        while time.monotonic() < end_s:
            pass


async def test_few_events_are_handled_at_once():
    turns = turn_budget.ReadTurns()
    await asyncio.wait_for(work(turns, turn_budget.FREE_EVENTS, 0.001), 1.0)
    assert not turn_budget.of_running_loop()._is_measuring
    assert turns.is_over is False


async def test_connections_with_much_to_read_have_their_turns_one_after_another():
    order = []

    async def read(name):
        turns = turn_budget.ReadTurns()
        for _ in range(5):
            await work(turns, turn_budget.EVENTS_MAX, 0.0)
            await turns.give_back()
            order.append(name)

    await asyncio.gather(*(read(name) for name in "abc"))
    assert "".join(order) == "abc" * 5


async def test_turns_end_by_time_where_events_are_slow():
    turns = turn_budget.ReadTurns()
    working = asyncio.ensure_future(work(turns, 100, 0.002))
    waited_s = []
    while not working.done():
        start_s = time.monotonic()
        await asyncio.sleep(0)
        waited_s.append(time.monotonic() - start_s)
    assert len(waited_s) >= 100 // (turn_budget.FREE_EVENTS + 3)


async def test_reader_that_is_cancelled_while_it_waits_holds_up_nobody():
    waiting = [
        asyncio.ensure_future(turn_budget.ReadTurns().give_back())
        for _ in range(2 * turn_budget.WAITING_PER_TURN)
    ]
    await asyncio.sleep(0)
    for task in waiting[:-1]:
        task.cancel()
    await asyncio.wait_for(waiting[-1], 1.0)
    assert not turn_budget.of_running_loop()._waiting


async def test_nothing_is_measured_once_there_is_nothing_to_read():
    await turn_budget.ReadTurns().give_back()
    for _ in range(3):
        await asyncio.sleep(0)
    assert not turn_budget.of_running_loop()._is_measuring
