"""Tests of load polling and memory reclaiming with in-process engines."""

import asyncio
import random

from hypothesis import given, settings, strategies
from result import Err, Ok

from lacewingdrum_coordination import membership
from lacewingdrum_daemon import load_monitor
from lacewingdrum_protocol import peer_messages, runner_api
from lacewingdrum_state import fleet, requests
from lacewingdrum_transport import runner_client
from standins import runner_model

VM_IDS = ("vm-1", "vm-2", "vm-3")
LOST = runner_client.RunnerError(runner_client.RunnerErrorReason.LOST)


class Site:
    """The load monitors of three daemons and two engines in virtual time."""

    def __init__(self, cancel_loss=0.0, seed=1):
        self.now_s = 1000.0
        self.rng = random.Random(seed)
        self.cancel_loss = cancel_loss
        address = fleet.Address("127.0.0.1", 1)
        vms = tuple(fleet.Vm(name, "dc", address, address, 1) for name in VM_IDS)
        names = ("r1", "r2")
        runners = tuple(fleet.Runner(n, "s", "dc", address, 1) for n in names)
        members = fleet.Members(vms, runners)
        self.view = membership.merge(membership.View(), members, self.now_s)
        self.engines = {
            name: runner_model.RunnerModel(runner_model.RunnerConfig(name), self.now_s)
            for name in names
        }
        self.in_flight = {name: {} for name in VM_IDS}
        self.loads = {name: {} for name in VM_IDS}
        self.dead = set()
        self.handlers = {}
        self.monitors = {name: self._make_monitor(name) for name in VM_IDS}

    def _make_monitor(self, name):
        return load_monitor.LoadMonitor(
            Engines(self),
            PeerLink(self, name),
            self,
            (name, "dc"),
            lambda: tuple(self.in_flight[name].values()),
            lambda load: self.loads[name].__setitem__(load.runner_id, load),
            lambda: self.now_s,
        )

    def send_job(self, vm_id, runner_id, attempt_id, max_tokens=20_000):
        job = runner_model.Job(attempt_id, 50_000, max_tokens)
        assert self.engines[runner_id].submit(job, self.now_s).is_ok()
        self.own(vm_id, runner_id, attempt_id)

    def own(self, vm_id, runner_id, attempt_id):
        attempt = requests.InFlightAttempt(attempt_id, runner_id, 1, 1, self.now_s)
        self.in_flight[vm_id][attempt_id, runner_id] = attempt

    async def rounds(self, count):
        for _ in range(count):
            self.now_s += 1.0
            for name in VM_IDS:
                if name not in self.dead:
                    heartbeat = (name, 1, False)
                    self.view = with_heartbeat(self.view, *heartbeat, self.now_s)
            for engine in self.engines.values():
                engine.advance(self.now_s)
            for name, monitor in self.monitors.items():
                if name not in self.dead:
                    await monitor.run_round()

    def held(self):
        return {a for engine in self.engines.values() for a in engine.held}


def with_heartbeat(view, vm_id, incarnation, leaving, now_s):
    heartbeat = peer_messages.Heartbeat(incarnation, "dc", leaving, ())
    return membership.heartbeat_received(
        view, vm_id, heartbeat.incarnation, heartbeat.leaving, now_s
    )


class PeerLink:
    def __init__(self, site, own):
        self.site, self.own = site, own

    def on_message(self, body_type, handler):
        self.site.handlers[self.own, body_type] = handler

    def send(self, vm_id, body):
        if vm_id not in self.site.dead:
            self.site.handlers[vm_id, type(body)](self.own, body)
        return True


class Engines:
    def __init__(self, site):
        self.site = site

    async def load(self, runner, timeout_s):
        now_s = self.site.now_s
        answer = self.site.engines[runner.runner_id].load(now_s)
        held = tuple(fleet.HeldMemory(e.attempt_id, e.tokens) for e in answer.held)
        return Ok(
            fleet.RunnerLoad(
                runner.runner_id, now_s - answer.age_ms / 1000, 0, 0, 0,
                answer.running_count, 0, 0, 1.0, 1.0, held,
            )
        )  # fmt: skip

    async def cancel(self, runner, attempt_id, timeout_s):
        owners = [n for n, f in self.site.in_flight.items() if n not in self.site.dead
                  and (attempt_id, runner.runner_id) in f]  # fmt: skip
        assert not owners, "cancelled in flight"
        if self.site.rng.random() < self.site.cancel_loss:
            return Err(LOST)
        engine = self.site.engines[runner.runner_id]
        state = engine.cancel(attempt_id, self.site.now_s)
        if self.site.rng.random() < self.site.cancel_loss:
            return Err(LOST)
        return Ok(runner_api.CancelAnswer(attempt_id, state))


async def test_memory_of_a_killed_daemon_is_reclaimed():
    site = Site()
    site.send_job("vm-1", "r1", "a.1")
    site.send_job("vm-2", "r1", "b.1")
    assert site.engines["r2"].import_kv("a.1", 30_000, site.now_s).is_ok()
    site.own("vm-1", "r2", "a.1")
    await site.rounds(30)
    assert site.held() == {"a.1", "b.1"}
    site.dead.add("vm-1")
    await site.rounds(30)
    assert site.held() == {"b.1"}


async def test_import_whose_reply_was_lost_is_reclaimed():
    site = Site(cancel_loss=0.5)
    site.engines["r2"].import_kv("a.1", 30_000, site.now_s)
    await site.rounds(40)
    assert site.held() == set()


async def test_every_daemon_receives_the_loads_from_the_coordinators():
    site = Site()
    site.send_job("vm-1", "r1", "a.1")
    await site.rounds(3)
    for loads in site.loads.values():
        assert loads["r1"].running_count == 1
        assert loads.keys() == {"r1", "r2"}


# "late" is an import that no daemon owns. "lose" removes an attempt from its
# daemon's attempts in flight, without a cancel.
events = strategies.lists(
    strategies.sampled_from(["job", "import", "lose", "kill", "late", "wait"]),
    max_size=20,
)


@settings(derandomize=True, deadline=None, database=None, max_examples=40)
@given(events, strategies.integers(0, 1000))
def test_only_owned_memory_stays_held_after_any_faults(events_drawn, seed):
    asyncio.run(check_reclaiming_after(events_drawn, seed))


async def check_reclaiming_after(events_drawn, seed):
    site = Site(cancel_loss=0.5, seed=seed)
    await site.rounds(12)
    for number, event in enumerate(events_drawn):
        vm_id = site.rng.choice([n for n in VM_IDS if n not in site.dead])
        runner_id = site.rng.choice(["r1", "r2"])
        match event:
            case "job":
                site.send_job(vm_id, runner_id, f"job-{number}")
            case "import" | "late":
                engine = site.engines[runner_id]
                engine.import_kv(f"kv-{number}", 9_000, site.now_s)
                if event == "import":
                    site.own(vm_id, runner_id, f"kv-{number}")
            case "lose" if site.in_flight[vm_id]:
                site.in_flight[vm_id].popitem()
            case "kill" if len(site.dead) < 2:
                site.dead.add(vm_id)
        await site.rounds(site.rng.randrange(4))
    await site.rounds(60)
    owned = set()
    for name in set(VM_IDS) - site.dead:
        owned |= {attempt_id for attempt_id, _ in site.in_flight[name]}
    assert site.held() <= owned
