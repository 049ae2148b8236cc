"""A model of one continuously batching engine, in virtual time.

The engine works in iterations. Each one prefills a chunk of the most urgent
prompt in the batch and decodes one token of every other answer. Equal
iterations in a row are simulated in one step, so the cost of a replay grows
with the number of events, not of tokens. The engine process and the trace
replay share this model.
"""

import collections
import dataclasses
import heapq

from result import Err, Ok, Result

from lacewingdrum_protocol import runner_api
from standins import engine_types, load_report, prefix_cache

RunnerConfig = engine_types.RunnerConfig
Job = engine_types.Job
Progress = engine_types.Progress
ENDED_ATTEMPTS_MAX = 100_000


class RunnerModel:
    """One engine; times are seconds on any monotonic clock."""

    def __init__(self, config: RunnerConfig, now_s: float) -> None:
        self.config = config
        self.leaving = False
        self.slowdown = 1.0
        self._now_s = now_s
        self._order = 0
        self._waiting: dict[str, engine_types.Entry] = {}
        self._queue: list[tuple[int, int, str]] = []
        self._batch: dict[str, engine_types.Entry] = {}
        self._imports: dict[str, int] = {}
        self._ended: collections.OrderedDict[str, runner_api.CancelState] = (
            collections.OrderedDict()
        )
        self._iteration: engine_types.Iteration | None = None
        self._jobs_changed = False
        self._event_s: float | None = None
        self._pending_reports: list[Progress] = []
        self._kv_used = 0
        self._cache = prefix_cache.PrefixCache(
            config.cache_tokens, config.cache_event_lag_s, config.cache_gap_every
        )
        self._load_report = load_report.LoadReport(config.load_lag_s)
        self._load_report.record(now_s, self._load)

    @property
    def held(self) -> dict[str, int]:
        """Tokens of memory that each attempt holds in this engine."""
        held = dict(self._imports)
        for attempt_id, entry in self._batch.items():
            held[attempt_id] = held.get(attempt_id, 0) + entry.job.memory_tokens
        return held

    def knows(self, attempt_id: str) -> bool:
        """Return whether the attempt waits, runs or is recorded as ended."""
        return (
            attempt_id in self._batch
            or attempt_id in self._waiting
            or attempt_id in self._ended
        )

    def submit(self, job: Job, now_s: float) -> Result[None, runner_api.RefusalReason]:
        """Queue a job.

        Args:
            job: an attempt that was not submitted before.
            now_s: the time of its arrival.

        Returns:
            None, or the reason why the job is refused.
        """
        self._run(now_s)
        if self.leaving:
            return Err(runner_api.RefusalReason.LEAVING)
        if job.memory_tokens > self.config.kv_capacity_tokens:
            return Err(runner_api.RefusalReason.MEMORY)
        if len(self._waiting) >= self.config.max_waiting:
            return Err(runner_api.RefusalReason.BUSY)
        self._order += 1
        offset = job.resume_offset
        entry = engine_types.Entry(job, self._order, job.prompt_tokens, offset, offset)
        self._waiting[job.attempt_id] = entry
        heapq.heappush(self._queue, (job.priority, self._order, job.attempt_id))
        self._on_jobs_changed()
        return Ok(None)

    def cancel(self, attempt_id: str, now_s: float) -> runner_api.CancelState:
        """End an attempt and free the memory that it holds.

        Args:
            attempt_id: the attempt; it may hold only imported memory.
            now_s: the time of the cancel.

        Returns:
            The state that is recorded for the attempt.
        """
        self._run(now_s)
        imported = self._imports.pop(attempt_id, 0)
        self._kv_used -= imported
        entry = self._batch.pop(attempt_id, None)
        if entry is not None:
            self._kv_used -= entry.job.memory_tokens
        waiting = self._waiting.pop(attempt_id, None)
        self._on_jobs_changed()
        if imported or entry is not None or waiting is not None:
            self._record_end(attempt_id, runner_api.CancelState.CANCELLED)
        return self._ended.get(attempt_id, runner_api.CancelState.NOT_KNOWN)

    def import_kv(
        self, attempt_id: str, tokens: int, now_s: float
    ) -> Result[int, runner_api.RefusalReason]:
        """Import a part of a prompt's KV cache and hold it until a cancel.

        Args:
            attempt_id: the attempt that the part belongs to.
            tokens: size of the part; it replaces that of an earlier import.
            now_s: the time of the import.

        Returns:
            Tokens now held for the attempt, or the reason for a refusal.
        """
        self._run(now_s)
        if self.leaving:
            return Err(runner_api.RefusalReason.LEAVING)
        added = tokens - self._imports.get(attempt_id, 0)
        if self._kv_used + added > self.config.kv_capacity_tokens:
            return Err(runner_api.RefusalReason.MEMORY)
        self._imports[attempt_id] = tokens
        self._kv_used += added
        return Ok(tokens)

    def advance(self, now_s: float) -> list[Progress]:
        """Advance the model to ``now_s``.

        Args:
            now_s: the new time of the model.

        Returns:
            The tokens that were decoded since the last call. The first and
            the last token of an attempt have reports with their own times;
            the tokens between them are merged.
        """
        self._run(now_s)
        for entry in self._batch.values():
            if entry.produced > entry.reported_offset:
                self._report_progress(entry)
        reports, self._pending_reports = self._pending_reports, []
        return reports

    def next_event_s(self) -> float | None:
        """Return the time of the next first token or end, without new jobs.

        If another call has advanced the model past such an event, its report
        still waits for ``advance``, and this is the model's present time.
        """
        if self._pending_reports:
            return self._now_s
        if self._event_s is None and self._iteration is not None:
            self._event_s = self._find_event_s(self._iteration)
        return self._event_s

    def load(self, now_s: float) -> runner_api.LoadAnswer:
        """Return the load as it was about ``load_lag_s`` ago."""
        self._run(now_s)
        return self._load_report.lagged_load(now_s)

    def cache_events(self, since: int, now_s: float) -> runner_api.CacheEventsAnswer:
        """Return cache events after ``since``, delayed and with gaps."""
        self._run(now_s)
        return self._cache.events(since, now_s)

    def _run(self, now_s: float) -> None:
        while self._iteration is not None and self._iteration.end_s <= now_s:
            self._end_iterations(self._iteration, now_s)
            self._start_iteration()
        self._now_s = max(self._now_s, now_s)
        self._load_report.record(self._now_s, self._load)

    def _start_iteration(self) -> None:
        """Admit the jobs that fit and start an iteration if there is work."""
        self._admit()
        self._jobs_changed = False
        self._event_s = None
        prefill = min(
            (entry for entry in self._batch.values() if entry.prefill_tokens_left),
            key=lambda entry: entry.rank,
            default=None,
        )
        decoding = tuple(
            entry for entry in self._batch.values() if not entry.prefill_tokens_left
        )
        if prefill is None and not decoding:
            self._iteration = None
            return
        chunk = 0
        if prefill is not None:
            chunk = min(self.config.chunk_tokens, prefill.prefill_tokens_left)
        end_s = self._now_s + self._duration_s(chunk, bool(decoding))
        self._iteration = engine_types.Iteration(end_s, prefill, chunk, decoding)

    def _on_jobs_changed(self) -> None:
        """Record that the next iteration may differ from the current one."""
        self._jobs_changed = True
        self._event_s = None
        if self._iteration is None:
            self._start_iteration()

    def _admit(self) -> None:
        """Move waiting jobs into the batch, in strict order of rank."""
        while self._queue and len(self._batch) < self.config.max_batch:
            entry = self._waiting.get(self._queue[0][2])
            if entry is None:
                heapq.heappop(self._queue)
                continue
            needed = entry.job.memory_tokens
            if self._kv_used + needed > self.config.kv_capacity_tokens:
                return
            heapq.heappop(self._queue)
            del self._waiting[entry.job.attempt_id]
            cached = self._cache.cached_tokens(entry.job.block_hashes)
            entry.prefill_tokens_left = max(1, entry.job.prompt_tokens - cached)
            self._kv_used += needed
            self._batch[entry.job.attempt_id] = entry

    def _end_iterations(self, current: engine_types.Iteration, now_s: float) -> None:
        """Complete the iteration and equal ones after it up to ``now_s``."""
        count = 1
        to_event = self._iterations_to_event(current)
        if to_event > 1:
            duration_s = self._duration_s(current.chunk, bool(current.decoding))
            count += int((now_s - current.end_s) / duration_s)
            count = min(count, to_event - 1)
            current = dataclasses.replace(
                current, end_s=current.end_s + (count - 1) * duration_s
            )
        self._now_s = current.end_s
        for entry in current.decoding:
            if self._batch.get(entry.job.attempt_id) is entry:
                self._decode(entry, count)
        prefill = current.prefill
        if prefill is not None and self._batch.get(prefill.job.attempt_id) is prefill:
            prefill.prefill_tokens_left -= count * current.chunk
            if not prefill.prefill_tokens_left:
                self._cache.store(prefill.job.block_hashes, self._now_s)
                self._decode(prefill, 1)
                self._report_progress(prefill)

    def _find_event_s(self, current: engine_types.Iteration) -> float:
        count = self._iterations_to_event(current)
        if count <= 1:
            return current.end_s
        last_chunk = 0
        if current.prefill is not None:
            left = current.prefill.prefill_tokens_left - (count - 1) * current.chunk
            last_chunk = min(current.chunk, left)
        decoding = bool(current.decoding)
        full_s = self._duration_s(current.chunk, decoding)
        last_s = self._duration_s(last_chunk, decoding)
        return current.end_s + (count - 2) * full_s + last_s

    def _iterations_to_event(self, current: engine_types.Iteration) -> int:
        return 1 if self._jobs_changed else current.iterations_to_event()

    def _decode(self, entry: engine_types.Entry, count: int) -> None:
        entry.produced += min(count, entry.answer_tokens_left)
        entry.last_token_s = self._now_s
        if not entry.answer_tokens_left:
            del self._batch[entry.job.attempt_id]
            self._kv_used -= entry.job.memory_tokens
            self._record_end(entry.job.attempt_id, runner_api.CancelState.FINISHED)
            self._report_progress(entry)

    def _report_progress(self, entry: engine_types.Entry) -> None:
        """Report the tokens of an entry that are not reported yet."""
        count = entry.produced - entry.reported_offset
        finished = not entry.answer_tokens_left
        progress = Progress(
            entry.job.attempt_id,
            entry.last_token_s,
            entry.reported_offset,
            count,
            finished,
        )
        if count or (finished and not entry.is_end_reported):
            self._pending_reports.append(progress)
        entry.is_end_reported = finished
        entry.reported_offset = entry.produced

    def _duration_s(self, chunk: int, decoding: bool) -> float:
        prefill_s = chunk / self.config.prefill_tokens_per_s
        decode_s = self.config.decode_step_s if decoding else 0.0
        return (prefill_s + decode_s) * self.slowdown

    def _record_end(self, attempt_id: str, state: runner_api.CancelState) -> None:
        self._ended[attempt_id] = state
        while len(self._ended) > ENDED_ATTEMPTS_MAX:
            self._ended.popitem(last=False)

    def _load(self) -> runner_api.LoadAnswer:
        """Return the current load."""
        entries = (*self._waiting.values(), *self._batch.values())
        # Waiting attempts are listed too, with 0 tokens of memory.
        held = dict.fromkeys(self._waiting, 0) | self.held
        return load_report.make_load_answer(
            self.config, entries, len(self._batch), self._kv_used, held
        )
