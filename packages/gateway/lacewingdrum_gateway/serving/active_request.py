"""The state of a request that is being forwarded."""

import dataclasses

from lacewingdrum_coordination import recent_answers, request_fingerprint
from lacewingdrum_gateway.serving import (
    attempt,
    attempt_ends,
    attempt_race,
    open_attempt,
    plans,
)
from lacewingdrum_protocol import event_stream
from lacewingdrum_state import crashes, ids, runner_entries, states
from lacewingdrum_transport import responder as responders


@dataclasses.dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request that is being forwarded, and its attempts so far.

    ``race`` runs the attempts that have not ended. ``events`` are those of the
    attempt that the caller was sent an event of last, or that ended last.
    ``excluded`` holds the runners that the next attempt must not use.
    ``sent_to`` holds the runners that the request was sent to, including those
    that refused it. ``only_runner`` is set if a helper failed and the route
    allows no further runner; the request may then be retried only at that
    runner, with other helpers, or if the request is repeated there.
    ``last_attempt`` is the attempt that answered or ended last.
    ``repeat_at`` is a runner that the request may be sent to again, and
    ``repeat_count`` counts such repeats. ``suspects`` holds the entries of
    runners that were suspect while they had the request, or after they had
    failed with it, and ``lost_runners`` those of them that are known to have
    ended or to be cut off. ``is_blamed`` is set if the request is ended
    because its prompt probably crashes engines,
    ``is_ended_early`` if because its answer would begin too late in a stop,
    ``has_caller_left`` if because its caller has left, ``is_caller_waiting``
    once a caller that has ended its stream is known to wait, and
    ``is_trial`` if it was let through to find out whether it does.
    ``is_relayed`` is set if a daemon that reaches no runner has passed the
    request on, after it had sent it to ``earlier_runner_count`` runners;
    ``is_counted`` once this daemon has begun to serve it by itself, and
    ``relayed_to`` holds the daemons that this one has passed it on to.
    ``may_crash_runners`` is set if it is not sent on for that reason, and
    ``is_retry_refused`` while the retry allowance has none for it.
    ``has_returned`` says whether its caller came back after a refusal, once
    that was looked at. ``put_off_until_s`` is set once it has been put off as
    room was short, and ``put_off_s`` is for how long it was.
    """

    routed: plans.RoutedRequest
    outgoing: attempt.Outgoing
    responder: responders.Responder
    events: event_stream.EventStream
    config_version: int
    race: attempt_race.AttemptRace = dataclasses.field(
        default_factory=attempt_race.AttemptRace
    )
    last_attempt: open_attempt.OpenAttempt | None = None
    excluded: set[ids.RunnerId] = dataclasses.field(default_factory=set)
    ends: list[attempt_ends.AttemptEnd] = dataclasses.field(default_factory=list)
    attempt_count: int = 0
    sent_to: set[ids.RunnerId] = dataclasses.field(default_factory=set)
    only_runner: ids.RunnerId | None = None
    repeat_at: ids.RunnerId | None = None
    repeat_count: int = 0
    suspects: dict[ids.RunnerId, runner_entries.RunnerEntry] = dataclasses.field(
        default_factory=dict
    )
    lost_runners: set[ids.RunnerId] = dataclasses.field(default_factory=set)
    first_event_s: float | None = None
    last_event_s: float = 0.0
    longest_pause_s: float = 0.0
    is_overdue: bool = False
    is_blamed: bool = False
    is_trial: bool = False
    is_ended_early: bool = False
    has_caller_left: bool = False
    is_caller_waiting: bool = False
    is_relayed: bool = False
    earlier_runner_count: int = 0
    is_counted: bool = False
    relayed_to: set[ids.VmId] = dataclasses.field(default_factory=set)
    may_crash_runners: bool = False
    is_retry_refused: bool = False
    has_returned: bool | None = None
    put_off_until_s: float | None = None
    put_off_s: float = 0.0
    _fingerprint: ids.RequestFingerprint | None = None
    _subjects: crashes.Subjects | None = None

    @property
    def request_id(self) -> ids.RequestId:
        """The caller's attempt id, which identifies the request in the log."""
        return ids.RequestId(self.outgoing.attempt_id)

    @property
    def shared_parts(self) -> ids.PromptParts:
        """The parts of the prompt that other requests may have too."""
        return self.routed.caller_headers.shared_parts

    @property
    def fingerprint(self) -> ids.RequestFingerprint:
        """The same for all copies of the request; computed when first used."""
        if self._fingerprint is None:
            outgoing, customer = self.outgoing, self.routed.customer
            self._fingerprint = request_fingerprint.compute(
                outgoing.method,
                outgoing.headers.get("host", ""),
                outgoing.target,
                customer.name if customer is not None else "",
                outgoing.body,
            )
        return self._fingerprint

    @property
    def quick_key(self) -> int:
        """A key that copies of the request share, and others may share too."""
        customer = self.routed.customer
        return recent_answers.quick_key(
            self.outgoing.target,
            customer.name if customer is not None else "",
            self.outgoing.body,
        )

    @property
    def subjects(self) -> crashes.Subjects:
        """What runners may crash on; computed when first used."""
        if self._subjects is None:
            parts = map(crashes.SharedPart, self.shared_parts)
            self._subjects = (crashes.WholeRequest(self.fingerprint), *parts)
        return self._subjects

    def left_s(self, now_s: float) -> float:
        """Return the time until the deadline of the request."""
        return self.routed.deadline_s - now_s

    def new_attempt(
        self, source: open_attempt.Source, now_s: float
    ) -> open_attempt.OpenAttempt:
        """Return a further attempt, which goes on after the last event."""
        self.attempt_count += 1
        self.is_retry_refused = False
        return open_attempt.OpenAttempt(
            self.attempt_count,
            source,
            self.events.next_run(),
            now_s,
            is_beside_late=self.race.is_only_late,
        )

    def awaited_runners(self) -> set[ids.RunnerId]:
        """Return the runners of the open attempts."""
        return {
            item.source.plan.entry.runner_id
            for item in self.race.attempts
            if isinstance(item.source, open_attempt.RunnerSource)
        }

    def reached_runner_count(self) -> int:
        """Return how many runners count once this daemon has lost its paths.

        One that was asked beside a late event, and has brought nothing, does
        not: what was late then was the path.
        """
        unreached = {
            item.source.plan.entry.runner_id
            for item in self.race.attempts
            if isinstance(item.source, open_attempt.RunnerSource)
            and item.is_beside_late
            and not item.events.run_event_count
        }
        return len(self.sent_to - unreached) + self.earlier_runner_count

    def pass_on(self, attempt: open_attempt.OpenAttempt) -> bool:
        """Let an attempt send the caller what it has brought.

        Returns:
            False if another attempt answers the request, or the caller has its
            whole answer.
        """
        if self.responder.finished or not self.race.take_over(attempt):
            return False
        self.last_attempt = attempt
        self.events = attempt.events
        return True

    def record_end(self, attempt: open_attempt.OpenAttempt) -> None:
        """Record an attempt that has ended and that none has superseded."""
        self.last_attempt = attempt
        if attempt.events.event_count >= self.events.event_count:
            # The attempt may have begun an event that it did not complete,
            # which shows that the stream goes on.
            self.events = attempt.events

    def describe_answer_end(self) -> dict[str, object]:
        """Return log fields that say how the last answer of a runner ended."""
        if self.last_attempt is None:
            return {}
        return self.last_attempt.describe_answer_end()

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run, or may still."""
        return bool(self.race.attempts) or self.has_unknown_end

    @property
    def was_sent(self) -> bool:
        """Whether any attempt may have run, once all have been interrupted."""
        is_sent = any(attempt.is_sent for attempt in self.race.attempts)
        return is_sent or self.has_unknown_end

    @property
    def has_unknown_end(self) -> bool:
        """Whether any attempt that has ended may have run."""
        not_run = (states.AttemptState.UNSENT, states.AttemptState.REFUSED_BY_RUNNER)
        return any(end.state not in not_run for end in self.ends)
