"""Plays too much load on engines: who is served without room for all.

Three kinds of prompts of different rank, 24 engines and several gateways run
without a network, with the gateways' own decisions. The engines follow the
performance model: prompts are prefilled in order, a slot is held to the last
event, and the pace of decoding falls with the prompts prefilled beside it.
"""

import asyncio
import collections
import dataclasses
import logging
import random
from typing import Any, cast

from lacewingdrum_coordination import (
    cold_limits,
    customer_shares,
    engine_work_registry,
    evacuation_register,
    runner_health,
    runner_limits,
    runner_roster,
    sharing_daemons,
    short_room,
)
from lacewingdrum_gateway.peers import peer_table
from lacewingdrum_gateway.runners import runner_candidates
from lacewingdrum_gateway.serving import plans, room_control, routing
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import (
    ids,
    runner_entries,
    store_versions,
)
from standins import replay_room_kinds as kinds
from tests import virtual_time

ENGINES = 24
GATEWAYS = 6
SPAN_S = 24.0
RETRY_TIME_RATIO = 1 / 3
LARGE = "large"


@dataclasses.dataclass(slots=True)
class Result:
    """What became of the requests, by kind and for the large customer."""

    asked: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    in_time: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    late: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    put_off_s: float = 0.0

    def share(self, key: str) -> float:
        """Return the share of requests that were served in time."""
        return self.in_time[key] / max(self.asked[key], 1)

    def served(self, key: str) -> float:
        """Return the share of requests that were served, also late."""
        return (self.in_time[key] + self.late[key]) / max(self.asked[key], 1)


class _Speeds:
    """Speeds of engines that all run as stated."""

    def slowdown(self, runner_id: ids.RunnerId) -> float:
        """Return that the engine runs at its stated speed."""
        return 1.0


@dataclasses.dataclass(slots=True)
class _Gateway:
    planner: routing.Planner
    room: room_control.RoomControl
    work: engine_work_registry.EngineWorkRegistry
    shares: customer_shares.CustomerShares


