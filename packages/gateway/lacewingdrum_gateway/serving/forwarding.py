"""Forwards a request: attempts, retries and the answer to the caller."""

import enum
from collections.abc import Callable

from lacewingdrum_coordination import runner_health, short_room
from lacewingdrum_gateway.crashes import crash_watch
from lacewingdrum_gateway.peers import peering
from lacewingdrum_gateway.runners import reach_monitor, work_sync
from lacewingdrum_gateway.serving import (
    active_request,
    attempt as attempts,
    attempt_ends,
    attempt_log,
    attempt_race,
    caller_ends,
    exchange as exchanges,
    final_answers,
    lost_runners,
    open_attempt,
    outcomes,
    plans,
    relay as relays,
    retry_limits,
    retry_permits,
    room_control,
    routing,
    silence_watch,
)
from lacewingdrum_state import ids, runner_entries

# Attempts end by themselves at the deadline of their request; their ends are
# awaited for this long after it.
DEADLINE_GRACE_S = 0.05
# How often the write of a whole answer is looked at. The responder limits the
# time of the write itself.
WRITE_CHECK_INTERVAL_S = 1.0


class Step(enum.Enum):
    """What has been done to get an answer besides the open attempts."""

    STARTED = "started"
    WAIT = "wait"
    PUT_OFF = "put_off"


