import asyncio

from lacewingdrum_gateway.serving import (
    attempt_ends,
    attempt_race,
    open_attempt,
    outcomes,
)
from lacewingdrum_protocol import event_stream

_SOURCE = open_attempt.PeerSource(None)  # type: ignore[arg-type]


def new_attempt(number: int) -> open_attempt.OpenAttempt:
    return open_attempt.OpenAttempt(
        number, _SOURCE, event_stream.EventStream(), started_s=0.0
    )


async def run_two(second_wins: bool):
    """Run two attempts, of which one takes over after the other has begun."""
    race = attempt_race.AttemptRace()
    attempts = [new_attempt(1), new_attempt(2)]

    async def run(attempt, wins: bool):
        await asyncio.sleep(0.02 if wins else 10.0)
        assert race.take_over(attempt) is wins
        await asyncio.sleep(0.02)
        return outcomes.Outcome.ANSWERED

    race.start(attempts[0], run(attempts[0], not second_wins))
    attempts[0].is_silent = True
    assert race.waits_for_none
    race.start(attempts[1], run(attempts[1], second_wins))
    assert not race.waits_for_none
    ended = [*await race.wait(1.0), *await race.wait(1.0)]
    assert not race.attempts
    return [(item.attempt.number, item.end) for item in ended]


async def test_first_attempt_that_brings_a_part_ends_the_other():
    superseded = attempt_ends.superseded()
    assert await run_two(second_wins=True) == [(1, superseded), (2, None)]
    assert await run_two(second_wins=False) == [(2, superseded), (1, None)]


async def test_attempt_that_was_overtaken_cannot_take_over_in_the_same_turn():
    race = attempt_race.AttemptRace()
    one, other = new_attempt(1), new_attempt(2)
    for attempt in (one, other):
        race.start(attempt, asyncio.sleep(10.0, outcomes.Outcome.ANSWERED))
    assert race.take_over(other)
    assert not race.take_over(one)
    await race.close()


async def test_interrupted_attempt_stays_open_because_it_may_have_run():
    race = attempt_race.AttemptRace()
    attempt = new_attempt(1)
    race.start(attempt, asyncio.sleep(10.0, outcomes.Outcome.ANSWERED))
    assert await race.close() == []
    assert race.attempts == (attempt,)
