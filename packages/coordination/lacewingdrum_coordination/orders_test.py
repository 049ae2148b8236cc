"""Tests the order state machine under generated sequences of events.

The table is simulated by a single row. A write can be refused, lost before or
after it is applied, or applied much later. Two daemons run attempts with the
same key, and either of them may pause or end at any point.
"""

import dataclasses

import hypothesis
from hypothesis import stateful, strategies

from lacewingdrum_coordination import order_steps, orders
from lacewingdrum_state import ids, orders as rows, states

ORDER_ID = rows.OrderId(
    ids.ServiceName("vault-ledger"), ids.CustomerId("broker"), ids.IdempotencyKey("k")
)
ANSWER = rows.OrderAnswer(200, "text/plain", b"released")
PATIENCE_S = 5.0
SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=150,
    stateful_step_count=40,
)
DAEMONS = strategies.integers(0, 1)
PICKS = strategies.integers(0, 7)
# A dropped write is never applied, and a late one may be applied later. The
# daemon gets no reply to either.
WRITE_OUTCOMES = strategies.sampled_from(
    ["good", "reply_lost", "dropped", "late", "refused"]
)
# The answer is lost after or before the runner executes the order.
SEND_OUTCOMES = strategies.sampled_from(
    ["answered", "lost_after", "lost_before", "refused", "unsent"]
)


@dataclasses.dataclass
class Running:
    """An attempt in progress and the action that it waits for."""

    daemon: int
    attempt: orders.Attempt
    pending_action: orders.Action | None = None


class World:
    """The table's row, the orders that ran and the callers' results."""

    def __init__(self):
        self.now_s = 0.0
        self.row_version = 0
        self.row = None
        self.late_writes = []
        self.running = []
        self.sent = []
        self.ran = {}
        self.results = {}
        self.killed = False
        self.count = 0

    def begin(self, daemon, fingerprint):
        self.count += 1
        attempt = orders.Attempt(
            ORDER_ID,
            fingerprint,
            ids.AttemptId(f"a{self.count}"),
            self.now_s + PATIENCE_S,
        )
        running = Running(daemon, attempt)
        self.running.append(running)
        self.apply_event(running, orders.Started())

    def apply_event(self, running, event):
        same_daemon = [r.attempt for r in self.running if r.daemon == running.daemon]
        own = orders.own_attempts(same_daemon)
        running.attempt, actions = order_steps.step(
            running.attempt, event, self.now_s, own
        )
        if not isinstance(event, orders.DeadlinePassed):
            running.pending_action = None
        for action in actions:
            if isinstance(action, orders.Reply):
                self.record_result(running.attempt, action.result)
            else:
                assert running.pending_action is None, "two actions at once"
                running.pending_action = action
        if running.attempt.phase is orders.Phase.ENDED:
            self.running.remove(running)

    def record_result(self, attempt, result):
        assert attempt.attempt_id not in self.results, "answered twice"
        self.results[attempt.attempt_id] = result
        if isinstance(result, orders.Done):
            assert self.now_s < attempt.deadline_s, "answered after the deadline"
            assert result.answer == ANSWER and self.ran

    def apply_write(self, write):
        if self.row_version != write.if_version:
            return False
        self.row_version += 1
        self.row = write.row
        return True

    def proceed(self, pick, write_outcome, send_outcome):
        running = self.running[pick % len(self.running)]
        if isinstance(running.pending_action, orders.Send):
            self.send(running, send_outcome)
        else:
            self.write(running, write_outcome)

    def write(self, running, outcome):
        write = running.pending_action
        if outcome == "late":
            self.late_writes.append(write)
        applied = outcome in ("good", "reply_lost") and self.apply_write(write)
        if outcome == "good":
            self.apply_event(
                running, orders.WriteReply(applied, self.row_version, self.row)
            )
        else:
            self.apply_event(running, orders.WriteFailed(outcome != "refused"))

    def send(self, running, outcome):
        if self.now_s >= running.attempt.deadline_s:
            self.apply_event(running, orders.SendEnded(orders.Unsent()))
            return
        attempt_id = running.attempt.attempt_id
        self.sent.append(attempt_id)
        outcomes = {
            "answered": orders.Answered(ANSWER),
            "lost_after": orders.AnswerLost(),
            "lost_before": orders.AnswerLost(),
            "refused": orders.RefusedNotStarted(),
            "unsent": orders.Unsent(),
        }
        if outcome in ("answered", "lost_after"):
            self.ran[attempt_id] = ANSWER
        if outcome in ("refused", "unsent"):
            self.sent.remove(attempt_id)
        self.apply_event(running, orders.SendEnded(outcomes[outcome]))


