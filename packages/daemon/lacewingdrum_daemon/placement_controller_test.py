"""Tests of the placement controller on virtual time."""

import asyncio
import dataclasses
import random

from result import Err, Ok

from lacewingdrum_coordination import leases, membership
from lacewingdrum_daemon import placement_controller
from lacewingdrum_protocol import runner_api
from lacewingdrum_state import documents, fleet, ids, states
from lacewingdrum_transport import runner_client
from tests import faulty_table, virtual_time

SERVICE = ids.ServiceName("meiler-llm")
NOWHERE = fleet.Address("127.0.0.1", 1)
VMS = tuple(
    fleet.Vm(ids.VmId(f"vm-{number}"), ids.DataCentre("bayern-a"), NOWHERE, NOWHERE, 1)
    for number in range(2)
)
RUNNERS = tuple(
    fleet.Runner(ids.RunnerId(f"r-{number}"), SERVICE, "bayern-a", NOWHERE, 1)
    for number in range(3)
)


class Engines:
    """A client of runners that check fencing numbers or ignore them."""

    def __init__(self, checks):
        self.checks = checks
        self.seen = {r.runner_id: runner_api.DesiredModelAnswer(0, "") for r in RUNNERS}
        self.orders = []
        self.silent = set()
        self.pause = None

    async def read_desired_model(self, runner, timeout_s):
        await asyncio.sleep(0.01)
        if runner.runner_id in self.silent:
            await asyncio.sleep(timeout_s)
            reason = runner_client.RunnerErrorReason.TIMEOUT
            return Err(runner_client.RunnerError(reason))
        if self.pause is not None:
            self.pause()
        return Ok(self.seen[runner.runner_id])

    async def set_desired_model(self, runner, call, timeout_s):
        self.orders.append((runner.runner_id, call))
        await asyncio.sleep(0.01)
        seen = self.seen[runner.runner_id]
        if not self.checks or call.fencing_number >= seen.fencing_number:
            seen = runner_api.DesiredModelAnswer(call.fencing_number, call.model)
            self.seen[runner.runner_id] = seen
        return Ok(seen)

    def models(self):
        return {seen.model for seen in self.seen.values()}


@dataclasses.dataclass
class Members:
    view: membership.View


class Documents:
    """The document of one service that this daemon has in force."""

    def __init__(self, model, checks):
        self.model, self.checks = model, checks

    def services(self):
        return (SERVICE,)

    def parsed(self, service):
        runner_options = documents.RunnerOptions(self.checks, self.model)
        return documents.ServiceDocument(
            service, states.ServiceType.MODEL, "", (), (), runners=runner_options
        )

    def may_admit(self):
        return True


class Site:
    """Two daemons; the test sets which one should hold the lease."""

    def __init__(self, loop, checks):
        self.loop = loop
        self.table = faulty_table.FaultyTable(random.Random(7))
        self.links = [faulty_table.Link(self.table) for _ in VMS]
        self.engines = Engines(checks)
        self.members = [Members(membership.View()) for _ in VMS]
        self.documents = [Documents("m@1", checks), Documents("m@2", checks)]
        self.controllers = []
        for number, vm in enumerate(VMS):
            controller = placement_controller.PlacementController(
                self.links[number],
                self.engines,
                self.members[number],
                self.documents[number],
                vm.vm_id,
                loop.time,
            )
            controller.start()
            self.controllers.append(controller)

    def elect(self, number, seen_by=(0, 1)):
        """Show only one daemon as live to the daemons in ``seen_by``."""
        members = fleet.Members(vms=(VMS[number],), runners=RUNNERS)
        now_s = self.loop.time() + 1e9
        for daemon in seen_by:
            view = membership.merge(membership.View(), members, now_s)
            self.members[daemon].view = view

    async def close(self):
        for controller in self.controllers:
            await controller.close()


