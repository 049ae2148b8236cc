"""Watches for requests that crash runners."""

import collections
from collections.abc import Callable

from lacewingdrum_coordination import (
    coordinators,
    part_shares,
    recent_answers,
    runner_roster,
)
from lacewingdrum_gateway.crashes import crash_sync
from lacewingdrum_gateway.peers import peer_table
from lacewingdrum_gateway.runners import reach_monitor, runner_probe
from lacewingdrum_gateway.serving import active_request, attempt_ends
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import crashes, ids, runner_entries
from lacewingdrum_transport import connector

PROBE_TIMEOUT_S = 0.25
PROBE_TIME_LEFT_SHARE = 0.1
# An answer with this many events has begun well; so has a shorter whole one.
SOUND_EVENTS = 3


class CrashWatch:
    """Records crashes and sound answers, and finds what is blamed."""

    def __init__(
        self,
        crash_updates: crash_sync.CrashSync,
        roster: runner_roster.RunnerRoster,
        peers: peer_table.PeerTable,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
        connect: connector.Connect,
        reach: reach_monitor.ReachMonitor,
    ) -> None:
        self._connect = connect
        self._reach = reach
        self._updates = crash_updates
        self._evidence = crash_updates.evidence
        self._roster = roster
        self._peers = peers
        self._clock = clock
        self._decisions = decisions
        self._counts = counts
        self._shares: collections.defaultdict[
            ids.ServiceName, part_shares.PartShares
        ] = collections.defaultdict(part_shares.PartShares)
        self._answers = recent_answers.RecentAnswers()
        self._blamed: set[crashes.Subject] = set()
        self._blame_handlers: list[Callable[[], None]] = []

    def start(self) -> None:
        """Begin to act on evidence."""
        self._updates.on_news(self._on_news)

    def on_blamed(self, handler: Callable[[], None]) -> None:
        """Register a handler that is called when something else is blamed."""
        self._blame_handlers.append(handler)

    def record_request(self, active: active_request.ActiveRequest) -> None:
        """Record a request that is not refused, before its first attempt."""
        if active.shared_parts:
            name = active.routed.service.name
            self._shares[name].record(active.shared_parts)

    def find_blame(self, active: active_request.ActiveRequest) -> crashes.Blame | None:
        """Return why a request is to be refused, or None."""
        if not self._evidence.has_crashes:
            return None
        if not self._evidence.suspected(active.subjects):
            return None
        shares = self._shares[active.routed.service.name]
        exempt = shares.in_nearly_all(active.shared_parts)
        return self._evidence.find_blame(
            active.subjects, frozenset(map(crashes.SharedPart, exempt))
        )

    def start_trial(
        self, active: active_request.ActiveRequest, blame: crashes.Blame
    ) -> bool:
        """Let a request through now and then, to see if it crashes still.

        Args:
            active: the request.
            blame: why it would be refused.

        Returns:
            Whether the request is let through; one daemon of all does so.
        """
        if self._clock() < blame.trial_due_s:
            return False
        daemons = [peer.address for peer in self._peers.live]
        daemons.append(self._peers.own_address)
        if coordinators.pick_vm(str(blame.subject), daemons) != self._peers.own_address:
            return False
        active.is_trial = True
        self._updates.start_trial(blame.subject)
        return True

    def record_begun(self, active: active_request.ActiveRequest) -> None:
        """Record that an answer began well, which speaks for its parts."""
        if self._evidence.has_crashes:
            self._clear(_parts_of(active.subjects))

    def record_whole(self, active: active_request.ActiveRequest) -> None:
        """Record a whole answer, which speaks for all subjects."""
        self._answers.record(active.quick_key, self._clock())
        if self._evidence.has_crashes:
            self._clear(active.subjects)

    def _clear(self, subjects: crashes.Subjects) -> None:
        suspected = self._evidence.suspected(subjects)
        if suspected:
            now_s = self._clock()
            sound = tuple(crashes.SoundSubject(item, now_s) for item in suspected)
            self._updates.add(crashes.Evidence(sound=sound))

    async def observe(
        self,
        active: active_request.ActiveRequest,
        entry: runner_entries.RunnerEntry,
        end: attempt_ends.AttemptEnd,
        event_count: int,
    ) -> bool:
        """Record the crash of a runner if that ended an attempt.

        Args:
            active: the request.
            entry: the runner of the attempt.
            end: how the attempt ended.
            event_count: the number of events that it brought.

        Returns:
            Whether the request may be repeated. It may not if it probably
            crashes runners.
        """
        if end.reason is not attempt_ends.EndReason.LOST:
            return True
        if not await self._has_crashed(entry, active):
            return True
        # An answer that began clears the parts, but not the whole request.
        had_begun = event_count >= SOUND_EVENTS
        whole = crashes.WholeRequest(active.fingerprint)
        lost = (whole,) if had_begun else active.subjects
        self._record_crash(active, entry, lost, event_count)
        if had_begun or self._evidence.may_repeat(lost):
            return True
        self._counts.count("repeats_refused", reason="crashes_runners")
        self._decisions.record(
            decision_log.DecisionEvent.REPEAT_REFUSED,
            active.request_id,
            reason="crashes_runners",
            subjects=self._evidence.suspected(lost),
        )
        return False

    def _record_crash(
        self,
        active: active_request.ActiveRequest,
        entry: runner_entries.RunnerEntry,
        lost: crashes.Subjects,
        event_count: int,
    ) -> None:
        self._counts.count("runner_crashes")
        self._decisions.record(
            decision_log.DecisionEvent.RUNNER_CRASHED,
            active.request_id,
            runner_id=entry.runner_id,
            born_ms=entry.born_ms,
            service=entry.service,
            fingerprint=active.fingerprint,
            lost_parts=list(active.shared_parts),
            events=event_count,
        )
        crash = crashes.RunnerCrash(
            entry.runner_id,
            entry.born_ms,
            self._clock(),
            frozenset((lost,)),
            frozenset((self._peers.own_address,)),
        )
        self._updates.add(crashes.Evidence((crash,), self._recent_sound(active)))

    def _recent_sound(
        self, active: active_request.ActiveRequest
    ) -> tuple[crashes.SoundSubject, ...]:
        """Return the last whole answer to a request, from before its crash."""
        last_s = self._answers.last_s(active.quick_key)
        if last_s is None:
            return ()
        whole = crashes.WholeRequest(active.fingerprint)
        return (crashes.SoundSubject(whole, last_s),)

    async def _has_crashed(
        self, entry: runner_entries.RunnerEntry, active: active_request.ActiveRequest
    ) -> bool:
        """Return whether a runner ended that was not about to leave.

        A request that has little time left waits less long for the probe.
        """
        if entry not in self._roster.of_service(entry.service):
            return False
        left_s = active.left_s(self._clock())
        timeout_s = min(PROBE_TIMEOUT_S, PROBE_TIME_LEFT_SHARE * left_s)
        found = await runner_probe.probe(entry.address, timeout_s, self._connect)
        if found is not runner_probe.Reachability.REFUSED:
            return False
        return not await self._reach.confirm_cut_off()

    def _on_news(self, news: crashes.Evidence) -> None:
        """Log subjects that are blamed or cleared now."""
        for sound in news.sound:
            if sound.subject in self._blamed:
                self._blamed.discard(sound.subject)
                self._record_change("cleared", sound.subject)
        lost = {request for crash in news.crashes for request in crash.lost}
        found = [self._find_blame_anywhere(request) for request in lost]
        blames = {blame.subject: blame for blame in found if blame is not None}
        new = blames.keys() - self._blamed
        for subject in new:
            self._blamed.add(subject)
            fields = describe(blames[subject], self._clock())
            self._record_change("blamed", subject, **fields)
        if new:
            for handler in self._blame_handlers:
                handler()

    def _find_blame_anywhere(self, request: crashes.Subjects) -> crashes.Blame | None:
        parts = tuple(item.part for item in _parts_of(request))
        exempt = [shares.in_nearly_all(parts) for shares in self._shares.values()]
        exempt_parts = frozenset().union(*exempt)
        return self._evidence.find_blame(
            request, frozenset(map(crashes.SharedPart, exempt_parts))
        )

    def _record_change(
        self, change: str, subject: crashes.Subject, **fields: object
    ) -> None:
        match subject:
            case crashes.SharedPart():
                event = decision_log.DecisionEvent.PROMPT_PART_CHANGED
                self._counts.count("prompt_part_changes", change=change)
            case crashes.WholeRequest():
                event = decision_log.DecisionEvent.CRASHING_REQUEST_CHANGED
                self._counts.count("crashing_request_changes", change=change)
        named = describe_subject(subject)
        self._decisions.record(event, None, change=change, **named, **fields)


def refusal_reason(subject: crashes.Subject) -> str:
    """Return the reason that callers and logs get for a refusal."""
    match subject:
        case crashes.SharedPart():
            return "part_crashes_engines"
        case crashes.WholeRequest():
            return "request_crashes_runners"


def describe_subject(subject: crashes.Subject) -> dict[str, object]:
    """Return the log field that names a subject."""
    match subject:
        case crashes.SharedPart(part):
            return {"part": part}
        case crashes.WholeRequest(fingerprint):
            return {"fingerprint": fingerprint}


def describe(blame: crashes.Blame, now_s: float) -> dict[str, object]:
    """Return log fields that name the crashes behind a blame."""
    return {
        "crashes": [
            f"{crash.runner_id} {now_s - crash.at_s:.1f} s ago by "
            + ", ".join(sorted(crash.reporters))
            for crash in blame.crashes[-8:]
        ],
        "crash_count": len(blame.crashes),
        "trial_in_s": round(max(blame.trial_due_s - now_s, 0.0), 1),
    }


def _parts_of(subjects: crashes.Subjects) -> tuple[crashes.SharedPart, ...]:
    return tuple(item for item in subjects if isinstance(item, crashes.SharedPart))
