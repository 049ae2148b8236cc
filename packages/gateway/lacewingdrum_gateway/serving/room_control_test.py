"""Tests of the requests that wait for room, on virtual time."""

import asyncio
import logging
import random

from lacewingdrum_coordination import customer_shares, service_room, short_room
from lacewingdrum_gateway.peers import peer_table
from lacewingdrum_gateway.serving import plans, room_control
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import ids
from standins import replay_room_kinds
from tests import virtual_time

SHORT = service_room.Room(0, 0, 5.0, True, 0.9, False, False, 9e3, 24)


def make_control(loop, body_bytes_max=1_000):
    counts = metrics.Metrics()
    log = decision_log.DecisionLog(logging.getLogger("room"), loop.time)
    peers = peer_table.PeerTable(ids.VmId("10.0.0.1:7"), ids.DataCentre("north"))
    control = room_control.RoomControl(
        customer_shares.CustomerShares(),
        peers,
        body_bytes_max,
        loop.time,
        random.Random(1),
        log,
        counts,
    )
    return control, log, counts


def make_request(loop, kind=replay_room_kinds.KINDS[2]):
    return replay_room_kinds.make_request(kind, "alice", loop.time(), 12.0)


def make_plan(room=SHORT):
    entry = replay_room_kinds.make_entry(1)
    return plans.Plan(
        entry,
        (),
        ("work",),
        helper_memory_tokens=0,
        priority=6,
        first_event_ms=500.0,
        cost=0.1,
        candidate_count=24,
        prefill_ms=900.0,
        room=room,
    )


def test_put_off_is_logged_and_ends_at_its_bound_with_a_refusal_or_a_start():
    async def main(loop):
        control, log, counts = make_control(loop)
        request, plan = make_request(loop), make_plan()
        started_s = loop.time()
        while isinstance(decision := control.decide(request, plan), short_room.PutOff):
            await control.wait(request, plan, decision)
        spare_s = (request.kind.objective_ms - 500.0) / 1_000
        bound_s = short_room.PUT_OFF_RATIO * spare_s
        assert bound_s - 0.02 <= loop.time() - started_s <= bound_s + 0.02
        assert decision == short_room.Proceed(uses_least_share=True)
        (line,) = log.lines(request.request_id)
        assert line["event"] == "put_off" and line["rank"] == 2
        assert 'put_off_requests_total{route="190k"} 1' in counts.text()

    virtual_time.run(main)


def test_request_goes_on_soon_after_room_is_there():
    async def main(loop):
        control, _, _ = make_control(loop)
        request = make_request(loop)
        put_off = control.decide(request, make_plan())
        await control.wait(request, make_plan(), put_off)
        assert loop.time() - request.routed.received_s < 0.05
        assert control.decide(request, make_plan(None)) == short_room.Proceed()

    virtual_time.run(main)


def test_cancelled_wait_leaves_nothing_and_bodies_are_bounded():
    async def main(loop):
        control, _, counts = make_control(loop, body_bytes_max=250)
        waits, items = [], [make_request(loop) for _ in range(3)]
        for request in items:
            put_off = short_room.PutOff(loop.time() + 9, short_room.Reason.OVER_SHARE)
            wait = control.wait(request, make_plan(), put_off)
            waits.append(asyncio.ensure_future(wait))
        await asyncio.sleep(0)
        # The third has no place and may wait no longer.
        await waits[2]
        assert items[2].put_off_until_s == loop.time()
        refused = control.decide(items[2], make_plan())
        assert not isinstance(refused, short_room.PutOff)
        for wait in waits[:2]:
            wait.cancel()
        await asyncio.wait(waits)
        assert "waiting_requests 0" in counts.text()

    virtual_time.run(main)
