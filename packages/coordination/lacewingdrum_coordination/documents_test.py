"""Explores submissions and versions over event orders.

Operators submit at any daemon to a history in memory whose writes get lost
on either way or land late. Daemons learn versions from pushes in any order.
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
UNREADABLE = "in a syntax of later"


def parse(text):
    if text == UNREADABLE:
        return None
    return document_types.ServiceDocument(
        SERVICE, states.ServiceType.MODEL, text, (), ()
    )


@dataclasses.dataclass
class Running:
    """A submission under way, and the call that it waits for."""

    daemon: int
    state: documents.Submission
    work: documents.Action


class World:
    """The history, what operators were told, and what daemons hold."""

    def __init__(self):
        self.now_s = 0.0
        self.history = {}
        self.late = []
        self.running = []
        self.told = []
        self.pushes = []
        self.entries = [None] * DAEMON_COUNT
        self.count = 0

    def submit(self, daemon, base, submission_id, text):
        state = documents.new_submission(SERVICE, base, submission_id, text, self.now_s)
        running = Running(daemon, state, documents.ReadHistory())
        self.running.append(running)
        self.give(running, documents.Started())

    def give(self, running, event):
        running.state, running.work = documents.step(running.state, event, self.now_s)
        if isinstance(running.work, documents.Reply):
            self.running.remove(running)
            self.tell(running, running.work.result)

    def tell(self, running, result):
        self.told.append((running.state.wanted, result))
        if isinstance(result, documents.Accepted):
            assert self.history[result.stored.version] == result.stored
            self.learn(running.daemon, result.stored)
            self.pushes.extend((n, result.stored) for n in range(DAEMON_COUNT))

    def learn(self, daemon, stored):
        before = self.entries[daemon]
        after, _ = document_versions.apply_version(before, stored, parse(stored.text))
        if before is not None:
            assert after.held.version >= before.held.version
            if before.served is not None:
                assert after.served.version >= before.served.version
        self.entries[daemon] = after

    def apply(self, stored):
        return self.history.setdefault(stored.version, stored) is stored

    def reach_table(self, running, fate):
        wanted = running.state.wanted
        if isinstance(running.work, documents.ReadHistory):
            self.give(running, self.look(wanted, fate))
            return
        stored = dataclasses.replace(running.work.stored)
        if fate == "late":
            self.late.append(stored)
        applied = fate in ("good", "reply_lost") and self.apply(stored)
        if fate == "good":
            row = self.history[wanted.version]
            self.give(running, documents.CommitReply(applied, row))
        else:
            self.give(running, documents.CommitFailed(fate != "refused", fate))

    def look(self, wanted, fate):
        if fate != "good":
            return documents.HistoryReadFailed(fate)
        base = wanted.version - 1
        following = self.history.get(wanted.version)
        return documents.HistoryRead(
            base == 0 or base in self.history, following is not None, following
        )


class DocumentMachine(stateful.RuleBasedStateMachine):
    """Any order of submissions, faults, pauses and pushes."""

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

    @stateful.precondition(lambda self: self.world.told)
    @stateful.rule(
        daemon=strategies.integers(0, DAEMON_COUNT - 1),
        pick=strategies.integers(0, 7),
    )
    def submit_again(self, daemon, pick):
        world = self.world
        wanted, _ = world.told[pick % len(world.told)]
        world.submit(daemon, wanted.version - 1, wanted.submission_id, wanted.text)

    @stateful.precondition(lambda self: self.world.running)
    @stateful.rule(
        pick=strategies.integers(0, 7),
        fate=strategies.sampled_from(
            ["good", "good", "good", "reply_lost", "dropped", "late", "refused"]
        ),
    )
    def reach_table(self, pick, fate):
        running = self.world.running
        self.world.reach_table(running[pick % len(running)], fate)

    @stateful.precondition(lambda self: self.world.late)
    @stateful.rule(pick=strategies.integers(0, 7))
    def land_late(self, pick):
        late = self.world.late
        self.world.apply(late.pop(pick % len(late)))

    @stateful.rule(
        seconds=strategies.sampled_from([0.5, 5.0, documents.RESOLVE_TIMEOUT_S])
    )
    def pass_time(self, seconds):
        self.world.now_s += seconds

    @stateful.precondition(lambda self: self.world.pushes)
    @stateful.rule(pick=strategies.integers(0, 7), again=strategies.booleans())
    def push(self, pick, again):
        pushes = self.world.pushes
        daemon, stored = pushes[pick % len(pushes)]
        if not again:
            pushes.remove((daemon, stored))
        self.world.learn(daemon, stored)

    @stateful.rule(daemon=strategies.integers(0, DAEMON_COUNT - 1))
    def poll(self, daemon):
        for stored in tuple(self.world.history.values()):
            self.world.learn(daemon, stored)

    @stateful.invariant()
    def history_has_no_gaps(self):
        assert sorted(self.world.history) == list(range(1, len(self.world.history) + 1))

    def teardown(self):
        world = self.world
        while world.late:
            self.land_late(0)
        in_force = tuple(world.history.values())
        for wanted, result in world.told:
            if isinstance(result, documents.Accepted):
                assert world.history[wanted.version] == wanted
            elif isinstance(result, documents.Conflict) and result.current:
                assert wanted not in in_force
            elif not self.has_other_run(wanted):
                unsettled = isinstance(result, documents.Unresolved)
                assert unsettled or wanted not in in_force
        for daemon in range(DAEMON_COUNT):
            self.poll(daemon)
            entry = world.entries[daemon]
            assert entry is None or entry.held == world.history[len(world.history)]

    def has_other_run(self, wanted):
        """Whether the same submission was given more than once."""
        told = [w for w, _ in self.world.told if w == wanted]
        running = [r for r in self.world.running if r.state.wanted == wanted]
        return len(told) + len(running) > 1


def test_any_order_of_events_keeps_what_operators_were_told():
    stateful.run_state_machine_as_test(DocumentMachine, settings=SETTINGS)


def test_of_two_operators_one_wins_and_the_other_sees_what_stands():
    world = World()
    world.submit(0, 0, ids.SubmissionId("a"), "of a")
    world.submit(1, 0, ids.SubmissionId("b"), "of b")
    first, second = world.running
    world.reach_table(first, "good")
    world.reach_table(second, "good")
    world.reach_table(second, "reply_lost")
    world.reach_table(first, "good")
    world.reach_table(second, "good")
    (_, conflict), (_, accepted) = world.told
    assert isinstance(accepted, documents.Accepted)
    assert conflict == documents.Conflict(accepted.stored)


def test_a_submission_without_answer_is_unsettled_and_settles_when_repeated():
    world = World()
    world.submit(0, 0, ids.SubmissionId("a"), "text")
    running = world.running[0]
    world.reach_table(running, "good")
    world.reach_table(running, "late")
    world.now_s += documents.RESOLVE_TIMEOUT_S
    world.reach_table(running, "refused")
    assert world.told[0][1] == documents.Unresolved(SERVICE, 1, "a")
    world.apply(world.late.pop())
    world.submit(1, 0, ids.SubmissionId("a"), "text")
    world.reach_table(world.running[0], "good")
    assert world.told[1][1] == documents.Accepted(world.history[1])


def test_a_version_that_cannot_be_parsed_is_held_and_not_served():
    world = World()
    world.submit(0, 0, ids.SubmissionId("a"), "old")
    world.reach_table(world.running[0], "good")
    world.reach_table(world.running[0], "good")
    newer = documents.new_submission(SERVICE, 1, ids.SubmissionId("b"), UNREADABLE, 0.0)
    world.learn(0, newer.wanted)
    assert world.entries[0].held.version == 2
    assert world.entries[0].served.version == 1
    corrupt = dataclasses.replace(newer.wanted, version=3, text="other")
    _, change = document_versions.apply_version(
        world.entries[0], corrupt, parse("other")
    )
    assert change is document_versions.Change.CORRUPT


def test_who_asks_the_table_and_who_may_admit():
    fresh = document_versions.Freshness(since_s=0.0)
    assert document_versions.poll_due(fresh, 0.0, is_poller=False)
    assert not document_versions.may_admit(fresh, 0.0)
    asked = document_versions.on_poll_started(fresh, 0.0, jitter=1.0)
    state = document_versions.on_table_read(asked, 0.0)
    assert document_versions.poll_due(state, 1.0, is_poller=True)
    assert not document_versions.poll_due(state, 2.9, is_poller=False)
    assert document_versions.poll_due(state, 3.0, is_poller=False)
    heard = document_versions.on_peer_heartbeat(state, 2.0, names_versions=True)
    assert not document_versions.poll_due(heard, 3.0, is_poller=False)
    stale_s = 2.0 + document_versions.STALE_AFTER_S
    assert document_versions.may_admit(heard, stale_s - 0.1)
    assert not document_versions.may_admit(heard, stale_s)


def test_without_a_table_a_fresh_daemon_hears_all_peers_first():
    fresh = document_versions.Freshness(since_s=0.0)
    heard = document_versions.on_peer_heartbeat(fresh, 0.5, names_versions=False)
    late_s = document_versions.PEERS_WAIT_S
    assert not document_versions.check_ready(heard, late_s, False).was_ready
    heard = document_versions.on_peer_heartbeat(heard, 0.6, names_versions=True)
    assert not document_versions.check_ready(heard, 1.0, False).was_ready
    assert not document_versions.check_ready(heard, late_s, True).was_ready
    assert document_versions.check_ready(heard, late_s, False).was_ready


def test_a_daemon_reached_again_catches_up_before_it_admits():
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
    level = document_versions.check_ready(state, later_s, missing=False)
    assert document_versions.may_admit(level, later_s)
    assert level.was_ready
