"""Tests of how daemons together keep to what cold runners take."""

import random
import unittest.mock

import hypothesis
from hypothesis import strategies

from lacewingdrum_coordination import cold_limits, sharing_daemons
from lacewingdrum_state import (
    cold_reports,
    configurations,
    fleet,
    ids,
    runner_entries,
    states,
)

SERVICE = ids.ServiceName("model")
LIMIT = configurations.ColdLimit(3.0, 17.0)
OVERAGE = cold_limits.Overage(1.5, 5.0)
BOUND = 30.5
CENTRES = ("north", "south", "west")
STEP_S = 0.02


def entry(number=0, born_ms=1):
    return runner_entries.RunnerEntry(
        ids.RunnerId(f"e{number}"),
        SERVICE,
        ids.DataCentre("north"),
        fleet.Address("10.1.0.1", 80 + number),
        6,
        states.MemberState.LIVE,
        born_ms,
    )


def report(born_ms=1, left_ms=3_000.0, number=0):
    return cold_reports.ColdReport(entry(number).runner_id, born_ms, left_ms)


class Vm:
    """A simulated daemon that sends whenever it may."""

    def __init__(self, number, started_s, limit=LIMIT, overage=OVERAGE):
        self.address = ids.VmId(f"10.0.0.{number}:7")
        self.data_centre = ids.DataCentre(CENTRES[number % len(CENTRES)])
        self.daemons = sharing_daemons.SharingDaemons(
            self.address, self.data_centre, started_s
        )
        self.limits = cold_limits.ColdLimits(self.daemons, overage)
        self.limits.runners.set_limits({SERVICE: limit})
        self.is_cut = False

    def hear(self, others, now_s, with_names=True):
        for other in others:
            if other is not self and not (self.is_cut or other.is_cut):
                self.daemons.record_heard(other.address, other.data_centre, now_s)
                if with_names:
                    reports = other.daemons.reports(now_s)
                    self.daemons.record_reported(reports, now_s)

    def turn_cold(self, entries, now_s, left_ms=3_000.0):
        self.daemons.forget_old(now_s)
        for item in entries:
            said = cold_reports.ColdReport(item.runner_id, item.born_ms, left_ms)
            self.limits.runners.record(item, said, now_s)

    def send(self, item, now_s, most=50):
        count = 0
        while count < most and not self.limits.wait_s(item, now_s):
            self.limits.reserve(item, now_s)
            count += self.limits.take(item, now_s)
        return count


def fleet_of(count, limit=LIMIT, overage=OVERAGE):
    vms = [Vm(number, 0.0, limit, overage) for number in range(count)]
    for vm in vms:
        vm.hear(vms, 0.0)
    return vms


def most_in_a_second(sent_s):
    return max(
        (sum(0 <= other_s - time_s <= 1.0 for other_s in sent_s) for time_s in sent_s),
        default=0,
    )


def send_all(vms, item, from_s, length_s):
    """Return the times of all sends while each daemon sends all it may."""
    sent_s = []
    for step in range(int(length_s / STEP_S)):
        now_s = from_s + step * STEP_S
        for vm in vms:
            sent_s += [now_s] * vm.send(item, now_s)
    return sent_s


def test_cold_engines_get_their_rate_and_never_more_than_the_bound():
    vms = fleet_of(87)
    engines = [entry(number) for number in range(23)]
    for vm in vms:
        vm.turn_cold(engines, 20.0)
    for engine in engines:
        sent_s = send_all(vms, engine, 20.0, 2.98)
        assert most_in_a_second(sent_s) <= BOUND
        assert len(sent_s) >= 2 * LIMIT.requests_per_s


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(
    strategies.floats(0.2, 60.0),
    strategies.floats(1.0, 2.0),
    strategies.floats(0.0, 8.0),
    strategies.integers(1, 40),
)
def test_any_bound_holds_in_a_fleet_of_any_size(per_s, factor, slack, count):
    limit = configurations.ColdLimit(3.0, per_s)
    vms = fleet_of(count, limit, cold_limits.Overage(factor, slack))
    for vm in vms:
        vm.turn_cold([entry()], 20.0)
    sent_s = send_all(vms, entry(), 20.0, 2.98)
    assert most_in_a_second(sent_s) <= per_s * factor + slack


