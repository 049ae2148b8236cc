"""Projects a runner's queues and memory from its last report to the present.

Load reports arrive with a delay. A projection starts at the report's own
time, adds the attempts sent since then, and drains the queues by priority at
the runner's own rate, so that each request is counted exactly once.
"""

import dataclasses

from lacewingdrum_coordination import priorities
from lacewingdrum_state import fleet, ids, requests

DEFAULT_PREFILL_TOKENS_PER_S = 10_000.0
DEFAULT_DECODE_TOKENS_PER_S = 50.0
DEFAULT_KV_CAPACITY_TOKENS = 400_000
CHUNK_TOKENS = 2_048
# A sent attempt is no longer tracked if it arrived this long before a report.
SENT_RETENTION_S = 10.0
MAX_REPORT_AGE_S = 5.0
BUSY_SMOOTHING_FACTOR = 0.1


@dataclasses.dataclass(slots=True)
class _SentAttempt:
    work_tokens: float
    total_tokens: int
    priority: int
    sent_s: float


class RunnerProjection:
    """The projected queues and memory of one runner.

    ``busy_ratio`` is the smoothed ratio of reports with queued prompts.
    """

    __slots__ = (
        "runner",
        "load",
        "prefill_tokens_per_s",
        "token_s",
        "chunk_s",
        "kv_capacity_tokens",
        "link_delay_s",
        "rank",
        "busy_ratio",
        "_queued",
        "_at_s",
        "_sent",
        "_kv_reported",
        "_kv_sent",
    )

    def __init__(self, runner: fleet.Runner, link_delay_s: float, now_s: float):
        """Assume an idle runner of default speed until the first report.

        Args:
            runner: the runner.
            link_delay_s: one-way delay between this daemon and the runner.
            now_s: current time.
        """
        self.runner = runner
        self.load: fleet.RunnerLoad | None = None
        self.kv_capacity_tokens = DEFAULT_KV_CAPACITY_TOKENS
        self.link_delay_s = link_delay_s
        self.rank = 0
        self.busy_ratio = 0.0
        self._set_speed(DEFAULT_PREFILL_TOKENS_PER_S, DEFAULT_DECODE_TOKENS_PER_S)
        self._queued = [0.0, 0.0, 0.0]
        self._at_s = now_s
        self._sent: dict[ids.AttemptId, _SentAttempt] = {}
        self._kv_reported = 0
        self._kv_sent = 0

    def _set_speed(
        self, prefill_tokens_per_s: float, decode_tokens_per_s: float
    ) -> None:
        """Set the times of a step from the reported rates.

        ``token_s`` is the time to decode one token and ``chunk_s`` the time to
        prefill one chunk. A step is assumed to do both, so the prefill rate is
        lower than the reported one.
        """
        self.token_s = 1 / decode_tokens_per_s
        self.chunk_s = CHUNK_TOKENS / prefill_tokens_per_s
        self.prefill_tokens_per_s = CHUNK_TOKENS / (self.chunk_s + self.token_s)

    def has_recent_report(self, now_s: float) -> bool:
        """Return whether the last report is younger than the maximum age."""
        return self.load is not None and now_s - self.load.as_of_s < MAX_REPORT_AGE_S

    def observe(self, load: fleet.RunnerLoad) -> None:
        """Restart from a report, unless it is older than the last one."""
        if self.load is not None and load.as_of_s < self.load.as_of_s:
            return
        self.load = load
        if load.prefill_tokens_per_s > 0 and load.decode_tokens_per_s > 0:
            self._set_speed(load.prefill_tokens_per_s, load.decode_tokens_per_s)
        if load.kv_capacity_tokens > 0:
            self.kv_capacity_tokens = load.kv_capacity_tokens
        self._queued = [
            float(load.queued_short_tokens),
            float(load.queued_mid_tokens),
            float(load.queued_long_tokens),
        ]
        is_busy = 1.0 if sum(self._queued) > 0 else 0.0
        self.busy_ratio += BUSY_SMOOTHING_FACTOR * (is_busy - self.busy_ratio)
        self._at_s = load.as_of_s
        self._kv_reported = load.kv_used_tokens
        self._add_unreported(load)

    def _add_unreported(self, load: fleet.RunnerLoad) -> None:
        """Add the attempts that arrived after the report was made."""
        self._kv_sent = 0
        for attempt_id, sent in list(self._sent.items()):
            arrived_s = sent.sent_s + self.link_delay_s
            if arrived_s <= load.as_of_s:
                if load.as_of_s - arrived_s > SENT_RETENTION_S:
                    del self._sent[attempt_id]
                continue
            self.project(arrived_s)
            self._queued[sent.priority] += sent.work_tokens
            self._kv_sent += sent.total_tokens

    def sent(
        self, in_flight: requests.InFlightAttempt, priority: int, work_tokens: float
    ) -> None:
        """Count an attempt that this daemon or a peer sent.

        An attempt that was counted before changes nothing.

        Args:
            in_flight: the attempt.
            priority: the priority of its queue.
            work_tokens: prompt tokens that the runner must prefill for it.
        """
        if in_flight.attempt_id in self._sent:
            return
        self._sent[in_flight.attempt_id] = _SentAttempt(
            work_tokens, in_flight.total_tokens, priority, in_flight.sent_s
        )
        if self.load is not None and (
            in_flight.sent_s + self.link_delay_s <= self.load.as_of_s
        ):
            return
        self.project(in_flight.sent_s)
        self._queued[priority] += work_tokens
        self._kv_sent += in_flight.total_tokens

    def ended(self, attempt_id: ids.AttemptId) -> None:
        """Remove an attempt that no longer holds memory."""
        sent = self._sent.pop(attempt_id, None)
        if sent is None:
            return
        if self.load is not None and sent.sent_s <= self.load.as_of_s:
            self._kv_reported = max(0, self._kv_reported - sent.total_tokens)
        else:
            self._kv_sent = max(0, self._kv_sent - sent.total_tokens)

    def project(self, now_s: float) -> None:
        """Drain the queues until ``now_s``, highest priority first."""
        elapsed_s = now_s - self._at_s
        if elapsed_s <= 0:
            return
        self._at_s = now_s
        drained_tokens = elapsed_s * self.prefill_tokens_per_s
        queued = self._queued
        for priority in (priorities.SHORT, priorities.MID, priorities.LONG):
            queued_tokens_at_priority = queued[priority]
            if queued_tokens_at_priority > drained_tokens:
                queued[priority] = queued_tokens_at_priority - drained_tokens
                return
            queued[priority] = 0.0
            drained_tokens -= queued_tokens_at_priority

    def queued_tokens(self, now_s: float) -> list[float]:
        """Project the queues to the present.

        Args:
            now_s: current time.

        Returns:
            Prompt tokens queued at each priority. The caller must not change
            the list.
        """
        self.project(now_s)
        return self._queued

    def free_tokens(self) -> int:
        """Return the estimated number of free KV cache tokens."""
        return self.kv_capacity_tokens - self._kv_reported - self._kv_sent
