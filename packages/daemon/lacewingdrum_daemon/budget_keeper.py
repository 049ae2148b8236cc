"""Borrows slices of customers' budgets from their homes, and lends them.

The driver of ``coordination.limits``: no request waits for a message here.
"""

import asyncio
from collections.abc import Callable

from lacewingdrum_coordination import directory, homes, limits, membership
from lacewingdrum_daemon import members_keeper, peering, tasks
from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import ids

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
        budget: limits.DaemonBudget,
        peers: peering.Peering,
        members: members_keeper.MembersKeeper,
        vm_id: ids.VmId,
        current: Callable[[], directory.Directory],
        clock: Callable[[], float],
    ) -> None:
        self._budget = budget
        self._home = limits.HomeBudget()
        self._peers = peers
        self._members = members
        self._vm_id = vm_id
        self._current = current
        self._clock = clock
        self._tasks = tasks.TaskSet()
        peers.on(peer_messages.BudgetAsk, self._asked)
        peers.on(peer_messages.BudgetGrant, self._granted)

    def start(self) -> None:
        """Begin to send what asks are due."""
        self._tasks.spawn(self._run())

    async def close(self) -> None:
        """End the asking."""
        await self._tasks.close()

    async def _run(self) -> None:
        while True:
            self._send_asks()
            await asyncio.sleep(ROUND_S)

    def _send_asks(self) -> None:
        now_s = self._clock()
        asks = self._budget.asks(now_s)
        if not asks:
            return
        live = [vm.vm_id for vm in membership.live_vms(self._members.view, now_s)]
        for ask in asks:
            home = homes.home_of_customer(ask.service, ask.customer, live)
            if home is not None:
                self._peers.send(home, _message(ask))

    def _asked(self, sender: ids.VmId, body: peer_messages.BudgetAsk) -> None:
        ask = limits.Ask(
            ids.ServiceName(body.service),
            ids.CustomerId(body.customer),
            body.wanted_tokens,
            body.used_tokens,
        )
        limit_tokens_per_s = self._limit_tokens_per_s(ask.service, ask.customer)
        if limit_tokens_per_s <= 0:
            return
        grant = self._home.ask(ask, limit_tokens_per_s, self._clock())
        answer = peer_messages.BudgetGrant(
            grant.service, grant.customer, grant.granted_tokens, grant.lapse_ms
        )
        self._peers.send(sender, answer)

    def _granted(self, sender: ids.VmId, body: peer_messages.BudgetGrant) -> None:
        grant = limits.Grant(
            ids.ServiceName(body.service),
            ids.CustomerId(body.customer),
            body.granted_tokens,
            body.lapse_ms,
        )
        self._budget.granted(grant, self._clock())

    def _limit_tokens_per_s(
        self, service: ids.ServiceName, customer: ids.CustomerId
    ) -> int:
        document = self._current().services.get(service)
        if document is None:
            return 0
        for found in document.customers:
            if found.customer == customer:
                return found.limit_tokens_per_s
        return 0


def _message(ask: limits.Ask) -> peer_messages.BudgetAsk:
    return peer_messages.BudgetAsk(
        ask.service, ask.customer, ask.wanted_tokens, ask.used_tokens
    )
