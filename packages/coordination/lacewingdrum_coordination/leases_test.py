"""Tests leases and placement under generated sequences of events.

Daemons with different clocks contend for one lease. Calls to the table take
time, the request or the reply can be lost, and a write can be applied late.
A placement order can reach its runner at any time after it was checked and
sent, for example because its sender paused.
"""

import dataclasses

import hypothesis
from hypothesis import stateful, strategies

from lacewingdrum_coordination import leases, placement
from lacewingdrum_state import ids

DAEMON_COUNT = 3
DAEMONS = strategies.integers(0, DAEMON_COUNT - 1)
SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=150,
    stateful_step_count=60,
)


@dataclasses.dataclass
class Daemon:
    """A daemon that contends for the lease; its clock has an offset."""

    name: str
    offset_s: float
    lease: leases.Lease
    call: leases.Action | None = None
    reply: leases.Event | None = None


@dataclasses.dataclass
class Runner:
    """A runner that may or may not check fencing numbers."""

    checks_fencing: bool
    in_force: placement.PlacementOrder = placement.PlacementOrder(0, "")

    def order(self, order):
        if self.checks_fencing and order.fencing_number < self.in_force.fencing_number:
            return
        self.in_force = order


class World:
    """One lease row, two runners and three daemons."""

    def __init__(self):
        self.now_s = 0.0
        self.row_version = 0
        self.row = None
        self.late_writes = []
        self.in_transit = []
        self.runners = [Runner(True), Runner(False)]
        self.daemons = []
        for number in range(DAEMON_COUNT):
            name = ids.VmId(f"vm{number}")
            self.daemons.append(Daemon(name, 1000.0 * number, leases.Lease(name)))

    def clock(self, daemon):
        return self.now_s + daemon.offset_s

    def apply_event(self, daemon, event):
        daemon.lease, daemon.call = leases.step(daemon.lease, event, self.clock(daemon))

    def apply_write(self, write):
        if self.row_version != write.if_version:
            return False
        self.row_version += 1
        self.row = write.row
        return True

    def reach_table(self, daemon, outcome):
        call, daemon.call = daemon.call, None
        daemon.reply = leases.CallFailed()
        if isinstance(call, leases.ReadRow):
            if outcome == "good":
                daemon.reply = leases.RowRead(self.row_version, self.row)
            return
        if outcome == "late":
            self.late_writes.append(call)
        if outcome in ("good", "reply_lost"):
            applied = self.apply_write(call)
            if outcome == "good":
                daemon.reply = leases.WriteReply(applied, self.row_version, self.row)

    def deliver_reply(self, daemon):
        reply, daemon.reply = daemon.reply, None
        self.apply_event(daemon, reply)

    def holders(self):
        return [d for d in self.daemons if leases.is_valid(d.lease, self.clock(d))]

    def order(self, daemon, runner):
        """Return the placement order that the daemon would send, if any."""
        if not leases.is_valid(daemon.lease, self.clock(daemon)):
            return None
        number = daemon.lease.own_fencing_number
        decision = placement.decide(
            daemon.name, number, runner.checks_fencing, runner.in_force
        )
        return (
            placement.PlacementOrder(number, daemon.name)
            if decision.must_send_order
            else None
        )


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Generates sequences of calls, losses, pauses and late arrivals."""

    def __init__(self):
        super().__init__()
        self.world = World()

    @stateful.rule(number=DAEMONS, wanted=strategies.integers(0, 5))
    def tick(self, number, wanted):
        daemon = self.world.daemons[number]
        if daemon.call is None and daemon.reply is None:
            self.world.apply_event(daemon, leases.Tick(bool(wanted)))

    @stateful.rule(
        number=DAEMONS,
        outcome=strategies.sampled_from(
            ["good", "good", "reply_lost", "dropped", "late"]
        ),
    )
    def reach_table(self, number, outcome):
        daemon = self.world.daemons[number]
        if daemon.call is not None:
            self.world.reach_table(daemon, outcome)

    @stateful.rule(number=DAEMONS)
    def deliver_reply(self, number):
        daemon = self.world.daemons[number]
        if daemon.reply is not None:
            self.world.deliver_reply(daemon)

    @stateful.rule(number=DAEMONS)
    def complete_tick(self, number):
        self.tick(number, 1)
        self.reach_table(number, "good")
        self.deliver_reply(number)
        self.reach_table(number, "good")
        self.deliver_reply(number)

    @stateful.rule(
        seconds=strategies.sampled_from([0.5, 2.0, 4.0, leases.TERM_S, 30.0])
    )
    def advance_time(self, seconds):
        self.world.now_s += seconds

    @stateful.precondition(lambda self: self.world.late_writes)
    @stateful.rule(pick=strategies.integers(0, 7))
    def apply_late_write(self, pick):
        late_writes = self.world.late_writes
        self.world.apply_write(late_writes.pop(pick % len(late_writes)))

    @stateful.rule(number=DAEMONS)
    def order(self, number):
        world = self.world
        for runner in world.runners:
            order = world.order(world.daemons[number], runner)
            if order is not None:
                world.in_transit.append((runner, order))

    @stateful.precondition(lambda self: self.world.in_transit)
    @stateful.rule(pick=strategies.integers(0, 7))
    def deliver_order(self, pick):
        in_transit = self.world.in_transit
        runner, order = in_transit.pop(pick % len(in_transit))
        before = runner.in_force.fencing_number
        runner.order(order)
        assert not runner.checks_fencing or runner.in_force.fencing_number >= before

    @stateful.invariant()
    def one_holder(self):
        assert len(self.world.holders()) <= 1

    def teardown(self):
        """End all faults and check that the holder's placement is in force."""
        world = self.world
        while world.late_writes:
            self.apply_late_write(0)
        for number in range(DAEMON_COUNT):
            self.reach_table(number, "good")
            self.deliver_reply(number)
        last = world.daemons[0]
        for _ in range(30):
            world.now_s += 1.0
            self.complete_tick(0)
            self.one_holder()
            while world.in_transit:
                self.deliver_order(0)
            self.order(0)
        while world.in_transit:
            self.deliver_order(0)
        assert world.holders() == [last]
        for runner in world.runners:
            assert runner.in_force.model == last.name


