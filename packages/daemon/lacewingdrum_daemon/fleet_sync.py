"""Updates the router with the runners and with the attempts of peers."""

import asyncio
from collections.abc import Callable

from lacewingdrum_coordination import routing
from lacewingdrum_daemon import load_messages, membership_sync, peering
from lacewingdrum_protocol import peer_messages
from lacewingdrum_runtime import tasks
from lacewingdrum_state import fleet, ids

SYNC_INTERVAL_S = 0.2


class FleetSync:
    """Copies the runners of the membership view to the router.

    Args:
        members: provides the view.
        router: receives the runners and the attempts.
        peers: delivers the peers' reports of their attempts in flight at the
            runners that this daemon coordinates.
        clock: monotonic seconds.
    """

    def __init__(
        self,
        members: membership_sync.MembershipSync,
        router: routing.Router,
        peers: peering.Peering,
        clock: Callable[[], float],
    ) -> None:
        self._clock = clock
        peers.on_message(peer_messages.InFlightReport, self._on_in_flight_report)
        self._members = members
        self._router = router
        self._tasks = tasks.TaskSet()
        self.knows_fleet = False

    def start(self) -> None:
        """Start updating the router."""
        self._tasks.spawn(self._sync())

    async def close(self) -> None:
        """Stop updating the router."""
        await self._tasks.close()

    async def _sync(self) -> None:
        await self._members.wait_for_first_list()
        synced: tuple[fleet.Runner, ...] = ()
        while True:
            runners = self._members.view.runners
            if runners != synced:
                self._router.set_runners(runners)
                synced = runners
            self.knows_fleet = True
            await asyncio.sleep(SYNC_INTERVAL_S)

    def _on_in_flight_report(
        self, sender: ids.VmId, body: peer_messages.InFlightReport
    ) -> None:
        now_s = self._clock()
        self._router.observe_peer_attempts(
            load_messages.in_flight_attempt(entry, now_s) for entry in body.entries
        )
