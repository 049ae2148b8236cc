"""What the model of an engine takes in, tracks and reports."""

import dataclasses

from lacewingdrum_protocol import runner_api


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerConfig:
    """An engine's size and speed.

    ``decode_step_s`` is the time of one token of all streams of the batch.
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
    """One attempt as the engine sees it.

    ``max_tokens`` counts the whole answer; the job makes the tokens from
    ``resume_offset`` on. ``held_elsewhere_tokens`` of the prompt lie in
    other engines of a group.
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
        """KV cache tokens that the job needs in this engine."""
        return self.prompt_tokens + self.max_tokens - self.held_elsewhere_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Tokens that an attempt got, the last of them at ``at_s``."""

    attempt_id: str
    at_s: float
    offset: int
    token_count: int
    finished: bool


@dataclasses.dataclass(slots=True)
class Entry:
    """A job with its progress; offsets before ``reported_offset`` were reported."""

    job: Job
    order: int
    remaining_prefill_tokens: int
    produced: int
    reported_offset: int
    last_token_s: float = 0.0
    is_end_reported: bool = False

    @property
    def rank(self) -> tuple[int, int]:
        """The order in which the engine serves jobs."""
        return (self.job.priority, self.order)

    @property
    def remaining_answer_tokens(self) -> int:
        """Tokens of the answer still to be made."""
        return self.job.max_tokens - self.produced


@dataclasses.dataclass(frozen=True, slots=True)
class Iteration:
    """Work in progress: a chunk of ``prefill``, one token for the others."""

    end_s: float
    prefill: Entry | None
    chunk: int
    decoding: tuple[Entry, ...]

    def iterations_to_event(self) -> int:
        """Count alike iterations up to the next first token or end."""
        counts = [entry.remaining_answer_tokens for entry in self.decoding]
        if self.prefill is not None:
            counts.append(-(-self.prefill.remaining_prefill_tokens // self.chunk))
        return min(counts)
