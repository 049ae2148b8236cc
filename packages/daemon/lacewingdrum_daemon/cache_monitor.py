"""Reads runners' cache events and broadcasts them in the data centre.

Only a runner's coordinator reads its events. If a message is lost, or a round
has more than MAX_EVENTS_PER_ROUND events, only the hit rate of the prefix
caches falls, so nothing is sent again.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence

from result import Err

from lacewingdrum_coordination import membership, prefixes, runner_coordinators
from lacewingdrum_daemon import membership_sync, peering
from lacewingdrum_protocol import peer_messages, runner_api
from lacewingdrum_runtime import tasks
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import runner_client

POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 0.8
MAX_EVENTS_PER_ROUND = 512
UNSUPPORTED_PAUSE_ROUNDS = 60

OnCache = Callable[[ids.RunnerId, Sequence[prefixes.BlockChange]], None]

_log = logging.getLogger(__name__)


class CacheMonitor:
    """Tracks the contents of the runners' prefix caches.

    Args:
        runners: reads the events.
        peers: broadcasts and receives summaries of them.
        members: the current runners and live VMs.
        own: this daemon's VM and data centre.
        on_cache: called with the changes of any runner.
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
        self._coordinators = runner_coordinators.RunnerCoordinators(*own)
        self._on_cache = on_cache
        self._clock = clock
        self._last_seqs: dict[tuple[ids.RunnerId, ids.Incarnation], int] = {}
        self._paused_rounds: dict[ids.RunnerId, int] = {}
        self._tasks = tasks.TaskSet()
        peers.on_message(peer_messages.CacheSummary, self._on_summary)

    def start(self) -> None:
        """Start to poll runners periodically."""
        self._tasks.spawn(self._run())

    async def close(self) -> None:
        """Stop polling."""
        await self._tasks.close()

    async def run_round(self) -> None:
        """Read the events of each runner that this daemon coordinates."""
        own = self._own_runners()
        current_keys = {(runner.runner_id, runner.incarnation) for runner in own}
        self._last_seqs = {
            key: seq for key, seq in self._last_seqs.items() if key in current_keys
        }
        await asyncio.gather(*(self._read_events(runner) for runner in own))

    async def _run(self) -> None:
        while True:
            try:
                await self.run_round()
            except Exception:
                # Keep polling after an unexpected error: without the contents
                # of the caches, every prefix would be computed again.
                _log.exception("cache round failed")
            await asyncio.sleep(POLL_INTERVAL_S)

    def _own_runners(self) -> list[fleet.Runner]:
        view = self._members.view
        self._coordinators.set_live_vms(membership.live_vms(view, self._clock()))
        return [
            runner
            for runner in view.runners
            if runner.data_centre == self._data_centre
            and self._coordinators.coordinator_of(runner) == self._vm_id
        ]

    async def _read_events(self, runner: fleet.Runner) -> None:
        paused = self._paused_rounds.get(runner.runner_id, 0)
        if paused:
            self._paused_rounds[runner.runner_id] = paused - 1
            return
        key = (runner.runner_id, runner.incarnation)
        since = self._last_seqs.get(key, 0)
        response = await self._runners.cache_events(runner, since, POLL_TIMEOUT_S)
        if isinstance(response, Err):
            if response.err_value.reason is runner_client.RunnerErrorReason.MALFORMED:
                # Runners of plain services have no prefix cache and do not
                # implement this call, so their answer counts as malformed.
                self._paused_rounds[runner.runner_id] = UNSUPPORTED_PAUSE_ROUNDS
            return
        answer = response.ok_value
        # A runner that restarted numbers its events from the beginning. The
        # membership list can still name its former incarnation.
        self._last_seqs[key] = answer.last_seq if answer.last_seq >= since else 0
        events = answer.events[-MAX_EVENTS_PER_ROUND:]
        if events:
            self._broadcast(runner, events)

    def _broadcast(
        self, runner: fleet.Runner, events: Sequence[runner_api.CacheEvent]
    ) -> None:
        last_changes: dict[int, runner_api.CacheChange] = {}
        for event in events:
            last_changes[event.block_hash] = event.change
        stored = runner_api.CacheChange.STORED
        summary = peer_messages.CacheSummary(
            runner.runner_id,
            runner.incarnation,
            tuple(block for block, change in last_changes.items() if change is stored),
            tuple(
                block for block, change in last_changes.items() if change is not stored
            ),
        )
        self._on_summary(self._vm_id, summary)
        self._peers.broadcast(summary, self._data_centre)

    def _on_summary(self, sender: ids.VmId, body: peer_messages.CacheSummary) -> None:
        changes = [prefixes.BlockChange(block, False) for block in body.evicted]
        changes += [prefixes.BlockChange(block, True) for block in body.stored]
        self._on_cache(ids.RunnerId(body.runner_id), changes)
