"""Reads the loads of runners, tells peers, and reclaims unowned memory.

Each runner is asked by its home alone. The home tells its data centre every
round, the others less often. Each daemon reports its in-flight work to the
homes; a home cancels what an engine holds and no live daemon reported.
"""

import asyncio
import dataclasses
import logging
from collections.abc import Callable
from typing import Protocol, TypeVar

import msgspec
from result import Err, Ok

from lacewingdrum_coordination import membership, reclaiming, runner_coordinators
from lacewingdrum_daemon import load_messages, tasks
from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import fleet, ids, requests
from lacewingdrum_transport import runner_client

POLL_S = 1.0
FAR_ROUNDS = 5
FIRST_ROUNDS = 10
SILENT_ROUNDS = 30
SUMMARY_VALID_S = 15.0
LOAD_TIMEOUT_S = 0.8
CANCEL_TIMEOUT_S = 0.8

_Body = TypeVar("_Body", bound=msgspec.Struct)

_log = logging.getLogger(__name__)


class Peers(Protocol):
    """The calls of ``peering.Peering`` that the keeper makes."""

    def on_message(
        self, body_type: type[_Body], handler: Callable[[ids.VmId, _Body], None]
    ) -> None:
        """Have ``handler`` called with each message of a type."""

    def send(self, vm_id: ids.VmId, body: peer_messages.Body) -> bool:
        """Send to one daemon, without waiting."""


