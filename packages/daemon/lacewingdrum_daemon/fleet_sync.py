"""Keeps the router's runners in step with the membership view."""

import asyncio

from lacewingdrum_coordination import routing
from lacewingdrum_daemon import members_keeper, tasks
from lacewingdrum_state import fleet

PERIOD_S = 0.2


class FleetSync:
    """Tells the router of runners that come and go.

    Args:
        members: has the view.
        router: takes the runners.
    """

    def __init__(
        self, members: members_keeper.MembersKeeper, router: routing.Router
    ) -> None:
        self._members = members
        self._router = router
        self._tasks = tasks.TaskSet()
        self.knows_fleet = False

    def start(self) -> None:
        """Begin to follow the view."""
        self._tasks.spawn(self._follow())

    async def close(self) -> None:
        """Stop following."""
        await self._tasks.close()

    async def _follow(self) -> None:
        await self._members.wait_first()
        seen: tuple[fleet.Runner, ...] = ()
        while True:
            runners = self._members.view.runners
            if runners != seen:
                self._router.set_runners(runners)
                seen = runners
            self.knows_fleet = True
            await asyncio.sleep(PERIOD_S)
