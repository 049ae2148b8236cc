"""Finds memory that an engine holds for an attempt that no daemon owns.

Such memory is left behind by a killed daemon, a lost cancel or an import whose
reply was lost. A runner's coordinator compares the memory that the engine
lists as held with the attempts that the live daemons report as in flight, and
cancels the attempts that no daemon reports.

An attempt counts as unowned only if every live daemon has sent a report at
least ``REPORT_DELAY_S`` after its memory was first seen without an owner, and
none names it. A daemon whose last report is older may still own it.
"""

import dataclasses
from collections.abc import Iterable

from lacewingdrum_state import fleet, ids

# An attempt must have had no owner for this long before it is cancelled.
UNOWNED_GRACE_S = 5.0
# Each live daemon must have sent a report at least this long after the attempt
# was first seen without an owner.
REPORT_DELAY_S = 3.0
# A new coordinator of a runner cancels no attempts there for this long.
NEW_COORDINATOR_DELAY_S = 10.0
CANCEL_RETRY_S = 1.0

_AttemptAtRunner = tuple[ids.RunnerId, ids.AttemptId]


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """An attempt that must be cancelled at a runner."""

    runner_id: ids.RunnerId
    attempt_id: ids.AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    received_s: float
    owned: frozenset[_AttemptAtRunner]


@dataclasses.dataclass(slots=True)
class _Unowned:
    """Memory of an attempt that no live daemon named since ``since_s``."""

    since_s: float
    next_cancel_s: float = 0.0


class MemoryReclaimer:
    """Compares held memory with its owners for one coordinator's runners."""

    def __init__(self) -> None:
        self._reports: dict[ids.VmId, _Report] = {}
        self._coordinator_since_s: dict[ids.RunnerId, float] = {}
        self._held: dict[ids.RunnerId, frozenset[ids.AttemptId]] = {}
        self._unowned: dict[_AttemptAtRunner, _Unowned] = {}
        self._confirmed: dict[_AttemptAtRunner, float] = {}

    def set_coordinated_runners(
        self, runner_ids: Iterable[ids.RunnerId], now_s: float
    ) -> None:
        """Set the runners that this daemon coordinates, and drop the others.

        Args:
            runner_ids: all runners that this daemon coordinates.
            now_s: the time since which new runners are coordinated.
        """
        coordinated = set(runner_ids)
        for runner_id in self._coordinator_since_s.keys() - coordinated:
            del self._coordinator_since_s[runner_id]
            self._replace_held(runner_id, frozenset())
        self._confirmed = {
            key: confirmed_s
            for key, confirmed_s in self._confirmed.items()
            if key[0] in coordinated
        }
        for runner_id in coordinated:
            self._coordinator_since_s.setdefault(runner_id, now_s)

    def on_daemon_report(
        self,
        vm_id: ids.VmId,
        owned: Iterable[tuple[ids.RunnerId, ids.AttemptId]],
        now_s: float,
    ) -> None:
        """Record all attempts that a daemon has in flight at these runners.

        Args:
            vm_id: the daemon's VM.
            owned: the daemon's attempts, each with its runner.
            now_s: when the report arrived.
        """
        self._reports[vm_id] = _Report(now_s, frozenset(owned))

    def on_runner_load(self, load: fleet.RunnerLoad, now_s: float) -> None:
        """Record the memory that an engine lists as held.

        Args:
            load: the engine's report, which was true at its ``as_of_s``.
            now_s: when the report arrived.
        """
        if load.runner_id not in self._coordinator_since_s:
            return
        attempts = set()
        for held in load.held:
            confirmed_s = self._confirmed.get((load.runner_id, held.attempt_id))
            # A report from before the confirmed cancel still names the
            # attempt.
            if confirmed_s is None or load.as_of_s > confirmed_s:
                attempts.add(held.attempt_id)
        self._replace_held(load.runner_id, frozenset(attempts))
        for attempt_id in attempts:
            self._unowned.setdefault((load.runner_id, attempt_id), _Unowned(now_s))
        self._confirmed = {
            key: confirmed_s
            for key, confirmed_s in self._confirmed.items()
            if key[0] != load.runner_id or load.as_of_s <= confirmed_s
        }

    def on_cancel_confirmed(self, cancel: Cancel, now_s: float) -> None:
        """Record that an engine confirmed a cancel.

        Args:
            cancel: the cancel.
            now_s: when the engine's answer arrived.
        """
        key = (cancel.runner_id, cancel.attempt_id)
        self._confirmed[key] = now_s
        held = self._held.get(cancel.runner_id, frozenset())
        self._replace_held(cancel.runner_id, held - {cancel.attempt_id})

    def due_cancels(
        self, live_vm_ids: Iterable[ids.VmId], now_s: float
    ) -> tuple[Cancel, ...]:
        """Return the attempts that must be cancelled now.

        Args:
            live_vm_ids: the VMs whose daemons count as live.
            now_s: the time on the daemon's monotonic clock.

        Returns:
            The cancels. Each is returned again after ``CANCEL_RETRY_S`` until
            it is confirmed.
        """
        live = frozenset(live_vm_ids)
        self._reports = {
            vm_id: report for vm_id, report in self._reports.items() if vm_id in live
        }
        owned: set[_AttemptAtRunner] = set()
        for report in self._reports.values():
            owned |= report.owned
        oldest_report_s = min(
            (self._last_report_s(vm_id) for vm_id in live), default=float("-inf")
        )
        found = []
        for key, unowned in self._unowned.items():
            if key in owned:
                unowned.since_s = now_s
            elif self._is_due(key, unowned, oldest_report_s, now_s):
                unowned.next_cancel_s = now_s + CANCEL_RETRY_S
                found.append(Cancel(*key))
        return tuple(found)

    def _last_report_s(self, vm_id: ids.VmId) -> float:
        report = self._reports.get(vm_id)
        return float("-inf") if report is None else report.received_s

    def _is_due(
        self,
        key: _AttemptAtRunner,
        unowned: _Unowned,
        oldest_report_s: float,
        now_s: float,
    ) -> bool:
        earliest_s = self._coordinator_since_s[key[0]] + NEW_COORDINATOR_DELAY_S
        if now_s < max(
            earliest_s, unowned.since_s + UNOWNED_GRACE_S, unowned.next_cancel_s
        ):
            return False
        return oldest_report_s >= unowned.since_s + REPORT_DELAY_S

    def _replace_held(
        self, runner_id: ids.RunnerId, attempts: frozenset[ids.AttemptId]
    ) -> None:
        before = self._held.get(runner_id, frozenset())
        for attempt_id in before - attempts:
            self._unowned.pop((runner_id, attempt_id), None)
        if attempts:
            self._held[runner_id] = attempts
        else:
            self._held.pop(runner_id, None)
