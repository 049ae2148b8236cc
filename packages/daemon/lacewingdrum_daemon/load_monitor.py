"""Polls the loads of runners, sends them to peers, reclaims unowned memory.

Only a runner's coordinator polls it. The coordinator sends the load to the
daemons of its data centre every round, and to the others less often. Each
daemon reports its in-flight attempts to the coordinators. A coordinator
cancels an attempt whose memory an engine holds but which no live daemon
reports.
"""

import asyncio
import dataclasses
import logging
from collections.abc import Callable
from typing import Protocol, TypeVar

import msgspec
from result import Err, Ok

from lacewingdrum_coordination import membership, reclaiming, runner_coordinators
from lacewingdrum_daemon import load_messages
from lacewingdrum_protocol import peer_messages
from lacewingdrum_runtime import tasks
from lacewingdrum_state import fleet, ids, requests
from lacewingdrum_transport import runner_client

POLL_INTERVAL_S = 1.0
REMOTE_INTERVAL_ROUNDS = 5
STARTUP_ROUNDS = 10
NO_LOAD_RETRY_ROUNDS = 30
SUMMARY_VALID_S = 15.0
LOAD_TIMEOUT_S = 0.8
CANCEL_TIMEOUT_S = 0.8

_Body = TypeVar("_Body", bound=msgspec.Struct)

_log = logging.getLogger(__name__)


class Peers(Protocol):
    """The part of ``peering.Peering`` that the monitor uses."""

    def on_message(
        self, body_type: type[_Body], handler: Callable[[ids.VmId, _Body], None]
    ) -> None:
        """Call ``handler`` with each message of a type."""

    def send(self, vm_id: ids.VmId, body: peer_messages.Body) -> bool:
        """Send to one daemon, without waiting."""


