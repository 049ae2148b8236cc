"""Tests of the membership sync with a scripted membership list."""

import asyncio
import unittest

from result import Err, Ok

from lacewingdrum_daemon import membership_sync
from lacewingdrum_protocol import peer_messages
from lacewingdrum_runtime import tasks
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


def make_sync(members, poll_s=0.001):
    return membership_sync.MembershipSync(members, poll_s, lambda: 1.0)


async def test_last_list_stays_in_use_during_an_outage():
    members = List()
    sync = make_sync(members)
    await sync.poll_once()
    members.answer = Err(UNAVAILABLE)
    await sync.poll_once()
    assert sync.view.usable_runners(LLM) == (RUNNER,)


async def test_polling_survives_errors():
    members = List()
    members.answer = ValueError("not foreseen")
    sync = make_sync(members)
    sync.start()
    try:
        with unittest.TestCase().assertLogs(tasks.__name__):
            async with asyncio.timeout(10.0):
                while members.read_count < 3:
                    await asyncio.sleep(0)
                members.answer = Ok(fleet.Members((), (RUNNER,)))
                await sync.wait_for_first_list()
    finally:
        await sync.close()
    assert sync.view.runners == (RUNNER,)


async def test_hanging_read_does_not_block_later_reads():
    released = asyncio.Event()
    members = List()

    async def read_first():
        members.read = lambda: List.read(members)
        await released.wait()
        return Ok(fleet.Members())

    members.read = read_first
    sync = make_sync(members)
    first = asyncio.create_task(sync.poll_once())
    await asyncio.sleep(0)
    await sync.poll_once()
    assert sync.view.runners == (RUNNER,)
    released.set()
    await first
    assert sync.view.runners == (RUNNER,), "the older answer was applied"


async def test_runner_is_marked_leaving_by_a_refusal_or_a_heartbeat():
    for mark in (mark_by_refusal, mark_by_heartbeat):
        sync = make_sync(List())
        await sync.poll_once()
        mark(sync)
        assert sync.view.usable_runners(LLM) == ()
        assert sync.gone_runners() == (("runner-1", 3),)


def mark_by_refusal(sync):
    sync.mark_runner_leaving(RUNNER.runner_id, RUNNER.incarnation)


def mark_by_heartbeat(sync):
    heartbeat = peer_messages.Heartbeat(
        1, "almaty-north", False, (), (("runner-1", 3),)
    )
    sync.on_heartbeat(ids.VmId("vm-2"), heartbeat)