def test_any_event_order_has_one_holder_and_ends_in_its_placement():
    stateful.run_state_machine_as_test(LeaseMachine, settings=SETTINGS)


def _machine_with_first_daemon_as_holder():
    machine = LeaseMachine()
    machine.complete_tick(0)
    assert machine.world.holders() == [machine.world.daemons[0]]
    return machine


def test_a_successor_waits_for_the_whole_term_on_its_own_clock():
    machine = _machine_with_first_daemon_as_holder()
    world = machine.world
    machine.complete_tick(1)
    machine.advance_time(leases.TERM_S - leases.EXPIRY_MARGIN_S)
    assert world.holders() == []
    machine.complete_tick(1)
    assert world.holders() == []
    machine.advance_time(leases.EXPIRY_MARGIN_S)
    machine.complete_tick(1)
    assert world.holders() == [world.daemons[1]]
    assert world.daemons[1].lease.own_fencing_number == 2


def test_renewal_whose_reply_was_lost_does_not_extend_the_term():
    machine = _machine_with_first_daemon_as_holder()
    world = machine.world
    machine.advance_time(leases.RENEWAL_INTERVAL_S)
    machine.tick(0, 1)
    machine.reach_table(0, "reply_lost")
    machine.deliver_reply(0)
    machine.complete_tick(1)
    machine.advance_time(leases.TERM_S - 1.0)
    machine.tick(0, 1)
    machine.reach_table(0, "good")
    machine.deliver_reply(0)
    assert world.holders() == []
    machine.advance_time(1.0)
    machine.complete_tick(1)
    assert world.holders() == [world.daemons[1]]


def test_lease_expires_in_a_table_outage_and_the_same_holder_resumes():
    machine = _machine_with_first_daemon_as_holder()
    world = machine.world
    for _ in range(20):
        machine.advance_time(0.5)
        machine.tick(0, 1)
        machine.reach_table(0, "dropped")
        machine.deliver_reply(0)
    assert world.holders() == []
    machine.complete_tick(0)
    assert world.holders() == [world.daemons[0]]
    assert world.daemons[0].lease.own_fencing_number == 1


def test_order_of_a_former_holder_is_refused_or_repaired():
    machine = _machine_with_first_daemon_as_holder()
    world = machine.world
    machine.order(0)
    stale = list(world.in_transit)
    world.in_transit.clear()
    machine.complete_tick(1)
    machine.advance_time(30.0)
    machine.complete_tick(1)
    assert not leases.is_valid(world.daemons[0].lease, world.clock(world.daemons[0]))
    machine.order(1)
    while world.in_transit:
        machine.deliver_order(0)
    world.in_transit.extend(stale)
    while world.in_transit:
        machine.deliver_order(0)
    checking, ignoring = world.runners
    assert checking.in_force.model == "vm1"
    assert ignoring.in_force.model == "vm0"
    machine.order(1)
    machine.deliver_order(0)
    assert ignoring.in_force.model == "vm1"