def pass_long(vms, now_s, length_s, rng):
    """Let time pass in which daemons that are cut stay cut; return the end."""
    for _ in range(0, length_s, 20):
        now_s += 20.0
        for vm in vms:
            vm.hear(vms, now_s, with_names=rng.random() < 0.5)
            vm.daemons.forget_old(now_s)
    return now_s


EVENTS = ("cut", "join", "add", "replace", "restart", "report", "nothing")


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(
    strategies.integers(1, 16),
    strategies.lists(strategies.sampled_from(EVENTS), max_size=24),
    strategies.integers(0, 2**32),
)
def test_bound_holds_whoever_is_cut_added_replaced_or_restarted(count, events, seed):
    assert most_in_a_second(play(count, events, seed)) <= BOUND


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(
    strategies.integers(1, 16),
    strategies.lists(strategies.sampled_from((*EVENTS, "long")), max_size=16),
    strategies.integers(0, 2**32),
)
def test_bound_holds_also_when_daemons_are_cut_for_long(count, events, seed):
    assert most_in_a_second(play(count, events, seed, has_seeds=True)) <= BOUND


def play(count, events, seed, has_seeds=False):
    """Return when a fleet sends to a cold engine while events happen to it.

    With ``has_seeds`` a daemon that is added knows of the others by name, as
    two that know of nobody are both taken to be alone after a while.
    """
    rng = random.Random(seed)
    vms = fleet_of(count)
    everyone = list(vms)
    sent_s = []
    now_s = 20.0
    for vm in vms:
        vm.turn_cold([entry()], now_s)
    for event in events:
        chosen = rng.choice(vms)
        match event:
            case "cut":
                chosen.is_cut = True
            case "join":
                chosen.is_cut = False
            case "add" | "replace":
                vms.append(Vm(len(everyone), now_s))
                if has_seeds:
                    seeds = [vm.address for vm in everyone]
                    vms[-1].daemons.record_named(seeds, now_s)
                everyone.append(vms[-1])
                if event == "replace":
                    vms.remove(chosen)
            case "restart":
                number = int(chosen.address.split(":")[0].rpartition(".")[2])
                again = Vm(number, now_s)
                again.is_cut = chosen.is_cut
                # The store's rows and the seeds name the others.
                again.daemons.record_named([vm.address for vm in everyone], now_s)
                vms[vms.index(chosen)] = everyone[number] = again
            case "long":
                now_s = pass_long(vms, now_s, rng.choice((60, 700)), rng)
        for vm in vms:
            if rng.random() < 0.9:
                vm.turn_cold([entry()], now_s, rng.choice((-5.0, 200.0, 3_000.0)))
        for vm in vms:
            vm.hear(vms, now_s)
        sent_s += [
            time_s
            for vm in vms
            if vm.limits.is_cold(entry(), now_s + 0.5)
            for time_s in send_all([vm], entry(), now_s, 0.5)
        ]
        now_s += 0.5
    return sent_s


def test_daemon_that_hears_nobody_keeps_its_small_part():
    vms = fleet_of(30)
    for vm in vms:
        vm.is_cut = True
        vm.turn_cold([entry()], 400.0)
    assert most_in_a_second(send_all(vms, entry(), 400.0, 2.98)) <= BOUND


def test_daemons_added_while_those_that_divide_a_limit_are_cut_send_nothing():
    vms = fleet_of(30)
    for vm in vms:
        vm.is_cut = vm.daemons.own_place(entry()) < 12
    vms += [Vm(number, 20.0) for number in range(30, 90)]
    for now_s in (20.0, 20.2):
        for vm in vms:
            vm.hear(vms, now_s)
    for vm in vms:
        vm.turn_cold([entry()], 30.0)
    sent_s = send_all(vms, entry(), 30.0, 2.98)
    assert sent_s and most_in_a_second(sent_s) <= BOUND


def test_daemon_that_has_just_started_sends_nothing_to_cold_engines():
    late = Vm(1, 100.0)
    late.daemons.record_named([ids.VmId("10.0.0.2:7")], 100.0)
    late.turn_cold([entry()], 100.0)
    assert not send_all([late], entry(), 100.0, 2.9)
    assert not late.limits.wait_s(entry(), 105.0)


def test_daemon_alone_uses_the_rate_after_a_while():
    (only,) = fleet_of(1)
    only.turn_cold([entry()], 1.0)
    assert not send_all([only], entry(), 1.0, 2.9)
    only.turn_cold([entry()], 20.0)
    sent_s = send_all([only], entry(), 20.0, 2.9)
    assert len(sent_s) >= 40 and most_in_a_second(sent_s) <= BOUND


