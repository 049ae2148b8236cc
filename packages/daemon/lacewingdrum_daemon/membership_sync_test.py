"""The members keeper against a list that follows a script."""

import asyncio
import unittest

from result import Err, Ok

from lacewingdrum_daemon import membership_sync, tasks
from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import members_client

LLM = ids.ServiceName("sommelier-llm")
RUNNER = fleet.Runner(
    ids.RunnerId("runner-1"),
    LLM,
    ids.DataCentre("almaty-north"),
    fleet.Address("10.0.0.9", 80),
    ids.Incarnation(3),
)
UNAVAILABLE = members_client.MembersError(
    members_client.MembersErrorReason.UNAVAILABLE, "down"
)


class List:
    def __init__(self):
        self.answer = Ok(fleet.Members((), (RUNNER,)))
        self.read_count = 0

    async def read(self):
        self.read_count += 1
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


def keeper_of(members, poll_s=0.001):
    return membership_sync.MembershipSync(members, poll_s, lambda: 1.0)


async def test_last_list_stays_in_use_during_an_outage():
    members = List()
    keeper = keeper_of(members)
    await keeper.poll_once()
    members.answer = Err(UNAVAILABLE)
    await keeper.poll_once()
    assert keeper.view.usable_runners(LLM) == (RUNNER,)


async def test_polling_survives_errors():
    members = List()
    members.answer = ValueError("not foreseen")
    keeper = keeper_of(members)
    keeper.start()
    try:
        with unittest.TestCase().assertLogs(tasks.__name__):
            async with asyncio.timeout(10.0):
                while members.read_count < 3:
                    await asyncio.sleep(0)
                members.answer = Ok(fleet.Members((), (RUNNER,)))
                await keeper.wait_first()
    finally:
        await keeper.close()
    assert keeper.view.runners == (RUNNER,)


async def test_read_that_hangs_holds_no_other_up():
    late = asyncio.Event()
    members = List()

    async def read_first():
        members.read = lambda: List.read(members)
        await late.wait()
        return Ok(fleet.Members())

    members.read = read_first
    keeper = keeper_of(members)
    first = asyncio.create_task(keeper.poll_once())
    await asyncio.sleep(0)
    await keeper.poll_once()
    assert keeper.view.runners == (RUNNER,)
    late.set()
    await first
    assert keeper.view.runners == (RUNNER,), "the older answer came later"


async def test_refusal_and_a_peers_word_mark_alike():
    for mark in (by_refusal, by_heartbeat):
        keeper = keeper_of(List())
        await keeper.poll_once()
        mark(keeper)
        assert keeper.view.usable_runners(LLM) == ()
        assert keeper.gone_runners() == (("runner-1", 3),)


def by_refusal(keeper):
    keeper.mark_runner_leaving(RUNNER.runner_id, RUNNER.incarnation)


def by_heartbeat(keeper):
    heartbeat = peer_messages.Heartbeat(
        1, "almaty-north", False, (), (("runner-1", 3),)
    )
    keeper.heard(ids.VmId("vm-2"), heartbeat)
