"""Finds out whether this daemon is cut off from all runners."""

import asyncio
import random
from collections.abc import Callable

from lacewingdrum_coordination import runner_health, runner_reach, runner_roster
from lacewingdrum_gateway.runners import runner_probe
from lacewingdrum_runtime import decision_log, metrics, tasks
from lacewingdrum_state import runner_entries
from lacewingdrum_transport import connector, http_client

CHECK_TIMEOUT_S = 0.25
RECHECK_INTERVAL_S = 0.25
# Attempts that wait for a runner are given up if the daemon is cut off and no
# runner has sent anything for this time.
SILENCE_MIN_S = 0.5
# Suspicions from this time before a cut was noticed are ascribed to it.
NOTICE_MAX_S = 2.0

Reachability = runner_probe.Reachability


class ReachMonitor:
    """Checks runners after failures, and while this daemon is cut off."""

    def __init__(
        self,
        roster: runner_roster.RunnerRoster,
        health: runner_health.RunnerHealth,
        client: http_client.HttpClient,
        connect: connector.Connect,
        clock: Callable[[], float],
        rng: random.Random,
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._reach = runner_reach.RunnerReach()
        self._roster = roster
        self._health = health
        self._client = client
        self._connect = connect
        self._clock = clock
        self._rng = rng
        self._decisions = decisions
        self._counts = counts
        self._check: asyncio.Task[None] | None = None
        self._after_check: list[Callable[[], None]] = []
        self._change_handlers: list[Callable[[], None]] = []
        self._silence_handlers: list[Callable[[], None]] = []
        self._tasks = tasks.TaskSet()

    @property
    def is_cut_off(self) -> bool:
        """Whether no runner accepts connections from this daemon."""
        return self._reach.is_cut_off

    async def close(self) -> None:
        """Cancel all checks."""
        await self._tasks.close()

    def on_change(self, handler: Callable[[], None]) -> None:
        """Register a handler for the start and the end of being cut off."""
        self._change_handlers.append(handler)

    def on_silence(self, handler: Callable[[], None]) -> None:
        """Register a handler that gives up attempts on silent connections."""
        self._silence_handlers.append(handler)

    def record_contact(self) -> None:
        """Record that something arrived from a runner."""
        self._reach.record_contact(self._clock())

    def report_unconnected(self, since_s: float) -> None:
        """Report a connection that was not established.

        Args:
            since_s: when it was begun.
        """
        if self._client.last_connected_s <= since_s:
            self._start_check()

    def report_silence(self, since_s: float) -> None:
        """Report an attempt without an answer.

        Args:
            since_s: when it was sent.
        """
        if self._reach.is_silent_since(since_s):
            self._start_check()

    async def wait_for_check(self) -> None:
        """Wait until the check that is running, if any, has ended."""
        if self._check is not None:
            await asyncio.wait((self._check,))

    async def confirm_cut_off(self) -> bool:
        """Check now unless that was just done; return ``is_cut_off``."""
        self._start_check()
        await self.wait_for_check()
        return self.is_cut_off

    def call_unless_cut_off(self, action: Callable[[], None]) -> None:
        """Call an action, after the check that is running if there is one.

        Args:
            action: tells of a failure that says nothing if this daemon is
                cut off.
        """
        if self._check is not None:
            self._after_check.append(action)
        elif not self.is_cut_off:
            action()

    def _start_check(self) -> None:
        """Start a check unless one runs, is recent or cannot tell more."""
        is_due = not self.is_cut_off and not self._reach.is_check_valid(self._clock())
        if self._check is None and is_due:
            self._check = self._tasks.spawn(self._check_runners())

    async def _check_runners(self) -> None:
        entries = runner_reach.pick_for_check(
            self._roster.runners, frozenset(self._health.suspects), self._rng
        )
        try:
            found = await self._probe(entries)
        finally:
            self._check = None
        accepted = [item is Reachability.ACCEPTED for item in found]
        if self._reach.apply_check(accepted, self._clock()):
            self._on_cut_off(Reachability.UNREACHABLE in found)
        actions, self._after_check = self._after_check, []
        for action in actions:
            self.call_unless_cut_off(action)

    def _on_cut_off(self, is_hanging: bool) -> None:
        silent_s = self._reach.silent_s(self._clock())
        self._record("cut_off", is_hanging=is_hanging, silent_s=round(silent_s, 3))
        self._tasks.spawn(self._recheck())
        for handler in self._change_handlers:
            handler()
        if is_hanging and silent_s >= SILENCE_MIN_S:
            for handler in self._silence_handlers:
                handler()

    async def _recheck(self) -> None:
        """Check a few runners again and again until one accepts."""
        since_s = self._reach.cut_off_since_s
        while self.is_cut_off:
            await asyncio.sleep(RECHECK_INTERVAL_S)
            entries = runner_reach.pick_for_recheck(self._roster.runners, self._rng)
            found = await self._probe(entries)
            accepted = [item is Reachability.ACCEPTED for item in found]
            self._reach.apply_check(accepted, self._clock())
        # Suspicions of before were told by their own evidence.
        self._health.clear_suspicions_since(since_s - NOTICE_MAX_S)
        self._record("reached", cut_off_s=round(self._clock() - since_s, 3))
        for handler in self._change_handlers:
            handler()

    async def _probe(
        self, entries: list[runner_entries.RunnerEntry]
    ) -> list[runner_probe.Reachability]:
        """Return what was found until one runner accepted, or of all."""
        probes = [
            asyncio.ensure_future(
                runner_probe.probe(entry.address, CHECK_TIMEOUT_S, self._connect)
            )
            for entry in entries
        ]
        found: list[runner_probe.Reachability] = []
        try:
            for probe in asyncio.as_completed(probes):
                found.append(await probe)
                if found[-1] is Reachability.ACCEPTED:
                    break
        finally:
            for running in probes:
                running.cancel()
        return found

    def _record(self, change: str, **fields: object) -> None:
        self._counts.count("reach_changes", change=change)
        self._decisions.record(
            decision_log.DecisionEvent.REACH_CHANGED, None, change=change, **fields
        )