def test_new_member_sends_nothing_until_the_one_before_it_knows():
    vms = fleet_of(30)
    chosen = next(vm for vm in vms if vm.daemons.own_place(entry()) == 12)
    before = next(vm for vm in vms if vm.daemons.own_place(entry()) == 3)
    for now_s in range(1, 600, 30):
        for vm in vms:
            if vm is not before:
                chosen.daemons.record_heard(vm.address, vm.data_centre, now_s)
    chosen.daemons.forget_old(601.0)
    chosen.turn_cold([entry()], 601.0)
    sent_s = send_all([chosen], entry(), 601.0, 2.9)
    assert sent_s and min(sent_s) >= 602.0


def test_all_daemons_use_a_warm_engine_only_after_a_slow_start():
    vms = fleet_of(87)
    for vm in vms:
        vm.turn_cold([entry()], 20.0)
    users = [
        sum(not vm.limits.wait_s(entry(), now_s) for vm in vms)
        for now_s in (23.01, 23.4, 23.8, 24.2, 24.6)
    ]
    assert users == sorted(users) and users[-1] == 87
    assert 12 <= users[0] <= 14 and 20 < users[1] < users[2] < 70


def test_engine_is_slower_while_it_is_cold():
    (vm,) = fleet_of(1)
    assert vm.limits.slowdown(entry(), 0.0) == 1.0
    vm.turn_cold([entry()], 0.0)
    slowdowns = [vm.limits.slowdown(entry(), now_s) for now_s in (0.0, 1.5, 3.0)]
    assert slowdowns == [cold_limits.SLOWDOWN, (1 + cold_limits.SLOWDOWN) / 2, 1.0]


def test_requests_that_connect_for_long_keep_to_the_bound_when_they_are_sent():
    vms = fleet_of(87)
    for vm in vms:
        vm.turn_cold([entry()], 20.0)
    rng = random.Random(7)
    planned, sent_s = [], []
    for step in range(int(2.9 / STEP_S)):
        now_s = 20.0 + step * STEP_S
        for vm in vms:
            while not vm.limits.wait_s(entry(), now_s):
                vm.limits.reserve(entry(), now_s)
                planned.append((now_s + rng.choice((0.0, 0.06, 0.4)), vm))
        for due in [item for item in planned if item[0] <= now_s]:
            planned.remove(due)
            sent_s += [now_s] * due[1].limits.take(entry(), now_s)
    assert len(sent_s) >= 20 and most_in_a_second(sent_s) <= BOUND


def test_requests_planned_while_a_runner_counted_as_warm_need_a_token():
    vms = fleet_of(30)
    for vm in vms:
        assert not vm.limits.wait_s(entry(), 20.0)
        vm.limits.reserve(entry(), 20.0)
        vm.turn_cold([entry()], 20.3)
    assert not any(vm.limits.take(entry(), 20.4) for vm in vms for _ in range(5))
    assert any(vm.limits.take(entry(), 21.5) for vm in vms)


def test_limit_that_is_lowered_while_an_engine_is_cold_holds_at_once():
    vms = fleet_of(30)
    for vm in vms:
        vm.turn_cold([entry()], 20.0)
    sent_s = send_all(vms, entry(), 20.0, 1.0)
    lower = configurations.ColdLimit(3.0, 2.0)
    for vm in vms:
        vm.limits.set_limits({SERVICE: lower})
        vm.turn_cold([entry()], 21.0)
    later_s = send_all(vms, entry(), 21.0, 2.9)
    assert sent_s and later_s and most_in_a_second(later_s) <= 2.0 * 1.5 + 5.0
    for vm in vms:
        vm.limits.set_limits({})
        assert not vm.limits.has_any and not vm.limits._shares


def test_place_is_not_looked_up_for_each_daemon_that_is_heard():
    vm, *others = fleet_of(90)
    vm.turn_cold([entry()], 20.0)
    with unittest.mock.patch.object(
        vm.daemons, "own_place", side_effect=vm.daemons.own_place
    ) as own_place:
        for number in range(200):
            now_s = 20.0 + number / 200
            vm.daemons.record_named([ids.VmId(f"10.1.0.{number}:7")], now_s)
            vm.limits.wait_s(entry(), now_s)
    assert own_place.call_count <= 5