class Play:
    """One play; with ``has_control`` unset each request goes on at once.

    ``is_cut`` sets apart gateways that hear no other.
    """

    def __init__(
        self,
        load: float,
        has_control: bool,
        seed: int = 1,
        is_cut: bool = False,
        large_ratio: float = 0.0,
        down: tuple[float, float] = (0.0, 0.0),
        span_s: float = SPAN_S,
    ) -> None:
        self._load, self._has_control, self._is_cut = load, has_control, is_cut
        self._seed, self._rng = seed, random.Random(seed)
        self._large_ratio, self._down = large_ratio, down
        self._span_s = span_s
        self.result = Result()
        self._entries = [kinds.make_entry(number) for number in range(ENGINES)]

    async def run(self, loop: asyncio.AbstractEventLoop) -> Result:
        """Play the load; the loop's clock is that of all parts."""
        self._loop, self._start_s = loop, loop.time()
        self._engines = {item.runner_id: kinds.Engine() for item in self._entries}
        self._gateways = [self._gateway(number) for number in range(GATEWAYS)]
        async with asyncio.TaskGroup() as tasks:
            for kind in kinds.KINDS:
                tasks.create_task(self._arrive(kind, tasks))
        return self.result

    def _gateway(self, number: int) -> _Gateway:
        data_centre = ids.DataCentre("north")
        peers = peer_table.PeerTable(ids.VmId(f"10.0.0.{number}:7"), data_centre)
        for other in range(0 if self._is_cut else GATEWAYS):
            peers.add_seed(ids.VmId(f"10.0.0.{other}:7"), 0.0)
        roster = runner_roster.RunnerRoster()
        version = store_versions.StoreVersion(1, 1)
        entries = tuple(self._entries)
        roster.apply(runner_entries.RunnerList(version, entries), 0.0)
        clock, rng, counts = self._loop.time, self._rng, metrics.Metrics()
        decisions = decision_log.DecisionLog(logging.getLogger("play"), clock)
        candidates = runner_candidates.RunnerCandidates(
            roster,
            runner_health.RunnerHealth(),
            runner_limits.RunnerLimits(),
            cold_limits.ColdLimits(
                sharing_daemons.SharingDaemons(peers.own_address, data_centre, 0.0),
                cold_limits.Overage(1.0, 0.0),
            ),
            peers,
            data_centre,
            clock,
            evacuation_register.EvacuationRegister(),
        )
        work = engine_work_registry.EngineWorkRegistry()
        planner = routing.Planner(
            candidates, work, cast(Any, _Speeds()), clock, rng, peers, True
        )
        shares = customer_shares.CustomerShares()
        room = room_control.RoomControl(
            shares, peers, 10**8, clock, rng, decisions, counts
        )
        return _Gateway(planner, room, work, shares)

    async def _arrive(self, kind: kinds.Kind, tasks: asyncio.TaskGroup) -> None:
        per_s = kind.per_s * self._load
        rng = random.Random(f"{self._seed} {kind.name}")
        while (at_s := self._loop.time() - self._start_s) < self._span_s:
            large = self._large_ratio if at_s > self._span_s / 3 else 0.0
            await asyncio.sleep(rng.expovariate(per_s * (1 + large)))
            customer = f"small{rng.randrange(23)}"
            if rng.random() * (1 + large) < large:
                customer = LARGE
            tasks.create_task(self._call(kind, customer))

    async def _call(self, kind: kinds.Kind, customer: str) -> None:
        """Ask until served or out of time, as told to after a refusal."""
        first_s = self._loop.time()
        keys = (kind.name, LARGE if customer == LARGE else "small")
        self.result.asked.update(keys)
        for _ in range(2):
            left_s = first_s + kinds.DEADLINE_S - self._loop.time()
            request = kinds.make_request(kind, customer, self._loop.time(), left_s)
            retry_s = await self._serve(request, keys, first_s)
            if retry_s is None:
                return
            left_s = first_s + kinds.DEADLINE_S - self._loop.time()
            await asyncio.sleep(min(retry_s, max(left_s, 0.0) * RETRY_TIME_RATIO))

    async def _serve(
        self, request: Any, keys: tuple[str, str], first_s: float
    ) -> float | None:
        """Serve one request; return when it is to come back, if refused."""
        gateway = self._rng.choice(self._gateways)
        at_s = self._loop.time() - self._start_s
        if self._down[0] <= at_s < self._down[1]:
            return 0.5
        while True:
            plan = self._plan(gateway, request)
            if plan is None:
                return None
            if not self._has_control:
                if isinstance(plan, plans.TooCostly):
                    return 1.5 * (1 + self._rng.random())
                break
            decision = gateway.room.decide(request, plan)
            if isinstance(decision, room_control.Refusal):
                return decision.retry_s
            if isinstance(decision, short_room.Proceed):
                break
            await gateway.room.wait(request, plan, decision)
        self.result.put_off_s = max(self.result.put_off_s, request.put_off_s)
        if isinstance(plan, plans.TooCostly):
            plan = plan.plan
        await self._run(gateway, request, plan, keys, first_s)
        return None

    def _plan(
        self, gateway: _Gateway, request: Any
    ) -> plans.Plan | plans.TooCostly | None:
        over_share = gateway.room.over_share(request) if self._has_control else ""
        return gateway.planner.plan(request.routed, set(), over_share=over_share)

    async def _run(
        self,
        gateway: _Gateway,
        request: Any,
        plan: plans.Plan,
        keys: tuple[str, str],
        first_s: float,
    ) -> None:
        now_s = self._loop.time()
        kind, routed = request.kind, request.routed
        started = engine_work_registry.StartedWork(
            f"{request.number}:1",
            ids.VmId("vm"),
            plan.work,
            request.left_s(now_s) * 1_000,
            routed.rank,
            routed.customer_digest,
        )
        self._tell(gateway, started)
        read_s = max(
            self._engines[part.runner_id].prefill(part.read_ms, now_s)
            for part in plan.work
        )
        engine = self._engines[plan.entry.runner_id]
        try:
            async with asyncio.timeout(request.left_s(now_s)), engine.slots:
                engine.writers += 1
                try:
                    await self._answer(kind, engine, read_s, started, keys, first_s)
                finally:
                    engine.writers -= 1
        except TimeoutError:
            pass
        for other in self._gateways:
            other.work.end(started.work_id)

    async def _answer(
        self,
        kind: kinds.Kind,
        engine: kinds.Engine,
        read_s: float,
        started: engine_work_registry.StartedWork,
        keys: tuple[str, str],
        first_s: float,
    ) -> None:
        await asyncio.sleep(max(read_s - self._loop.time(), 0.0) + engine.pass_s())
        is_late = (self._loop.time() - first_s) * 1_000 > kind.objective_ms
        for gateway in self._gateways:
            gateway.work.record_first_event(started.work_id, self._loop.time())
        for _ in range(kind.events):
            read_ms = engine.read_ms
            event_s = engine.pass_s()
            await asyncio.sleep(event_s)
            # What was prefilled meanwhile holds the events up.
            held_s = (engine.read_ms - read_ms) / 1_000
            if held_s:
                await asyncio.sleep(held_s)
            is_late = is_late or (event_s + held_s) * 1_000 > kind.pause_ms
        (self.result.late if is_late else self.result.in_time).update(keys)

    def _tell(
        self, gateway: _Gateway, started: engine_work_registry.StartedWork
    ) -> None:
        """Record started work here, and at the others 10 ms later."""

        def apply(known: _Gateway) -> None:
            work_ms = sum(part.read_ms for part in started.parts)
            known.shares.record(started.customer, work_ms, self._loop.time())
            known.work.start(started, self._loop.time())

        apply(gateway)
        for other in self._gateways:
            if other is not gateway and not self._is_cut:
                self._loop.call_later(0.01, apply, other)


def play(load: float, has_control: bool, **changes: Any) -> Result:
    """Play a load once, on virtual time."""
    return virtual_time.run(Play(load, has_control, **changes).run)


def main() -> None:
    """Print who is served, without control and with it."""
    for load in (1.0, 1.5, 2.0, 3.0):
        for large_ratio in (0.0, 1.0):
            for has_control in (False, True):
                result = play(load, has_control, large_ratio=large_ratio)
                keys = [kind.name for kind in kinds.KINDS] + ["small", LARGE]
                shares = " ".join(
                    f"{key} {result.share(key):.2f}/{result.served(key):.2f}"
                    for key in keys
                )
                name = "with" if has_control else "without"
                print(f"{load} large {large_ratio} {name}: {shares}", flush=True)


if __name__ == "__main__":
    main()