class Members(Protocol):
    """What the keeper needs of ``membership_sync.MembershipSync``."""

    @property
    def view(self) -> membership.View:
        """The members as known now."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Round:
    """The fleet as one round sees it.

    ``owners`` are the daemons that may have attempts in flight: leaving ones
    count among them, though none of those is a home.
    """

    number: int
    now_s: float
    live: tuple[fleet.Vm, ...]
    owners: frozenset[ids.VmId]
    runners: dict[ids.RunnerId, fleet.Runner]
    home_of: dict[ids.RunnerId, ids.VmId]


class LoadMonitor:
    """One daemon's part in keeping track of loads and held memory."""

    def __init__(
        self,
        runners: runner_client.RunnerClient,
        peering: Peers,
        members: Members,
        own: tuple[ids.VmId, ids.DataCentre],
        in_flight: Callable[[], tuple[requests.InFlightAttempt, ...]],
        on_load: Callable[[fleet.RunnerLoad], None],
        clock: Callable[[], float],
        poll_s: float = POLL_S,
    ) -> None:
        self._runners = runners
        self._peering = peering
        self._members = members
        self._vm_id, self._data_centre = own
        self._homes = runner_coordinators.RunnerCoordinators(*own)
        self._in_flight = in_flight
        self._on_load = on_load
        self._clock = clock
        self._poll_s = poll_s
        self._reclaiming = reclaiming.MemoryReclaimer()
        self._loads: dict[ids.RunnerId, fleet.RunnerLoad] = {}
        self._claimed: dict[ids.RunnerId, dict[ids.VmId, float]] = {}
        self._without_load: dict[ids.RunnerId, int] = {}
        self._round_number = 0
        self._tasks = tasks.TaskSet()
        peering.on_message(peer_messages.LoadSummary, self._summary_received)
        peering.on_message(peer_messages.InFlightReport, self._report_received)

    def start(self) -> None:
        """Begin the rounds."""
        self._tasks.spawn(self._run())

    async def close(self) -> None:
        """End the rounds."""
        await self._tasks.close()

    async def run_round(self) -> None:
        """Do what is due once in each poll interval."""
        now = self._see()
        own = [
            runner
            for runner_id, runner in now.runners.items()
            if now.home_of.get(runner_id) == self._vm_id
        ]
        self._reclaiming.set_coordinated_runners(
            (runner.runner_id for runner in own), now.now_s
        )
        self._loads = {
            runner_id: load
            for runner_id, load in self._loads.items()
            if now.home_of.get(runner_id) == self._vm_id
        }
        self._claimed = {
            runner_id: claims
            for runner_id, claims in self._claimed.items()
            if runner_id in now.runners
        }
        self._report_in_flight(now)
        await asyncio.gather(*(self._read_load(runner, now) for runner in own))
        self._send_summaries(now)
        await self._reclaim(now)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            try:
                await self.run_round()
            except Exception:
                # Without rounds no memory would be reclaimed any more.
                _log.exception("load round failed")
            took_s = loop.time() - began_s
            await asyncio.sleep(max(0.1 * self._poll_s, self._poll_s - took_s))

    def _see(self) -> _Round:
        self._round_number += 1
        now_s = self._clock()
        view = self._members.view
        live = membership.live_vms(view, now_s)
        heard = membership.reachable_vms(view, now_s)
        runners = {runner.runner_id: runner for runner in view.runners}
        vm_ids = {vm.vm_id for vm in live} | {self._vm_id}
        self._homes.set_live_vms(live)
        home_of = {}
        for runner in runners.values():
            home = self._homes.coordinator_of(runner)
            if home is not None:
                home_of[runner.runner_id] = home
        owners = frozenset((*vm_ids, *heard))
        return _Round(self._round_number, now_s, live, owners, runners, home_of)

    def _is_far_due(self, now: _Round) -> bool:
        # Far daemons cannot place long prompts before they hear of runners.
        return now.number <= FIRST_ROUNDS or now.number % FAR_ROUNDS == 0

    def _report_in_flight(self, now: _Round) -> None:
        """Tell each home, and each daemon that takes itself for one."""
        entries: dict[ids.VmId, list[peer_messages.InFlightEntry]] = {}
        own: list[tuple[ids.RunnerId, ids.AttemptId]] = []
        for flight in self._in_flight():
            own.append((flight.runner_id, flight.attempt_id))
            entry = load_messages.in_flight_entry(flight, now.now_s)
            for vm_id in self._homes_of(flight.runner_id, now):
                entries.setdefault(vm_id, []).append(entry)
        self._reclaiming.on_daemon_report(self._vm_id, own, now.now_s)
        for vm in now.live:
            if vm.vm_id == self._vm_id:
                continue
            found = entries.get(vm.vm_id, [])
            is_near = vm.data_centre == self._data_centre
            # An empty report is the proof that nothing is owned here.
            if found or is_near or self._is_far_due(now):
                report = peer_messages.InFlightReport(tuple(found))
                self._peering.send(vm.vm_id, report)

    def _homes_of(self, runner_id: ids.RunnerId, now: _Round) -> set[ids.VmId]:
        claims = self._claimed.get(runner_id, {})
        found = {
            vm_id
            for vm_id, heard_s in claims.items()
            if now.now_s - heard_s <= SUMMARY_VALID_S
        }
        home = now.home_of.get(runner_id)
        if home is not None:
            found.add(home)
        return found

    async def _read_load(self, runner: fleet.Runner, now: _Round) -> None:
        retry_round = self._without_load.get(runner.runner_id, 0)
        if now.number < retry_round:
            return
        match await self._runners.load(runner, LOAD_TIMEOUT_S):
            case Ok(load):
                self._loads[runner.runner_id] = load
                self._reclaiming.on_runner_load(load, self._clock())
                self._on_load(load)
            case Err(error):
                if error.reason is runner_client.RunnerErrorReason.MALFORMED:
                    # A plain service's runner has no load to report.
                    again = now.number + SILENT_ROUNDS
                    self._without_load[runner.runner_id] = again

    def _send_summaries(self, now: _Round) -> None:
        now_s = self._clock()
        loads = tuple(
            load_messages.load_entry(load, now_s) for load in self._loads.values()
        )
        if not loads:
            return
        summary = peer_messages.LoadSummary(loads)
        for vm in now.live:
            if vm.vm_id == self._vm_id:
                continue
            if vm.data_centre == self._data_centre or self._is_far_due(now):
                self._peering.send(vm.vm_id, summary)

    async def _reclaim(self, now: _Round) -> None:
        cancels = self._reclaiming.due_cancels(now.owners, self._clock())
        await asyncio.gather(*(self._cancel(cancel, now) for cancel in cancels))

    async def _cancel(self, cancel: reclaiming.Cancel, now: _Round) -> None:
        runner = now.runners[cancel.runner_id]
        answer = await self._runners.cancel(runner, cancel.attempt_id, CANCEL_TIMEOUT_S)
        if isinstance(answer, Ok):
            self._reclaiming.on_cancel_confirmed(cancel, self._clock())
        _log.info(
            "unowned memory cancelled",
            extra={
                "runner_id": cancel.runner_id,
                "attempt_id": cancel.attempt_id,
                "confirmed": isinstance(answer, Ok),
            },
        )

    def _summary_received(
        self, sender: ids.VmId, body: peer_messages.LoadSummary
    ) -> None:
        now_s = self._clock()
        for entry in body.loads:
            load = load_messages.runner_load(entry, now_s)
            self._claimed.setdefault(load.runner_id, {})[sender] = now_s
            if load.runner_id not in self._loads:
                self._on_load(load)

    def _report_received(
        self, sender: ids.VmId, body: peer_messages.InFlightReport
    ) -> None:
        owned = (
            (ids.RunnerId(entry.runner_id), ids.AttemptId(entry.attempt_id))
            for entry in body.entries
        )
        self._reclaiming.on_daemon_report(sender, owned, self._clock())
