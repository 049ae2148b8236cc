"""Tests that unowned memory is cancelled and owned memory is not."""

import random

from hypothesis import given, settings, strategies

from lacewingdrum_coordination import reclaiming
from lacewingdrum_state import fleet

STEP_S = 0.25


def load(as_of_s, attempts):
    held = tuple(fleet.HeldMemory(attempt, 10) for attempt in attempts)
    return fleet.RunnerLoad("r", as_of_s, 0, 0, 0, 0, 0, 100, 1.0, 1.0, held)


class World:
    """An engine and three daemons, with delays, losses and daemon ends."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.held = set()
        self.owned = {"a": set(), "b": set(), "home": set()}
        self.reports_in_transit = []
        self.loads = []
        self.coordinator = reclaiming.MemoryReclaimer()
        self.cancelled_at = {}

    def step(self, cancel_loss):
        self.now_s += STEP_S
        now_s = self.now_s
        self.coordinator.set_coordinated_runners(["r"], now_s)
        self.loads.append((now_s, frozenset(self.held)))
        for vm_id, attempts in self.owned.items():
            if self.rng.random() < 0.25:
                delay_s = 0.0 if vm_id == "home" else self.rng.uniform(0, 2)
                due_s = now_s + delay_s
                self.reports_in_transit.append((due_s, vm_id, frozenset(attempts)))
        self._deliver()
        if self.rng.random() < 0.25:
            as_of_s, attempts = self.loads[-min(len(self.loads), 6)]
            self.coordinator.on_runner_load(load(as_of_s, attempts), now_s)
        for cancel in self.coordinator.due_cancels(self.owned, now_s):
            owners = [
                o for o, found in self.owned.items() if cancel.attempt_id in found
            ]
            assert not owners, "an attempt in flight was cancelled"
            if self.rng.random() >= cancel_loss:
                self.held.discard(cancel.attempt_id)
                if self.rng.random() >= cancel_loss:
                    self.coordinator.on_cancel_confirmed(cancel, now_s)

    def _deliver(self):
        last_s = {}
        later = []
        for due_s, vm_id, attempts in self.reports_in_transit:
            # The reports of one sender arrive in the order of sending.
            due_s = max(due_s, last_s.get(vm_id, 0.0))
            last_s[vm_id] = due_s
            if due_s > self.now_s:
                later.append((due_s, vm_id, attempts))
            elif vm_id in self.owned:
                pairs = [("r", attempt) for attempt in attempts]
                self.coordinator.on_daemon_report(vm_id, pairs, self.now_s)
        self.reports_in_transit = later


events = strategies.lists(
    strategies.sampled_from(["send", "end", "leak", "kill", "move", "late", "wait"]),
    max_size=40,
)


@settings(derandomize=True, deadline=None, database=None, max_examples=150)
@given(strategies.integers(0, 10_000), events, strategies.sampled_from([0.0, 0.7]))
def test_unowned_memory_is_reclaimed_and_nothing_in_flight_is_cancelled(
    seed, happened, loss
):
    world = World(seed)
    for number, event in enumerate(happened):
        attempt = f"attempt-{number}"
        sender = world.rng.choice(sorted(world.owned))
        match event:
            case "send":
                world.owned[sender].add(attempt)
                world.held.add(attempt)
            case "end" if world.owned[sender]:
                ended = min(world.owned[sender])
                world.owned[sender].discard(ended)
                world.held.discard(ended)
            case "leak" if world.owned[sender]:
                # A cancel or the reply to an import was lost.
                world.owned[sender].discard(min(world.owned[sender]))
            case "kill" if sender != "home":
                del world.owned[sender]
            case "move":
                world.coordinator = reclaiming.MemoryReclaimer()
            case "late":
                world.held.add(attempt)
        for _ in range(world.rng.randrange(6)):
            world.step(loss)
    for _ in range(600):
        world.step(loss)
    assert world.held == set().union(*world.owned.values())


def test_nothing_is_cancelled_before_every_live_daemon_has_reported():
    coordinator = reclaiming.MemoryReclaimer()
    coordinator.set_coordinated_runners(["r"], 0.0)
    coordinator.on_daemon_report("a", [], 10.0)
    coordinator.on_daemon_report("b", [], 10.0)
    coordinator.on_runner_load(load(10.0, ["x"]), 10.0)
    coordinator.on_daemon_report("a", [], 60.0)
    assert coordinator.due_cancels(["a", "b"], 60.0) == ()
    coordinator.on_daemon_report("b", [], 60.0)
    assert coordinator.due_cancels(["a", "b"], 60.0) == (reclaiming.Cancel("r", "x"),)


def test_load_report_older_than_the_confirmed_cancel_is_ignored():
    coordinator = reclaiming.MemoryReclaimer()
    coordinator.set_coordinated_runners(["r"], 0.0)
    coordinator.on_runner_load(load(10.0, ["x"]), 10.0)
    coordinator.on_daemon_report("a", [], 20.0)
    (cancel,) = coordinator.due_cancels(["a"], 20.0)
    assert coordinator.due_cancels(["a"], 20.5) == ()
    assert coordinator.due_cancels(["a"], 21.0) == (cancel,)
    coordinator.on_cancel_confirmed(cancel, 21.0)
    coordinator.on_runner_load(load(20.5, ["x"]), 21.5)
    coordinator.on_daemon_report("a", [], 40.0)
    assert coordinator.due_cancels(["a"], 40.0) == ()
    coordinator.on_runner_load(load(40.0, ["x"]), 40.0)
    coordinator.on_daemon_report("a", [], 50.0)
    assert coordinator.due_cancels(["a"], 50.0) == (cancel,)