class OrderMachine(stateful.RuleBasedStateMachine):
    """Generates sequences of faults, pauses, retries and daemon ends."""

    def __init__(self):
        super().__init__()
        self.world = World()

    @stateful.initialize(daemon=DAEMONS)
    def begin_first(self, daemon):
        self.world.begin(daemon, "ff")

    @stateful.precondition(lambda self: self.world.count < 8)
    @stateful.rule(daemon=DAEMONS, body=strategies.sampled_from(["ff"] * 4 + ["00"]))
    def begin(self, daemon, body):
        self.world.begin(daemon, body)

    # Three rules advance an attempt, because all rules are equally likely.
    @stateful.precondition(lambda self: self.world.running)
    @stateful.rule(pick=PICKS)
    def proceed_without_fault(self, pick):
        self.world.proceed(pick, "good", "answered")

    @stateful.precondition(lambda self: self.world.running)
    @stateful.rule(pick=PICKS, write=WRITE_OUTCOMES, send=SEND_OUTCOMES)
    def proceed(self, pick, write, send):
        self.world.proceed(pick, write, send)

    @stateful.precondition(lambda self: self.world.running)
    @stateful.rule(pick=PICKS, write=WRITE_OUTCOMES, send=SEND_OUTCOMES)
    def proceed_last(self, pick, write, send):
        self.world.proceed(-1, write, send)

    @stateful.precondition(lambda self: self.world.late_writes)
    @stateful.rule(pick=PICKS)
    def apply_late_write(self, pick):
        late_writes = self.world.late_writes
        self.world.apply_write(late_writes.pop(pick % len(late_writes)))

    @stateful.rule(seconds=strategies.sampled_from([1.0, PATIENCE_S, 60.0]))
    def pause(self, seconds):
        self.world.now_s += seconds

    @stateful.precondition(lambda self: self.world.running)
    @stateful.rule()
    def expire(self):
        for running in tuple(self.world.running):
            if self.world.now_s >= running.attempt.deadline_s:
                self.world.apply_event(running, orders.DeadlinePassed())
                assert running.attempt.replied

    @stateful.precondition(lambda self: len(self.world.running) > 1)
    @stateful.rule(daemon=DAEMONS)
    def kill(self, daemon):
        world = self.world
        world.killed = True
        ended = [r for r in world.running if r.daemon == daemon]
        writes = [
            r.pending_action
            for r in ended
            if isinstance(r.pending_action, orders.WriteRow)
        ]
        world.late_writes.extend(writes)
        world.running = [r for r in world.running if r.daemon != daemon]

    @stateful.invariant()
    def sent_at_most_once(self):
        assert len(set(self.world.sent)) == len(self.world.sent)
        assert len(self.world.sent) <= 1
        assert len(self.world.ran) <= 1

    @stateful.invariant()
    def not_run_was_not_run(self):
        for attempt_id, result in self.world.results.items():
            if isinstance(result, orders.NotSent) and result.ran is states.Ran.NO:
                assert attempt_id not in self.world.sent

    def teardown(self):
        world = self.world
        while world.running:
            for running in tuple(world.running):
                world.proceed(world.running.index(running), "good", "answered")
        while world.late_writes:
            world.apply_write(world.late_writes.pop())
        self.sent_at_most_once()
        self.not_run_was_not_run()
        self.check_final_row()

    def check_final_row(self):
        world = self.world
        if world.killed or world.row is None:
            return
        if world.row.state is states.OrderState.ANSWERED:
            assert world.row.answer == ANSWER
            assert set(world.ran) == {world.row.attempt_id}
        elif world.row.state is states.OrderState.DISPATCHED:
            # Only an order that may have been sent and was not answered may
            # keep this state. Nothing else may block the key.
            assert world.sent == [world.row.attempt_id]
        else:
            assert not world.sent


