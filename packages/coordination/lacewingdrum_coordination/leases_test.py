"""Explores leases and placement over event orders.

Daemons on clocks of their own contend for one lease. Calls to the table take
time, get lost on either way or land late; an order that was checked and sent
can reach its runner at any later time, as after a pause.
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
    """A contender; its clock differs from the others' by an offset."""

    name: str
    offset_s: float
    lease: leases.Lease
    call: leases.Action | None = None
    reply: leases.Event | None = None


@dataclasses.dataclass
class Runner:
    """A runner, which checks fencing numbers or not."""

    checks: bool
    seen: placement.PlacementOrder = placement.PlacementOrder(0, "")

    def order(self, order):
        if self.checks and order.fencing_number < self.seen.fencing_number:
            return
        self.seen = order


class World:
    """One lease row, two runners and some daemons."""

    def __init__(self):
        self.now_s = 0.0
        self.row_version = 0
        self.row = None
        self.late = []
        self.transit = []
        self.runners = [Runner(True), Runner(False)]
        self.daemons = []
        for number in range(DAEMON_COUNT):
            name = ids.VmId(f"vm{number}")
            self.daemons.append(Daemon(name, 1000.0 * number, leases.Lease(name)))

    def clock(self, daemon):
        return self.now_s + daemon.offset_s

    def give(self, daemon, event):
        daemon.lease, daemon.call = leases.step(daemon.lease, event, self.clock(daemon))

    def apply(self, write):
        if self.row_version != write.if_version:
            return False
        self.row_version += 1
        self.row = write.row
        return True

    def reach_table(self, daemon, fate):
        call, daemon.call = daemon.call, None
        daemon.reply = leases.CallFailed()
        if isinstance(call, leases.ReadRow):
            if fate == "good":
                daemon.reply = leases.RowRead(self.row_version, self.row)
            return
        if fate == "late":
            self.late.append(call)
        if fate in ("good", "reply_lost"):
            applied = self.apply(call)
            if fate == "good":
                daemon.reply = leases.WriteReply(applied, self.row_version, self.row)

    def answer(self, daemon):
        reply, daemon.reply = daemon.reply, None
        self.give(daemon, reply)

    def holders(self):
        return [d for d in self.daemons if leases.is_valid(d.lease, self.clock(d))]

    def order(self, daemon, runner):
        """Decide and check, as right before a send; what would be sent."""
        if not leases.is_valid(daemon.lease, self.clock(daemon)):
            return None
        number = daemon.lease.own_fencing_number
        decision = placement.decide(daemon.name, number, runner.checks, runner.seen)
        return (
            placement.PlacementOrder(number, daemon.name)
            if decision.must_order
            else None
        )


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Any order of calls, losses, pauses and late arrivals."""

    def __init__(self):
        super().__init__()
        self.world = World()

    @stateful.rule(number=DAEMONS, wanted=strategies.integers(0, 5))
    def tick(self, number, wanted):
        daemon = self.world.daemons[number]
        if daemon.call is None and daemon.reply is None:
            self.world.give(daemon, leases.Tick(bool(wanted)))

    @stateful.rule(
        number=DAEMONS,
        fate=strategies.sampled_from(["good", "good", "reply_lost", "dropped", "late"]),
    )
    def reach_table(self, number, fate):
        daemon = self.world.daemons[number]
        if daemon.call is not None:
            self.world.reach_table(daemon, fate)

    @stateful.rule(number=DAEMONS)
    def answer(self, number):
        daemon = self.world.daemons[number]
        if daemon.reply is not None:
            self.world.answer(daemon)

    @stateful.rule(number=DAEMONS)
    def whole_tick(self, number):
        self.tick(number, 1)
        self.reach_table(number, "good")
        self.answer(number)
        self.reach_table(number, "good")
        self.answer(number)

    @stateful.rule(
        seconds=strategies.sampled_from([0.5, 2.0, 4.0, leases.TERM_S, 30.0])
    )
    def pass_time(self, seconds):
        self.world.now_s += seconds

    @stateful.precondition(lambda self: self.world.late)
    @stateful.rule(pick=strategies.integers(0, 7))
    def land_late(self, pick):
        late = self.world.late
        self.world.apply(late.pop(pick % len(late)))

    @stateful.rule(number=DAEMONS)
    def order(self, number):
        world = self.world
        for runner in world.runners:
            order = world.order(world.daemons[number], runner)
            if order is not None:
                world.transit.append((runner, order))

    @stateful.precondition(lambda self: self.world.transit)
    @stateful.rule(pick=strategies.integers(0, 7))
    def arrive(self, pick):
        transit = self.world.transit
        runner, order = transit.pop(pick % len(transit))
        before = runner.seen.fencing_number
        runner.order(order)
        assert not runner.checks or runner.seen.fencing_number >= before

    @stateful.invariant()
    def one_holder(self):
        assert len(self.world.holders()) <= 1

    def teardown(self):
        """With faults over, the last holder's orders stand."""
        world = self.world
        while world.late:
            self.land_late(0)
        for number in range(DAEMON_COUNT):
            self.reach_table(number, "good")
            self.answer(number)
        last = world.daemons[0]
        for _ in range(30):
            world.now_s += 1.0
            self.whole_tick(0)
            self.one_holder()
            while world.transit:
                self.arrive(0)
            self.order(0)
        while world.transit:
            self.arrive(0)
        assert world.holders() == [last]
        for runner in world.runners:
            assert runner.seen.model == last.name