class Forwarder:
    """Makes attempts for requests until each has one answer."""

    def __init__(
        self,
        sender: attempts.AttemptSender,
        planner: routing.Planner,
        exchange: exchanges.Exchange,
        relay: relays.Relay,
        reach: reach_monitor.ReachMonitor,
        silences: silence_watch.SilenceWatch,
        permits: retry_permits.RetryPermits,
        work_updates: work_sync.WorkSync,
        health: runner_health.RunnerHealth,
        lost_runners: lost_runners.LostRunners,
        crashes: crash_watch.CrashWatch,
        answers: final_answers.FinalAnswers,
        room: room_control.RoomControl | None,
        log: attempt_log.AttemptLog,
        clock: Callable[[], float],
    ) -> None:
        self._sender = sender
        self._planner = planner
        self._exchange = exchange
        self._relay = relay
        self._reach = reach
        self._silences = silences
        self._retryable: set[active_request.ActiveRequest] = set()
        self._permits = permits
        self._work_updates = work_updates
        self._health = health
        self._lost_runners = lost_runners
        self._crashes = crashes
        self._final_answers = answers
        self._room = room
        self._log = log
        self._clock = clock

    async def forward(self, active: active_request.ActiveRequest) -> outcomes.Outcome:
        """Make attempts until the caller has an answer.

        Args:
            active: the request.

        Returns:
            The outcome; the caller has its answer or its connection is closed.
        """
        if active.routed.route.is_retryable:
            self._retryable.add(active)
        try:
            return await self._forward(active)
        finally:
            self._retryable.discard(active)
            for ended in await active.race.close():
                self._record_end(active, ended)

    def record_lost_paths(self) -> None:
        """Let requests go on elsewhere, as this daemon reaches no runner."""
        for active in self._retryable:
            active.race.record_lost_paths(open_attempt.OpenAttempt.is_at_runner)

    def record_born_again(self, entry: runner_entries.RunnerEntry) -> None:
        """Let requests go on elsewhere that an earlier incarnation had.

        Their attempts stay open, as the list may have been behind when they
        were made.
        """
        for active in self._retryable:
            active.race.record_lost_paths(
                lambda attempt: attempt.is_planned_before(entry)
            )

    def record_lost_peer(self, address: ids.VmId) -> None:
        """Let requests go on elsewhere that are at a peer that fell silent."""
        for active in self._retryable:
            active.race.record_lost_paths(lambda attempt: attempt.is_at_peer(address))

    async def _forward(self, active: active_request.ActiveRequest) -> outcomes.Outcome:
        may_start = True
        responder = active.responder
        while (left_s := active.left_s(self._clock())) > 0 and not responder.finished:
            self._silences.update(active)
            may_start = self._lost_runners.record_known(active) or may_start
            if active.race.waits_for_none:
                await self._reach.wait_for_check()
            is_due = may_start and active.race.waits_for_none
            is_due = is_due and await caller_ends.may_send(active)
            step = await self._start_next(active) if is_due else Step.WAIT
            if isinstance(step, outcomes.Outcome):
                return step
            if step is Step.PUT_OFF:
                continue
            if not active.race.attempts:
                break
            wait_s = self._silences.until_next_s(active)
            wait_s = min(wait_s, left_s + DEADLINE_GRACE_S)
            for ended in await self._wait_for_ends(active, wait_s):
                if isinstance(ended.result, outcomes.Outcome):
                    return ended.result
                if responder.is_disconnected:
                    return outcomes.Outcome.CALLER_GONE
                may_start = await self._apply_end(active, ended.attempt, ended.result)
        if responder.finished:
            return await self._deliver(active)
        return await self._final_answers.give_up(active)

    async def _deliver(self, active: active_request.ActiveRequest) -> outcomes.Outcome:
        """Wait until a whole answer is written, also beyond the deadline."""
        while active.race.attempts:
            for ended in await self._wait_for_ends(active, WRITE_CHECK_INTERVAL_S):
                if isinstance(ended.result, outcomes.Outcome):
                    return ended.result
        return outcomes.Outcome.CALLER_GONE

    async def _wait_for_ends(
        self, active: active_request.ActiveRequest, timeout_s: float
    ) -> list[attempt_race.EndedAttempt]:
        """Wait until attempts have ended, and record all of them.

        The caller of this method may be cancelled while it applies one end.
        """
        all_ended = await active.race.wait(timeout_s)
        for ended in all_ended:
            self._record_end(active, ended)
        return all_ended

    async def _start_next(
        self, active: active_request.ActiveRequest
    ) -> outcomes.Outcome | Step:
        """Start the next attempt if one is allowed, or refuse the request."""
        if not retry_limits.may_start(active) or self._permits.lacks_retry(active):
            return Step.WAIT
        blame = self._crashes.find_blame(active)
        if blame is not None and not self._crashes.start_trial(active, blame):
            if active.may_have_run:
                return Step.WAIT
            return await self._final_answers.refuse_blamed(active, blame)
        peer = self._relay.pick_peer(active)
        if peer is not None:
            return self._start_at_peer(active, peer)
        if self._relay.has_no_path(active):
            return Step.WAIT
        self._record_request(active)
        plan = self._plan(active)
        if plan is None:
            return Step.WAIT
        if self._room is not None:
            match self._room.decide(active, plan):
                case room_control.Refusal() as refusal:
                    return await self._final_answers.refuse_without_room(
                        active, refusal
                    )
                case short_room.PutOff() as put_off:
                    await self._room.wait(active, plan, put_off)
                    return Step.PUT_OFF
        if isinstance(plan, plans.TooCostly):
            if self._room is None:
                return await self._final_answers.refuse_costly(active, plan)
            plan = plan.plan
        if not self._permits.take(active):
            return Step.WAIT
        return self._start_at_runner(active, plan)

    def _plan(
        self, active: active_request.ActiveRequest
    ) -> plans.Plan | plans.TooCostly | None:
        """Plan an attempt, at a runner that had the request if need be."""
        while True:
            plan = self._planner.plan(
                active.routed,
                active.excluded,
                active.only_runner,
                not active.may_have_run,
                self._room.over_share(active) if self._room is not None else "",
                active.put_off_until_s is not None,
            )
            may_repeat = plan is None and active.only_runner is None
            if not may_repeat or not retry_limits.allow_repeat(active):
                return plan

    def _start_at_peer(
        self, active: active_request.ActiveRequest, peer: peering.Peer
    ) -> Step:
        if not self._permits.take(active):
            return Step.WAIT
        attempt = self._relay.new_attempt(active, peer)
        active.race.start(attempt, self._relay.run(active, attempt, peer))
        return Step.STARTED

    def _start_at_runner(
        self, active: active_request.ActiveRequest, plan: plans.Plan
    ) -> Step:
        source = self._exchange.source(active, plan)
        attempt = active.new_attempt(source, self._clock())
        self._log.record_plan(active, plan)
        self._planner.candidates.record_plan(plan.entry)
        active.race.start(attempt, self._exchange.run(active, attempt, source))
        return Step.STARTED

    async def _apply_end(
        self,
        active: active_request.ActiveRequest,
        attempt: open_attempt.OpenAttempt,
        end: attempt_ends.AttemptEnd,
    ) -> bool:
        """Apply an end to what follows; return whether an attempt may."""
        match attempt.source:
            case open_attempt.PeerSource():
                return retry_limits.apply_relay_end(active, end, attempt.was_silent)
            case open_attempt.RunnerSource(plan):
                return await self._apply_runner_end(active, plan, attempt, end)

    async def _apply_runner_end(
        self,
        active: active_request.ActiveRequest,
        plan: plans.Plan,
        attempt: open_attempt.OpenAttempt,
        end: attempt_ends.AttemptEnd,
    ) -> bool:
        event_count = attempt.events.run_event_count
        if not await self._crashes.observe(active, plan.entry, end, event_count):
            active.may_crash_runners = True
            return False
        is_suspect = self._health.is_suspect(plan.entry.runner_id)
        refused_help = retry_limits.apply_end(active, plan, end, is_suspect)
        if refused_help is not None:
            self._work_updates.record_help_refused(refused_help)
        await self._reach.wait_for_check()
        left_s = active.left_s(self._clock())
        await self._lost_runners.check(active, left_s - retry_limits.RETRY_MIN_LEFT_S)
        left_s = active.left_s(self._clock())
        may_retry = retry_limits.may_retry(active, end, left_s)
        return may_retry or self._relay.pick_peer(active) is not None

    def _record_request(self, active: active_request.ActiveRequest) -> None:
        """Count a request of which this daemon makes the first attempt."""
        if not active.is_counted:
            active.is_counted = True
            self._permits.record_request(active)
            self._crashes.record_request(active)

    def _record_end(
        self,
        active: active_request.ActiveRequest,
        ended: attempt_race.EndedAttempt,
    ) -> None:
        """Record an end, and what it shows of the source of the attempt."""
        attempt, end = ended.attempt, ended.end
        if end is not None:
            active.ends.append(end)
        if end is None or end.reason is not attempt_ends.EndReason.SUPERSEDED:
            active.record_end(attempt)
        match attempt.source:
            case open_attempt.PeerSource():
                self._relay.record_end(ended.result)
            case open_attempt.RunnerSource(plan):
                self._sender.record_end(
                    plan.entry, end, attempt.started_s, attempt.was_silent
                )
                if end is None:
                    self._crashes.record_whole(active)
                self._log.record_end(active, attempt, plan, end)
