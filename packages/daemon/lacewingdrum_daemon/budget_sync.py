"""Requests slices of customers' rate limits, and grants them to peers.

A slice is a number of tokens or requests that a daemon may spend without
sending a message. A daemon requests slices from the customer's coordinator,
and grants them to other daemons where it is the coordinator itself. It drives
``coordination.limits``. No request of a caller waits for these messages.
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
from lacewingdrum_daemon import membership_sync, peering
from lacewingdrum_protocol import peer_messages
from lacewingdrum_runtime import tasks
from lacewingdrum_state import documents, ids

REQUEST_INTERVAL_S = 0.025


class BudgetSync:
    """Exchanges slice requests and grants with the other daemons.

    Args:
        daemon_limits: the slices that this daemon may spend.
        peers: exchanges messages with the other daemons.
        members: the current live VMs.
        vm_id: this daemon's VM.
        current: returns the directory with the customers' limits.
        clock: monotonic seconds.
    """

    def __init__(
        self,
        daemon_limits: customer_limits.CustomerLimits,
        peers: peering.Peering,
        members: membership_sync.MembershipSync,
        vm_id: ids.VmId,
        current: Callable[[], directory.Directory],
        clock: Callable[[], float],
    ) -> None:
        self._daemon_limits = daemon_limits
        self._coordinator_limits = customer_limits.CoordinatorLimits()
        self._peers = peers
        self._members = members
        self._vm_id = vm_id
        self._current = current
        self._clock = clock
        self._tasks = tasks.TaskSet()
        peers.on_message(peer_messages.BudgetRequest, self._on_request)
        peers.on_message(peer_messages.BudgetGrant, self._on_grant)

    def start(self) -> None:
        """Start to send slice requests when they are due."""
        self._tasks.spawn(self._run())

    async def close(self) -> None:
        """Stop sending requests, and give back all unspent slices."""
        await self._tasks.close()
        self._send(self._daemon_limits.give_back())

    async def _run(self) -> None:
        while True:
            self._send_due_requests()
            await asyncio.sleep(REQUEST_INTERVAL_S)

    def _send_due_requests(self) -> None:
        now_s = self._clock()
        self._send(self._daemon_limits.due_requests(now_s))

    def _send(
        self,
        slice_requests: tuple[
            tuple[customer_limits.Resource, limits.SliceRequest], ...
        ],
    ) -> None:
        if not slice_requests:
            return
        now_s = self._clock()
        live_vm_ids = [
            vm.vm_id for vm in membership.live_vms(self._members.view, now_s)
        ]
        for resource, slice_request in slice_requests:
            coordinator = coordinators.coordinator_of_customer(
                slice_request.service, slice_request.customer, live_vm_ids
            )
            if coordinator is not None:
                self._peers.send(coordinator, _request_message(resource, slice_request))

    def _on_request(self, sender: ids.VmId, body: peer_messages.BudgetRequest) -> None:
        slice_request = limits.SliceRequest(
            ids.ServiceName(body.service),
            ids.CustomerId(body.customer),
            body.wanted,
            body.used,
        )
        customer = self._customer(slice_request.service, slice_request.customer)
        if customer is None:
            return
        grant = self._coordinator_limits.request(
            body.resource, slice_request, customer, self._clock()
        )
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

    def _on_grant(self, sender: ids.VmId, body: peer_messages.BudgetGrant) -> None:
        grant = limits.Grant(
            ids.ServiceName(body.service),
            ids.CustomerId(body.customer),
            body.granted,
            body.lapse_ms,
        )
        self._daemon_limits.granted(body.resource, grant, self._clock())

    def _customer(
        self, service: ids.ServiceName, customer: ids.CustomerId
    ) -> documents.Customer | None:
        document = self._current().services.get(service)
        if document is None:
            return None
        for candidate in document.customers:
            if candidate.customer == customer:
                return candidate
        return None


def _request_message(
    resource: customer_limits.Resource, slice_request: limits.SliceRequest
) -> peer_messages.BudgetRequest:
    return peer_messages.BudgetRequest(
        slice_request.service,
        slice_request.customer,
        slice_request.wanted_units,
        slice_request.used_units,
        resource,
    )
