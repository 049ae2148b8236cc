"""Defines the configuration, jobs and progress reports of the engine model."""

import dataclasses

from lacewingdrum_protocol import runner_api


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerConfig:
    """Size and speed of an engine.

    ``decode_step_s`` is the time in which the batch decodes one token of
    each of its answers.
    """

    runner_id: str
    prefill_tokens_per_s: float = 10_000
    decode_step_s: float = 0.02
    max_batch: int = 32
    kv_capacity_tokens: int = 400_000
    chunk_tokens: int = 2048
    load_lag_s: float = 1.0
    cache_tokens: int = 100_000
    max_waiting: int = 512
    cache_event_lag_s: float = 2.0
    cache_gap_every: int = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """An attempt as the engine receives it.

    ``max_tokens`` is the length of the complete answer. The engine decodes
    the tokens from ``resume_offset`` on. Other engines of the group hold
    ``held_elsewhere_tokens`` tokens of the prompt.
    """

    attempt_id: str
    prompt_tokens: int
    max_tokens: int
    priority: int = runner_api.Priority.SHORT
    block_hashes: tuple[int, ...] = ()
    resume_offset: int = 0
    held_elsewhere_tokens: int = 0

    @property
    def memory_tokens(self) -> int:
        """KV cache tokens that the job occupies in this engine."""
        return self.prompt_tokens + self.max_tokens - self.held_elsewhere_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Tokens decoded for an attempt, the last of them at ``at_s``."""

    attempt_id: str
    at_s: float
    offset: int
    token_count: int
    finished: bool


@dataclasses.dataclass(slots=True)
class Entry:
    """A job and its progress; ``reported_offset`` is the reported part."""

    job: Job
    order: int
    prefill_tokens_left: int
    produced: int
    reported_offset: int
    last_token_s: float = 0.0
    is_end_reported: bool = False

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key by which the engine serves jobs, lowest first."""
        return (self.job.priority, self.order)

    @property
    def answer_tokens_left(self) -> int:
        """Tokens of the answer that are not decoded yet."""
        return self.job.max_tokens - self.produced


@dataclasses.dataclass(frozen=True, slots=True)
class Iteration:
    """An iteration in progress.

    The engine prefills one chunk of the prompt of ``prefill`` and decodes
    one token for each entry of ``decoding``.
    """

    end_s: float
    prefill: Entry | None
    chunk: int
    decoding: tuple[Entry, ...]

    def iterations_to_event(self) -> int:
        """Count equal iterations up to the next first token or answer end."""
        counts = [entry.answer_tokens_left for entry in self.decoding]
        if self.prefill is not None:
            counts.append(-(-self.prefill.prefill_tokens_left // self.chunk))
        return min(counts)