class Members(Protocol):
    """The part of ``membership_sync.MembershipSync`` that is used here."""

    @property
    def view(self) -> membership.View:
        """The current view of the fleet."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Round:
    """The state of the fleet during one round.

    ``owners`` are the daemons that may have attempts in flight. They include
    leaving daemons, which are never coordinators.
    """

    number: int
    now_s: float
    live: tuple[fleet.Vm, ...]
    owners: frozenset[ids.VmId]
    runners: dict[ids.RunnerId, fleet.Runner]
    coordinator_ids: dict[ids.RunnerId, ids.VmId]


class LoadMonitor:
    """Monitors the loads and the held memory of the coordinated runners."""

    def __init__(
        self,
        runners: runner_client.RunnerClient,
        peering: Peers,
        members: Members,
        own: tuple[ids.VmId, ids.DataCentre],
        in_flight: Callable[[], tuple[requests.InFlightAttempt, ...]],
        on_load: Callable[[fleet.RunnerLoad], None],
        clock: Callable[[], float],
        poll_s: float = POLL_INTERVAL_S,
    ) -> None:
        self._runners = runners
        self._peering = peering
        self._members = members
        self._vm_id, self._data_centre = own
        self._coordinators = runner_coordinators.RunnerCoordinators(*own)
        self._in_flight = in_flight
        self._on_load = on_load
        self._clock = clock
        self._poll_s = poll_s
        self._reclaimer = reclaiming.MemoryReclaimer()
        self._loads: dict[ids.RunnerId, fleet.RunnerLoad] = {}
        self._coordinator_claims: dict[ids.RunnerId, dict[ids.VmId, float]] = {}
        self._load_retry_rounds: dict[ids.RunnerId, int] = {}
        self._round_number = 0
        self._tasks = tasks.TaskSet()
        peering.on_message(peer_messages.LoadSummary, self._on_load_summary)
        peering.on_message(peer_messages.InFlightReport, self._on_in_flight_report)

    def start(self) -> None:
        """Start the rounds."""
        self._tasks.spawn(self._run())

    async def close(self) -> None:
        """Stop the rounds."""
        await self._tasks.close()

    async def run_round(self) -> None:
        """Report own attempts, read and send loads, and reclaim memory."""
        current_round = self._begin_round()
        own = [
            runner
            for runner_id, runner in current_round.runners.items()
            if current_round.coordinator_ids.get(runner_id) == self._vm_id
        ]
        self._reclaimer.set_coordinated_runners(
            (runner.runner_id for runner in own), current_round.now_s
        )
        self._loads = {
            runner_id: load
            for runner_id, load in self._loads.items()
            if current_round.coordinator_ids.get(runner_id) == self._vm_id
        }
        self._coordinator_claims = {
            runner_id: claims
            for runner_id, claims in self._coordinator_claims.items()
            if runner_id in current_round.runners
        }
        self._report_in_flight(current_round)
        await asyncio.gather(
            *(self._read_load(runner, current_round) for runner in own)
        )
        self._send_summaries(current_round)
        await self._reclaim(current_round)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            start_s = loop.time()
            try:
                await self.run_round()
            except Exception:
                # Keep polling after an unexpected error: without further
                # rounds, no memory would be reclaimed.
                _log.exception("load round failed")
            elapsed_s = loop.time() - start_s
            await asyncio.sleep(max(0.1 * self._poll_s, self._poll_s - elapsed_s))

    def _begin_round(self) -> _Round:
        self._round_number += 1
        now_s = self._clock()
        view = self._members.view
        live = membership.live_vms(view, now_s)
        reachable = membership.reachable_vms(view, now_s)
        runners = {runner.runner_id: runner for runner in view.runners}
        vm_ids = {vm.vm_id for vm in live} | {self._vm_id}
        self._coordinators.set_live_vms(live)
        coordinator_ids = {}
        for runner in runners.values():
            coordinator_id = self._coordinators.coordinator_of(runner)
            if coordinator_id is not None:
                coordinator_ids[runner.runner_id] = coordinator_id
        owners = frozenset((*vm_ids, *reachable))
        return _Round(self._round_number, now_s, live, owners, runners, coordinator_ids)

    def _is_remote_due(self, current_round: _Round) -> bool:
        # A daemon in another data centre cannot place long prompts until it
        # has received the runners' loads, so the first rounds include all
        # daemons.
        return (
            current_round.number <= STARTUP_ROUNDS
            or current_round.number % REMOTE_INTERVAL_ROUNDS == 0
        )

    def _report_in_flight(self, current_round: _Round) -> None:
        """Send each live daemon the attempts at the runners it coordinates.

        A daemon that sent a load summary of a runner within the last
        SUMMARY_VALID_S counts as its coordinator too, even if rendezvous
        hashing picks another daemon here.
        """
        entries: dict[ids.VmId, list[peer_messages.InFlightEntry]] = {}
        own: list[tuple[ids.RunnerId, ids.AttemptId]] = []
        for attempt in self._in_flight():
            own.append((attempt.runner_id, attempt.attempt_id))
            entry = load_messages.in_flight_entry(attempt, current_round.now_s)
            for vm_id in self._coordinators_of(attempt.runner_id, current_round):
                entries.setdefault(vm_id, []).append(entry)
        self._reclaimer.on_daemon_report(self._vm_id, own, current_round.now_s)
        for vm in current_round.live:
            if vm.vm_id == self._vm_id:
                continue
            found = entries.get(vm.vm_id, [])
            is_local = vm.data_centre == self._data_centre
            # A coordinator cancels an attempt only if every live daemon has
            # reported without naming it, so empty reports are sent too.
            if found or is_local or self._is_remote_due(current_round):
                report = peer_messages.InFlightReport(tuple(found))
                self._peering.send(vm.vm_id, report)

    def _coordinators_of(
        self, runner_id: ids.RunnerId, current_round: _Round
    ) -> set[ids.VmId]:
        claims = self._coordinator_claims.get(runner_id, {})
        found = {
            vm_id
            for vm_id, claimed_s in claims.items()
            if current_round.now_s - claimed_s <= SUMMARY_VALID_S
        }
        coordinator_id = current_round.coordinator_ids.get(runner_id)
        if coordinator_id is not None:
            found.add(coordinator_id)
        return found

    async def _read_load(self, runner: fleet.Runner, current_round: _Round) -> None:
        retry_round = self._load_retry_rounds.get(runner.runner_id, 0)
        if current_round.number < retry_round:
            return
        match await self._runners.load(runner, LOAD_TIMEOUT_S):
            case Ok(load):
                self._loads[runner.runner_id] = load
                self._reclaimer.on_runner_load(load, self._clock())
                self._on_load(load)
            case Err(error):
                if error.reason is runner_client.RunnerErrorReason.MALFORMED:
                    # The runner of a plain service reports no load.
                    next_read_round = current_round.number + NO_LOAD_RETRY_ROUNDS
                    self._load_retry_rounds[runner.runner_id] = next_read_round

    def _send_summaries(self, current_round: _Round) -> None:
        now_s = self._clock()
        loads = tuple(
            load_messages.load_entry(load, now_s) for load in self._loads.values()
        )
        if not loads:
            return
        summary = peer_messages.LoadSummary(loads)
        for vm in current_round.live:
            if vm.vm_id == self._vm_id:
                continue
            if vm.data_centre == self._data_centre or self._is_remote_due(
                current_round
            ):
                self._peering.send(vm.vm_id, summary)

    async def _reclaim(self, current_round: _Round) -> None:
        cancels = self._reclaimer.due_cancels(current_round.owners, self._clock())
        await asyncio.gather(
            *(self._cancel(cancel, current_round) for cancel in cancels)
        )

    async def _cancel(self, cancel: reclaiming.Cancel, current_round: _Round) -> None:
        runner = current_round.runners[cancel.runner_id]
        answer = await self._runners.cancel(runner, cancel.attempt_id, CANCEL_TIMEOUT_S)
        if isinstance(answer, Ok):
            self._reclaimer.on_cancel_confirmed(cancel, self._clock())
        _log.info(
            "unowned memory cancelled",
            extra={
                "runner_id": cancel.runner_id,
                "attempt_id": cancel.attempt_id,
                "confirmed": isinstance(answer, Ok),
            },
        )

    def _on_load_summary(
        self, sender: ids.VmId, body: peer_messages.LoadSummary
    ) -> None:
        now_s = self._clock()
        for entry in body.loads:
            load = load_messages.runner_load(entry, now_s)
            self._coordinator_claims.setdefault(load.runner_id, {})[sender] = now_s
            if load.runner_id not in self._loads:
                self._on_load(load)

    def _on_in_flight_report(
        self, sender: ids.VmId, body: peer_messages.InFlightReport
    ) -> None:
        owned = (
            (ids.RunnerId(entry.runner_id), ids.AttemptId(entry.attempt_id))
            for entry in body.entries
        )
        self._reclaimer.on_daemon_report(sender, owned, self._clock())
