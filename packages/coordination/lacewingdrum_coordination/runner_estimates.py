"""What one runner will have to do, projected to now from its last report.

Load reports are late. A projection starts at the report's own time, adds what
this daemon sent since, and drains the queues by priority at the runner's own
rate, so that a decision never counts a request twice or not at all.
"""

import dataclasses

from lacewingdrum_coordination import priorities
from lacewingdrum_state import fleet, ids, requests

DEFAULT_PREFILL_TOKENS_PER_S = 10_000.0
DEFAULT_DECODE_TOKENS_PER_S = 50.0
DEFAULT_KV_CAPACITY_TOKENS = 400_000
SENT_MEMORY_S = 10.0


@dataclasses.dataclass(slots=True)
class _Sent:
    work_tokens: int
    total_tokens: int
    priority: int
    sent_s: float


class RunnerEstimate:
    """The projected queues and memory of one runner."""

    __slots__ = (
        "runner",
        "load",
        "prefill_tokens_per_s",
        "decode_tokens_per_s",
        "kv_capacity_tokens",
        "link_delay_s",
        "_queued",
        "_at_s",
        "_sent",
        "_kv_reported",
        "_kv_sent",
    )

    def __init__(self, runner: fleet.Runner, link_delay_s: float, now_s: float):
        """Start with an idle runner of default speed until it reports.

        Args:
            runner: the runner.
            link_delay_s: one-way delay between this daemon and the runner.
            now_s: the present.
        """
        self.runner = runner
        self.load: fleet.RunnerLoad | None = None
        self.prefill_tokens_per_s = DEFAULT_PREFILL_TOKENS_PER_S
        self.decode_tokens_per_s = DEFAULT_DECODE_TOKENS_PER_S
        self.kv_capacity_tokens = DEFAULT_KV_CAPACITY_TOKENS
        self.link_delay_s = link_delay_s
        self._queued = [0.0, 0.0, 0.0]
        self._at_s = now_s
        self._sent: dict[ids.AttemptId, _Sent] = {}
        self._kv_reported = 0
        self._kv_sent = 0

    def observe(self, load: fleet.RunnerLoad) -> None:
        """Start anew from a report, unless it is older than the last one."""
        if self.load is not None and load.as_of_s < self.load.as_of_s:
            return
        self.load = load
        if load.prefill_tokens_per_s > 0:
            self.prefill_tokens_per_s = load.prefill_tokens_per_s
        if load.decode_tokens_per_s > 0:
            self.decode_tokens_per_s = load.decode_tokens_per_s
        if load.kv_capacity_tokens > 0:
            self.kv_capacity_tokens = load.kv_capacity_tokens
        self._queued = [
            float(load.queued_short_tokens),
            float(load.queued_mid_tokens),
            float(load.queued_long_tokens),
        ]
        self._at_s = load.as_of_s
        self._kv_reported = load.kv_used_tokens
        self._replay_sent(load)

    def _replay_sent(self, load: fleet.RunnerLoad) -> None:
        self._kv_sent = 0
        reported = {held.attempt_id for held in load.held}
        for attempt_id, sent in list(self._sent.items()):
            arrived_s = sent.sent_s + self.link_delay_s
            if arrived_s <= load.as_of_s:
                if load.as_of_s - arrived_s > SENT_MEMORY_S:
                    del self._sent[attempt_id]
                continue
            self.project(arrived_s)
            self._queued[sent.priority] += sent.work_tokens
            if attempt_id not in reported:
                self._kv_sent += sent.total_tokens

    def sent(
        self, in_flight: requests.InFlight, priority: int, work_tokens: int
    ) -> None:
        """Count an attempt that this daemon, or a peer, sent.

        Args:
            in_flight: the attempt.
            priority: the priority it queues at.
            work_tokens: prompt tokens that the runner must prefill for it.
        """
        self.project(in_flight.sent_s)
        self._sent[in_flight.attempt_id] = _Sent(
            work_tokens, in_flight.total_tokens, priority, in_flight.sent_s
        )
        self._queued[priority] += work_tokens
        self._kv_sent += in_flight.total_tokens

    def ended(self, attempt_id: ids.AttemptId) -> None:
        """Forget an attempt that no longer holds memory."""
        sent = self._sent.pop(attempt_id, None)
        if sent is None:
            return
        if self.load is not None and sent.sent_s <= self.load.as_of_s:
            self._kv_reported = max(0, self._kv_reported - sent.total_tokens)
        else:
            self._kv_sent = max(0, self._kv_sent - sent.total_tokens)

    def project(self, now_s: float) -> None:
        """Drain the queues, first priority first, up to a time."""
        elapsed_s = now_s - self._at_s
        if elapsed_s <= 0:
            return
        self._at_s = now_s
        drained = elapsed_s * self.prefill_tokens_per_s
        queued = self._queued
        for priority in (priorities.SHORT, priorities.MID, priorities.LONG):
            waiting = queued[priority]
            if waiting > drained:
                queued[priority] = waiting - drained
                return
            queued[priority] = 0.0
            drained -= waiting

    def ahead_tokens(self, priority: int, now_s: float) -> float:
        """Work that runs before a new request of a priority.

        Args:
            priority: the new request's priority.
            now_s: the present.

        Returns:
            Prompt tokens queued at that priority or before it.
        """
        self.project(now_s)
        queued = self._queued
        if priority == priorities.SHORT:
            return queued[0]
        if priority == priorities.MID:
            return queued[0] + queued[1]
        return queued[0] + queued[1] + queued[2]

    def behind_tokens(self, priority: int) -> float:
        """Returns: prompt tokens queued behind a priority, as projected."""
        return sum(self._queued[priority + 1 :])

    def free_tokens(self) -> int:
        """Returns: KV cache tokens that are thought to be free."""
        return self.kv_capacity_tokens - self._kv_reported - self._kv_sent
