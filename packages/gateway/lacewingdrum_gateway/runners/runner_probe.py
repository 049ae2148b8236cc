"""Probes whether suspected runners can be reached again."""

import asyncio
import enum
from collections.abc import Callable

from lacewingdrum_coordination import cold_limits, runner_health, runner_roster
from lacewingdrum_runtime import decision_log, tasks
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import connector

PROBE_INTERVAL_S = 0.7
CONNECT_TIMEOUT_S = 0.5


class Reachability(enum.Enum):
    """What a new connection shows of a runner.

    ``REFUSED`` means that its host answers and nothing listens there.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


class _ClosedAtOnce(asyncio.Protocol):
    """A connection that is closed once it is established."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.abort()


async def probe(
    address: fleet.Address,
    timeout_s: float,
    connect: connector.Connect = connector.connect,
) -> Reachability:
    """Return whether an address accepts a connection.

    Args:
        address: the address of a runner.
        timeout_s: the time limit for the connection, which is closed at once.
        connect: opens the connection.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await connect(_ClosedAtOnce, address)
    except ConnectionRefusedError:
        return Reachability.REFUSED
    except (OSError, TimeoutError):
        return Reachability.UNREACHABLE
    return Reachability.ACCEPTED


class RunnerProbe:
    """Opens a connection to each suspected runner at regular intervals.

    It does not while ``is_paused`` returns True.
    """

    def __init__(
        self,
        roster: runner_roster.RunnerRoster,
        health: runner_health.RunnerHealth,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        connect: connector.Connect,
        is_paused: Callable[[], bool],
        cold: cold_limits.ColdLimits,
    ) -> None:
        self._cold = cold
        self._connect = connect
        self._is_paused = is_paused
        self._roster = roster
        self._health = health
        self._clock = clock
        self._decisions = decisions
        self._tasks = tasks.TaskSet()

    def start(self) -> None:
        """Begin to probe."""
        self._tasks.spawn_loop(self._probe_suspects)

    async def close(self) -> None:
        """Stop probing."""
        await self._tasks.close()

    def probe_now(self, runner_id: ids.RunnerId) -> None:
        """Probe a suspected runner without waiting for the next interval."""
        self._tasks.spawn(self._probe(runner_id))

    async def _probe_suspects(self) -> None:
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            suspects = self._health.suspects
            if suspects and not self._is_paused():
                await asyncio.gather(*(self._probe(item) for item in suspects))

    async def _probe(self, runner_id: ids.RunnerId) -> None:
        entry = self._roster.get(runner_id)
        if entry is None:
            self._health.forget(runner_id)
            return
        found = await probe(entry.address, CONNECT_TIMEOUT_S, self._connect)
        if found is not Reachability.ACCEPTED:
            self._health.record_failed_probe(runner_id)
            return
        if self._health.take_unconnected(runner_id):
            self._cold.record_reached(entry, self._clock())
        self._health.clear_suspicion(runner_id)
        self._decisions.record(
            decision_log.DecisionEvent.RUNNER_CLEARED, None, runner_id=runner_id
        )
