"""Finds out which suspect runners of a request have ended or are cut off.

Silence alone does not tell: a sound runner may be silent for a while, and runs
the request meanwhile.
"""

import asyncio
import contextlib

from lacewingdrum_coordination import runner_health, runner_roster
from lacewingdrum_gateway.runners import reach_monitor, runner_probe
from lacewingdrum_gateway.serving import active_request, retry_limits
from lacewingdrum_state import runner_entries
from lacewingdrum_transport import connector


class LostRunners:
    """Records the runners of requests that have ended or are cut off."""

    def __init__(
        self,
        roster: runner_roster.RunnerRoster,
        health: runner_health.RunnerHealth,
        reach: reach_monitor.ReachMonitor,
        connect: connector.Connect,
    ) -> None:
        self._roster = roster
        self._health = health
        self._reach = reach
        self._connect = connect

    def record_known(self, active: active_request.ActiveRequest) -> bool:
        """Record which suspects are known to be lost.

        Args:
            active: a request.

        Returns:
            Whether a further runner may be asked, as one is now known to be
            lost.
        """
        if not retry_limits.needs_lost_runner(active):
            return False
        for entry in active.suspects.values():
            if self._is_known_lost(entry):
                active.lost_runners.add(entry.runner_id)
        return retry_limits.may_follow_loss(active)

    async def check(self, active: active_request.ActiveRequest, wait_s: float) -> None:
        """Find out whether suspects are lost, if a further runner needs it.

        Args:
            active: a request.
            wait_s: how long to wait at the most; nothing is asked if it is
                not positive.
        """
        self.record_known(active)
        if wait_s <= 0 or not retry_limits.needs_lost_runner(active):
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._probe_suspects(active)

    async def _probe_suspects(self, active: active_request.ActiveRequest) -> None:
        suspects = tuple(active.suspects.values())
        found = await asyncio.gather(*map(self._accepts, suspects))
        unreached = [
            entry.runner_id
            for entry, is_accepted in zip(suspects, found, strict=True)
            if not is_accepted
        ]
        # The cut may be this daemon's own.
        if unreached and not await self._reach.confirm_cut_off():
            active.lost_runners.update(unreached)

    async def _accepts(self, entry: runner_entries.RunnerEntry) -> bool:
        found = await runner_probe.probe(
            entry.address, runner_probe.CONNECT_TIMEOUT_S, self._connect
        )
        return found is runner_probe.Reachability.ACCEPTED

    def _is_known_lost(self, entry: runner_entries.RunnerEntry) -> bool:
        current = self._roster.get(entry.runner_id)
        if current is not None and current.born_ms != entry.born_ms:
            return True
        is_cut_off = self._reach.is_cut_off
        return not is_cut_off and self._health.is_unconnected(entry.runner_id)
