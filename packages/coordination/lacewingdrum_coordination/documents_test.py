"""Tests submissions and versions under generated sequences of events.

Operators submit at any daemon. The history is kept in memory. The request or
the reply of a write can be lost, and a write can be applied late. Daemons
receive pushed versions in any order.
"""

import dataclasses

import hypothesis
from hypothesis import stateful, strategies

from lacewingdrum_coordination import document_versions, documents
from lacewingdrum_state import documents as document_types, ids, states

SERVICE = ids.ServiceName("sommelier-llm")
SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=150,
    stateful_step_count=50,
)
DAEMON_COUNT = 2
UNREADABLE = "text in the syntax of a later version"


def parse(text):
    if text == UNREADABLE:
        return None
    return document_types.ServiceDocument(
        SERVICE, states.ServiceType.MODEL, text, (), ()
    )


@dataclasses.dataclass
class Running:
    """A submission in progress and the action that it waits for."""

    daemon: int
    state: documents.Submission
    pending_action: documents.Action


class World:
    """The history, the operators' results and the versions daemons hold."""

    def __init__(self):
        self.now_s = 0.0
        self.history = {}
        self.late_writes = []
        self.running = []
        self.results = []
        self.pushes = []
        self.entries = [None] * DAEMON_COUNT
        self.count = 0

    def submit(self, daemon, base, submission_id, text):
        state = documents.new_submission(SERVICE, base, submission_id, text, self.now_s)
        running = Running(daemon, state, documents.ReadHistory())
        self.running.append(running)
        self.apply_event(running, documents.Started())

    def apply_event(self, running, event):
        running.state, running.pending_action = documents.step(
            running.state, event, self.now_s
        )
        if isinstance(running.pending_action, documents.Reply):
            self.running.remove(running)
            self.record_result(running, running.pending_action.result)

    def record_result(self, running, result):
        self.results.append((running.state.wanted, result))
        if isinstance(result, documents.Accepted):
            assert self.history[result.stored.version] == result.stored
            self.adopt_version(running.daemon, result.stored)
            self.pushes.extend((n, result.stored) for n in range(DAEMON_COUNT))

    def adopt_version(self, daemon, stored):
        before = self.entries[daemon]
        after, _ = document_versions.apply_version(before, stored, parse(stored.text))
        if before is not None:
            assert after.held.version >= before.held.version
            if before.served is not None:
                assert after.served.version >= before.served.version
        self.entries[daemon] = after

    def apply_write(self, stored):
        return self.history.setdefault(stored.version, stored) is stored

    def reach_table(self, running, outcome):
        wanted = running.state.wanted
        if isinstance(running.pending_action, documents.ReadHistory):
            self.apply_event(running, self.read_history(wanted, outcome))
            return
        # Each write gets its own copy, because apply_write compares the
        # identity of the rows.
        stored = dataclasses.replace(running.pending_action.stored)
        if outcome == "late":
            self.late_writes.append(stored)
        applied = outcome in ("good", "reply_lost") and self.apply_write(stored)
        if outcome == "good":
            row = self.history[wanted.version]
            self.apply_event(running, documents.CommitReply(applied, row))
        else:
            self.apply_event(
                running, documents.CommitFailed(outcome != "refused", outcome)
            )

    def read_history(self, wanted, outcome):
        if outcome != "good":
            return documents.HistoryReadFailed(outcome)
        base = wanted.version - 1
        following = self.history.get(wanted.version)
        return documents.HistoryRead(
            base == 0 or base in self.history, following is not None, following
        )


