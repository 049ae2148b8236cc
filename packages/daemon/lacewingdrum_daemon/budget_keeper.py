"""Borrows slices of customers' budgets from their homes, and lends them.

The driver of ``coordination.limits``: no request waits for a message here.
"""

import asyncio
from collections.abc import Callable

from lacewingdrum_coordination import (
    coordinators,
    customer_limits,
    directory,
    limits,
    membership,
)
from lacewingdrum_daemon import members_keeper, peering, tasks
from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import documents, ids

ROUND_S = 0.025


class BudgetKeeper:
    """Exchanges asks and grants with the other daemons.

    Args:
        budget: what this daemon may spend.
        peers: carries the messages.
        members: says which VMs are live.
        vm_id: this daemon's VM.
        current: has the customers' stated limits.
        clock: monotonic seconds.
    """

    def __init__(
        self,
        budget: customer_limits.CustomerLimits,
        peers: peering.Peering,
        members: members_keeper.MembersKeeper,
        vm_id: ids.VmId,
        current: Callable[[], directory.Directory],
        clock: Callable[[], float],
    ) -> None:
        self._budget = budget
        self._home = customer_limits.CoordinatorLimits()
        self._peers = peers
        self._members = members
        self._vm_id = vm_id
        self._current = current
        self._clock = clock
        self._tasks = tasks.TaskSet()
        peers.on(peer_messages.BudgetRequest, self._asked)
        peers.on(peer_messages.BudgetGrant, self._granted)

    def start(self) -> None:
        """Begin to send what asks are due."""
        self._tasks.spawn(self._run())

    async def close(self) -> None:
        """End the asking, and give back what was lent and not spent."""
        await self._tasks.close()
        self._send(self._budget.give_back())

    async def _run(self) -> None:
        while True:
            self._send_asks()
            await asyncio.sleep(ROUND_S)

    def _send_asks(self) -> None:
        now_s = self._clock()
        self._send(self._budget.due_requests(now_s))

    def _send(
        self, asks: tuple[tuple[customer_limits.Resource, limits.SliceRequest], ...]
    ) -> None:
        if not asks:
            return
        now_s = self._clock()
        live = [vm.vm_id for vm in membership.live_vms(self._members.view, now_s)]
        for resource, ask in asks:
            home = coordinators.coordinator_of_customer(ask.service, ask.customer, live)
            if home is not None:
                self._peers.send(home, _message(resource, ask))

    def _asked(self, sender: ids.VmId, body: peer_messages.BudgetRequest) -> None:
        ask = limits.SliceRequest(
            ids.ServiceName(body.service),
            ids.CustomerId(body.customer),
            body.wanted,
            body.used,
        )
        customer = self._customer(ask.service, ask.customer)
        if customer is None:
            return
        grant = self._home.request(body.resource, ask, customer, self._clock())
        if grant is None:
            return
        answer = peer_messages.BudgetGrant(
            grant.service,
            grant.customer,
            grant.granted_units,
            grant.expires_in_ms,
            body.resource,
        )
        self._peers.send(sender, answer)

    def _granted(self, sender: ids.VmId, body: peer_messages.BudgetGrant) -> None:
        grant = limits.Grant(
            ids.ServiceName(body.service),
            ids.CustomerId(body.customer),
            body.granted,
            body.lapse_ms,
        )
        self._budget.granted(body.resource, grant, self._clock())

    def _customer(
        self, service: ids.ServiceName, customer: ids.CustomerId
    ) -> documents.Customer | None:
        document = self._current().services.get(service)
        if document is None:
            return None
        for found in document.customers:
            if found.customer == customer:
                return found
        return None


def _message(
    resource: customer_limits.Resource, ask: limits.SliceRequest
) -> peer_messages.BudgetRequest:
    return peer_messages.BudgetRequest(
        ask.service, ask.customer, ask.wanted_units, ask.used_units, resource
    )