def test_runners_are_ordered_to_and_kept_at_the_desired_model():
    async def main(loop):
        site = Site(loop, checks=False)
        site.elect(0)
        site.engines.silent.add(RUNNERS[0].runner_id)
        await asyncio.sleep(5.0)
        site.engines.silent.clear()
        await asyncio.sleep(3.0)
        assert site.engines.models() == {"m@1"}
        assert len(site.engines.orders) == len(RUNNERS)
        site.engines.seen[RUNNERS[1].runner_id] = runner_api.DesiredModelAnswer(
            0, "old"
        )
        await asyncio.sleep(3.0)
        assert site.engines.models() == {"m@1"}
        site.documents[0].model = "m@3"
        await asyncio.sleep(3.0)
        assert site.engines.models() == {"m@3"}
        await site.close()

    virtual_time.run(main)


def _check_paused_holder(checks):
    async def main(loop):
        site = Site(loop, checks)
        site.elect(0)
        await asyncio.sleep(3.0)
        assert site.controllers[0].holds_lease(SERVICE)
        # The holder is paused while an order that passed the check of the
        # lease has not arrived yet.
        number = site.engines.seen[RUNNERS[0].runner_id].fencing_number
        stale = runner_api.DesiredModelCall(number, "m@1")
        site.links[0].thawed.clear()
        site.elect(1, seen_by=(1,))
        await asyncio.sleep(leases.TERM_S + 5.0)
        assert site.controllers[1].holds_lease(SERVICE)
        assert not site.controllers[0].holds_lease(SERVICE)
        assert site.engines.models() == {"m@2"}
        await site.engines.set_desired_model(RUNNERS[0], stale, 1.0)
        assert site.engines.models() == ({"m@2"} if checks else {"m@1", "m@2"})
        site.links[0].thawed.set()
        await asyncio.sleep(5.0)
        assert site.engines.models() == {"m@2"}
        # If the runners ignore the number, the last order must be the one
        # that corrected the model.
        late = [call for _, call in site.engines.orders[-1:]]
        assert all(call.model == "m@2" for call in late) or checks
        await site.close()

    virtual_time.run(main)


def test_order_of_a_paused_holder_is_refused_if_fencing_numbers_are_checked():
    _check_paused_holder(checks=True)


def test_order_of_a_paused_holder_is_repaired_if_fencing_numbers_are_ignored():
    _check_paused_holder(checks=False)


def test_holder_paused_between_decision_and_send_does_not_send():
    async def main(loop):
        site = Site(loop, checks=False)
        site.elect(0)
        await asyncio.sleep(3.0)
        count = len(site.engines.orders)
        site.documents[0].model = "m@4"
        site.table.is_down = True
        pauses = []

        def pause():
            pauses.append(loop.time())
            loop.freeze(leases.TERM_S)

        site.engines.pause = pause
        await asyncio.sleep(3.0)
        assert pauses and not site.controllers[0].holds_lease(SERVICE)
        assert len(site.engines.orders) == count
        await site.close()

    virtual_time.run(main)


def test_holder_stops_ordering_while_the_table_is_down():
    async def main(loop):
        site = Site(loop, checks=False)
        site.elect(0)
        await asyncio.sleep(3.0)
        site.table.is_down = True
        await asyncio.sleep(leases.TERM_S)
        assert not site.controllers[0].holds_lease(SERVICE)
        site.documents[0].model = "m@9"
        await asyncio.sleep(5.0)
        assert site.engines.models() == {"m@1"}
        site.table.is_down = False
        await asyncio.sleep(3.0)
        assert site.engines.models() == {"m@9"}
        await site.close()

    virtual_time.run(main)


def test_lease_survives_lost_table_replies():
    async def main(loop):
        site = Site(loop, checks=True)
        site.table.faults = faulty_table.Faults(reply_lost=0.4, dropped=0.2, late=0.2)
        site.elect(0)
        await asyncio.sleep(60.0)
        assert site.engines.models() == {"m@1"}
        assert {call.fencing_number for _, call in site.engines.orders} == {1}
        await site.close()

    virtual_time.run(main)