class DocumentMachine(stateful.RuleBasedStateMachine):
    """Generates sequences of submissions, faults, pauses and pushes."""

    def __init__(self):
        super().__init__()
        self.world = World()

    @stateful.rule(
        daemon=strategies.integers(0, DAEMON_COUNT - 1),
        lag=strategies.sampled_from([0, 0, 0, 1, -1]),
        unreadable=strategies.integers(0, 5),
    )
    def submit(self, daemon, lag, unreadable):
        world = self.world
        base = max(0, len(world.history) - lag)
        world.count += 1
        text = f"text {world.count}" if unreadable else UNREADABLE
        world.submit(daemon, base, ids.SubmissionId(f"sub-{world.count}"), text)

    @stateful.precondition(lambda self: self.world.results)
    @stateful.rule(
        daemon=strategies.integers(0, DAEMON_COUNT - 1),
        pick=strategies.integers(0, 7),
    )
    def submit_again(self, daemon, pick):
        world = self.world
        wanted, _ = world.results[pick % len(world.results)]
        world.submit(daemon, wanted.version - 1, wanted.submission_id, wanted.text)

    @stateful.precondition(lambda self: self.world.running)
    @stateful.rule(
        pick=strategies.integers(0, 7),
        outcome=strategies.sampled_from(
            ["good", "good", "good", "reply_lost", "dropped", "late", "refused"]
        ),
    )
    def reach_table(self, pick, outcome):
        running = self.world.running
        self.world.reach_table(running[pick % len(running)], outcome)

    @stateful.precondition(lambda self: self.world.late_writes)
    @stateful.rule(pick=strategies.integers(0, 7))
    def apply_late_write(self, pick):
        late_writes = self.world.late_writes
        self.world.apply_write(late_writes.pop(pick % len(late_writes)))

    @stateful.rule(
        seconds=strategies.sampled_from([0.5, 5.0, documents.RESOLVE_TIMEOUT_S])
    )
    def advance_time(self, seconds):
        self.world.now_s += seconds

    @stateful.precondition(lambda self: self.world.pushes)
    @stateful.rule(pick=strategies.integers(0, 7), again=strategies.booleans())
    def push(self, pick, again):
        pushes = self.world.pushes
        daemon, stored = pushes[pick % len(pushes)]
        if not again:
            pushes.remove((daemon, stored))
        self.world.adopt_version(daemon, stored)

    @stateful.rule(daemon=strategies.integers(0, DAEMON_COUNT - 1))
    def poll(self, daemon):
        for stored in tuple(self.world.history.values()):
            self.world.adopt_version(daemon, stored)

    @stateful.invariant()
    def history_has_no_gaps(self):
        assert sorted(self.world.history) == list(range(1, len(self.world.history) + 1))

    def teardown(self):
        world = self.world
        while world.late_writes:
            self.apply_late_write(0)
        in_force = tuple(world.history.values())
        for wanted, result in world.results:
            if isinstance(result, documents.Accepted):
                assert world.history[wanted.version] == wanted
            elif isinstance(result, documents.Conflict) and result.current:
                assert wanted not in in_force
            elif not self.was_submitted_more_than_once(wanted):
                unresolved = isinstance(result, documents.Unresolved)
                assert unresolved or wanted not in in_force
        for daemon in range(DAEMON_COUNT):
            self.poll(daemon)
            entry = world.entries[daemon]
            assert entry is None or entry.held == world.history[len(world.history)]

    def was_submitted_more_than_once(self, wanted):
        """Return whether the same submission was made more than once."""
        results = [w for w, _ in self.world.results if w == wanted]
        running = [r for r in self.world.running if r.state.wanted == wanted]
        return len(results) + len(running) > 1


def test_results_given_to_operators_hold_under_any_event_order():
    stateful.run_state_machine_as_test(DocumentMachine, settings=SETTINGS)


def test_one_of_two_concurrent_submissions_wins_and_the_other_conflicts():
    world = World()
    world.submit(0, 0, ids.SubmissionId("a"), "of a")
    world.submit(1, 0, ids.SubmissionId("b"), "of b")
    first, second = world.running
    world.reach_table(first, "good")
    world.reach_table(second, "good")
    world.reach_table(second, "reply_lost")
    world.reach_table(first, "good")
    world.reach_table(second, "good")
    (_, conflict), (_, accepted) = world.results
    assert isinstance(accepted, documents.Accepted)
    assert conflict == documents.Conflict(accepted.stored)