def test_any_order_of_events_sends_at_most_once():
    stateful.run_state_machine_as_test(OrderMachine, settings=SETTINGS)


def _world_with(daemon=0, fingerprint="ff"):
    world = World()
    world.begin(daemon, fingerprint)
    return world, world.running[0]


def test_attempt_proceeds_when_the_claim_reply_is_lost():
    world, first = _world_with()
    world.write(first, "reply_lost")
    world.write(first, "good")
    world.send(first, "answered")
    assert world.results["a1"] == orders.Done(ANSWER, replayed=False)


def test_claim_applied_late_does_not_block_a_retry_at_the_same_daemon():
    world, first = _world_with()
    for _ in range(orders.MAX_CLAIM_WRITES):
        world.write(first, "late")
    assert world.results["a1"].ran is states.Ran.NO
    world.write(first, "refused")
    world.apply_write(world.late_writes.pop())
    assert world.row.state is states.OrderState.DISPATCHED
    # The same daemon knows that the attempt was never sent. Another daemon
    # does not know it.
    world.begin(1, "ff")
    world.write(world.running[1], "good")
    assert world.results["a2"].reason is orders.NotSentReason.MAY_HAVE_RUN
    world.begin(0, "ff")
    again = world.running[1]
    world.write(again, "good")
    world.write(again, "good")
    world.send(again, "answered")
    assert world.results["a3"] == orders.Done(ANSWER, replayed=False)


def test_attempt_paused_past_its_deadline_before_the_send_never_sends():
    world, holder = _world_with()
    world.write(holder, "good")
    assert isinstance(holder.pending_action, orders.Send)
    world.now_s += 60.0
    world.begin(1, "ff")
    world.write(world.running[1], "good")
    assert world.results["a2"].ran is states.Ran.MAYBE
    world.send(holder, "answered")
    assert not world.sent
    assert world.results["a1"].ran is states.Ran.NO
    world.write(holder, "good")
    assert world.row.state is states.OrderState.NOT_RUN
    world.begin(1, "ff")
    repeat = world.running[0]
    world.write(repeat, "good")
    world.write(repeat, "good")
    world.send(repeat, "answered")
    assert world.sent == ["a3"]


def test_retry_gets_the_stored_answer_and_a_reused_key_is_refused():
    world, first = _world_with()
    world.write(first, "good")
    world.begin(0, "ff")
    world.write(world.running[1], "good")
    assert world.results["a2"].reason is orders.NotSentReason.IN_PROGRESS
    world.send(first, "answered")
    world.write(first, "good")
    world.begin(1, "ff")
    world.write(world.running[0], "good")
    assert world.results["a3"] == orders.Done(ANSWER, replayed=True)
    world.begin(1, "00")
    world.write(world.running[0], "good")
    assert world.results["a4"].reason is orders.NotSentReason.KEY_REUSED
    assert world.results["a4"].ran is states.Ran.NO


def test_answer_too_large_to_store_is_reported_as_run():
    large = rows.OrderAnswer(200, "", b"x" * (orders.MAX_STORED_ANSWER_BYTES + 1))
    world, first = _world_with()
    world.write(first, "good")
    attempt, actions = order_steps.step(
        first.attempt,
        orders.SendEnded(orders.Answered(large)),
        0.0,
        orders.OwnAttempts(),
    )
    assert actions[0] == orders.Reply(orders.Done(large, replayed=False))
    assert actions[1].row.answer is None
    world.row = actions[1].row
    world.begin(1, "ff")
    world.write(world.running[1], "good")
    assert world.results["a2"].ran is states.Ran.YES
    assert attempt.phase is orders.Phase.RECORDING


def test_nothing_is_sent_when_the_table_refuses_the_claim():
    world, first = _world_with()
    world.write(first, "refused")
    assert world.results["a1"] == orders.NotSent(
        states.Ran.NO, orders.NotSentReason.NO_TABLE
    )
    assert not world.running