def test_any_order_of_events_has_one_holder_and_ends_in_its_state():
    stateful.run_state_machine_as_test(LeaseMachine, settings=SETTINGS)


def _held_by_first():
    machine = LeaseMachine()
    machine.whole_tick(0)
    assert machine.world.holders() == [machine.world.daemons[0]]
    return machine


def test_a_successor_waits_for_the_whole_term_on_its_own_clock():
    machine = _held_by_first()
    world = machine.world
    machine.whole_tick(1)
    machine.pass_time(leases.TERM_S - leases.EXPIRY_MARGIN_S)
    assert world.holders() == []
    machine.whole_tick(1)
    assert world.holders() == []
    machine.pass_time(leases.EXPIRY_MARGIN_S)
    machine.whole_tick(1)
    assert world.holders() == [world.daemons[1]]
    assert world.daemons[1].lease.own_fencing_number == 2


def test_a_renewal_found_later_does_not_lengthen_the_term():
    machine = _held_by_first()
    world = machine.world
    machine.pass_time(leases.RENEWAL_INTERVAL_S)
    machine.tick(0, 1)
    machine.reach_table(0, "reply_lost")
    machine.answer(0)
    machine.whole_tick(1)
    machine.pass_time(leases.TERM_S - 1.0)
    machine.tick(0, 1)
    machine.reach_table(0, "good")
    machine.answer(0)
    assert world.holders() == []
    machine.pass_time(1.0)
    machine.whole_tick(1)
    assert world.holders() == [world.daemons[1]]


def test_a_table_outage_ends_orders_and_the_same_holder_goes_on():
    machine = _held_by_first()
    world = machine.world
    for _ in range(20):
        machine.pass_time(0.5)
        machine.tick(0, 1)
        machine.reach_table(0, "dropped")
        machine.answer(0)
    assert world.holders() == []
    machine.whole_tick(0)
    assert world.holders() == [world.daemons[0]]
    assert world.daemons[0].lease.own_fencing_number == 1


def test_a_paused_holders_order_does_not_last_on_either_kind_of_runner():
    machine = _held_by_first()
    world = machine.world
    machine.order(0)
    stale = list(world.transit)
    world.transit.clear()
    machine.whole_tick(1)
    machine.pass_time(30.0)
    machine.whole_tick(1)
    assert not leases.is_valid(world.daemons[0].lease, world.clock(world.daemons[0]))
    machine.order(1)
    while world.transit:
        machine.arrive(0)
    world.transit.extend(stale)
    while world.transit:
        machine.arrive(0)
    checking, ignoring = world.runners
    assert checking.seen.model == "vm1"
    assert ignoring.seen.model == "vm0"
    machine.order(1)
    machine.arrive(0)
    assert ignoring.seen.model == "vm1"