def test_submission_without_a_reply_is_unresolved_until_submitted_again():
    world = World()
    world.submit(0, 0, ids.SubmissionId("a"), "text")
    running = world.running[0]
    world.reach_table(running, "good")
    world.reach_table(running, "late")
    world.now_s += documents.RESOLVE_TIMEOUT_S
    world.reach_table(running, "refused")
    assert world.results[0][1] == documents.Unresolved(SERVICE, 1, "a")
    world.apply_write(world.late_writes.pop())
    world.submit(1, 0, ids.SubmissionId("a"), "text")
    world.reach_table(world.running[0], "good")
    assert world.results[1][1] == documents.Accepted(world.history[1])


def test_a_version_that_cannot_be_parsed_is_held_and_not_served():
    world = World()
    world.submit(0, 0, ids.SubmissionId("a"), "old")
    world.reach_table(world.running[0], "good")
    world.reach_table(world.running[0], "good")
    newer = documents.new_submission(SERVICE, 1, ids.SubmissionId("b"), UNREADABLE, 0.0)
    world.adopt_version(0, newer.wanted)
    assert world.entries[0].held.version == 2
    assert world.entries[0].served.version == 1
    corrupt = dataclasses.replace(newer.wanted, version=3, text="other")
    _, change = document_versions.apply_version(
        world.entries[0], corrupt, parse("other")
    )
    assert change is document_versions.Change.CORRUPT


def test_freshness_decides_table_polls_and_admission():
    fresh = document_versions.Freshness(since_s=0.0)
    assert document_versions.poll_due(fresh, 0.0, is_poller=False)
    assert not document_versions.may_admit(fresh, 0.0)
    asked = document_versions.on_poll_started(fresh, 0.0, jitter=1.0)
    state = document_versions.on_table_read(asked, 0.0)
    assert document_versions.poll_due(state, 1.0, is_poller=True)
    assert not document_versions.poll_due(state, 2.9, is_poller=False)
    assert document_versions.poll_due(state, 3.0, is_poller=False)
    contacted = document_versions.on_peer_heartbeat(state, 2.0, names_versions=True)
    assert not document_versions.poll_due(contacted, 3.0, is_poller=False)
    stale_s = 2.0 + document_versions.STALE_AFTER_S
    assert document_versions.may_admit(contacted, stale_s - 0.1)
    assert not document_versions.may_admit(contacted, stale_s)


def test_new_daemon_without_a_table_waits_for_its_peers():
    fresh = document_versions.Freshness(since_s=0.0)
    contacted = document_versions.on_peer_heartbeat(fresh, 0.5, names_versions=False)
    late_s = document_versions.PEERS_WAIT_S
    assert not document_versions.check_ready(contacted, late_s, False).was_ready
    contacted = document_versions.on_peer_heartbeat(contacted, 0.6, names_versions=True)
    assert not document_versions.check_ready(contacted, 1.0, False).was_ready
    assert not document_versions.check_ready(contacted, late_s, True).was_ready
    assert document_versions.check_ready(contacted, late_s, False).was_ready


def test_reconnected_daemon_catches_up_before_it_admits():
    state = document_versions.Freshness(since_s=0.0)
    state = document_versions.on_poll_started(state, 0.0, jitter=0.0)
    state = document_versions.on_table_read(state, 0.0)
    back_s = document_versions.STALE_AFTER_S + 3.0
    assert not document_versions.may_admit(state, back_s)
    state = document_versions.on_peer_heartbeat(state, back_s, names_versions=True)
    assert not document_versions.may_admit(state, back_s)
    assert document_versions.poll_due(state, back_s, is_poller=False)
    later_s = back_s + document_versions.PEERS_WAIT_S
    behind = document_versions.check_ready(state, later_s, missing=True)
    assert not document_versions.may_admit(behind, later_s)
    caught_up_state = document_versions.check_ready(state, later_s, missing=False)
    assert document_versions.may_admit(caught_up_state, later_s)
    assert caught_up_state.was_ready
