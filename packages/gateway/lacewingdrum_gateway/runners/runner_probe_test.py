"""Tests of what probes show of suspected runners."""

import logging

from lacewingdrum_coordination import (
    cold_limits,
    runner_health,
    runner_roster,
    runner_roster_test,
    sharing_daemons,
)
from lacewingdrum_gateway.runners import runner_probe
from lacewingdrum_runtime import decision_log
from lacewingdrum_state import configurations, ids

NOW_S = 100.0
NORTH = ids.DataCentre("north")
ENTRY = runner_roster_test.entry("e1")


class Target:
    """Accepts connections, or refuses them."""

    def __init__(self) -> None:
        self.is_refusing = False

    async def connect(self, *args: object) -> None:
        if self.is_refusing:
            raise ConnectionRefusedError


async def test_runner_that_is_reached_again_counts_as_cold():
    for refuses in (True, False):
        target = Target()
        roster = runner_roster.RunnerRoster()
        roster.apply(runner_roster_test.listed(1, ENTRY), NOW_S)
        health = runner_health.RunnerHealth()
        daemons = sharing_daemons.SharingDaemons(ids.VmId("10.0.0.1:7"), NORTH, 0.0)
        cold = cold_limits.ColdLimits(daemons, cold_limits.Overage(1.0, 0.0))
        limit = configurations.ColdLimit(3.0, 17.0)
        cold.runners.set_limits({ENTRY.service: limit})
        probe = runner_probe.RunnerProbe(
            roster,
            health,
            lambda: NOW_S,
            decision_log.DecisionLog(logging.getLogger("probe_test"), lambda: NOW_S),
            target.connect,
            lambda: False,
            cold,
        )
        health.suspect(ENTRY.runner_id, NOW_S)
        target.is_refusing = refuses
        if refuses:
            await probe._probe(ENTRY.runner_id)
            assert health.is_suspect(ENTRY.runner_id)
            assert not cold.is_cold(ENTRY, NOW_S)
        target.is_refusing = False
        await probe._probe(ENTRY.runner_id)
        assert not health.is_suspect(ENTRY.runner_id)
        assert cold.is_cold(ENTRY, NOW_S) is refuses
        assert len(cold.take_reached()) == refuses
        await probe.close()
