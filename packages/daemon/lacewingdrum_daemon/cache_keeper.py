"""Reads the runners' cache events and tells the data centre of them.

Each runner is asked by its home alone. What is lost or too much to tell
costs prefix hits and nothing else, so nothing is repeated.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence

from result import Err

from lacewingdrum_coordination import membership, prefixes, runner_coordinators
from lacewingdrum_daemon import membership_sync, peering, tasks
from lacewingdrum_protocol import peer_messages, runner_api
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import runner_client

POLL_S = 1.0
TIMEOUT_S = 0.8
MAX_CHANGES_A_ROUND = 512
UNSUPPORTED_PAUSE_ROUNDS = 60

OnCache = Callable[[ids.RunnerId, Sequence[prefixes.BlockChange]], None]

_log = logging.getLogger(__name__)


class CacheKeeper:
    """One daemon's part in knowing the runners' prefix caches.

    Args:
        runners: reads the events.
        peers: tells and hears them.
        members: says which runners and VMs there are.
        own: this daemon's VM and data centre.
        on_cache: takes the changes of any runner.
        clock: monotonic seconds.
    """

    def __init__(
        self,
        runners: runner_client.RunnerClient,
        peers: peering.Peering,
        members: membership_sync.MembershipSync,
        own: tuple[ids.VmId, ids.DataCentre],
        on_cache: OnCache,
        clock: Callable[[], float],
    ) -> None:
        self._runners = runners
        self._peers = peers
        self._members = members
        self._vm_id, self._data_centre = own
        self._homes = runner_coordinators.RunnerCoordinators(*own)
        self._on_cache = on_cache
        self._clock = clock
        self._seen: dict[tuple[ids.RunnerId, ids.Incarnation], int] = {}
        self._paused_rounds: dict[ids.RunnerId, int] = {}
        self._tasks = tasks.TaskSet()
        peers.on_message(peer_messages.CacheSummary, self._summary_received)

    def start(self) -> None:
        """Begin the rounds."""
        self._tasks.spawn(self._run())

    async def close(self) -> None:
        """End the rounds."""
        await self._tasks.close()

    async def run_round(self) -> None:
        """Read the events of each runner whose home this daemon is."""
        own = self._own_runners()
        kept = {(runner.runner_id, runner.incarnation) for runner in own}
        self._seen = {key: seq for key, seq in self._seen.items() if key in kept}
        await asyncio.gather(*(self._read(runner) for runner in own))

    async def _run(self) -> None:
        while True:
            try:
                await self.run_round()
            except Exception:
                # Without rounds every prefix would be computed anew.
                _log.exception("cache round failed")
            await asyncio.sleep(POLL_S)

    def _own_runners(self) -> list[fleet.Runner]:
        view = self._members.view
        self._homes.set_live_vms(membership.live_vms(view, self._clock()))
        return [
            runner
            for runner in view.runners
            if runner.data_centre == self._data_centre
            and self._homes.coordinator_of(runner) == self._vm_id
        ]

    async def _read(self, runner: fleet.Runner) -> None:
        paused = self._paused_rounds.get(runner.runner_id, 0)
        if paused:
            self._paused_rounds[runner.runner_id] = paused - 1
            return
        key = (runner.runner_id, runner.incarnation)
        since = self._seen.get(key, 0)
        found = await self._runners.cache_events(runner, since, TIMEOUT_S)
        if isinstance(found, Err):
            if found.err_value.reason is runner_client.RunnerErrorReason.MALFORMED:
                # A plain service's runner has no cache to tell of.
                self._paused_rounds[runner.runner_id] = UNSUPPORTED_PAUSE_ROUNDS
            return
        answer = found.ok_value
        # A runner that started anew counts from the beginning again.
        self._seen[key] = answer.last_seq if answer.last_seq >= since else 0
        events = answer.events[-MAX_CHANGES_A_ROUND:]
        if events:
            self._tell(runner, events)

    def _tell(
        self, runner: fleet.Runner, events: Sequence[runner_api.CacheEvent]
    ) -> None:
        last: dict[int, runner_api.CacheChange] = {}
        for event in events:
            last[event.block_hash] = event.change
        stored = runner_api.CacheChange.STORED
        summary = peer_messages.CacheSummary(
            runner.runner_id,
            runner.incarnation,
            tuple(block for block, change in last.items() if change is stored),
            tuple(block for block, change in last.items() if change is not stored),
        )
        self._summary_received(self._vm_id, summary)
        self._peers.broadcast(summary, self._data_centre)

    def _summary_received(
        self, sender: ids.VmId, body: peer_messages.CacheSummary
    ) -> None:
        changes = [prefixes.BlockChange(block, False) for block in body.evicted]
        changes += [prefixes.BlockChange(block, True) for block in body.stored]
        self._on_cache(ids.RunnerId(body.runner_id), changes)
