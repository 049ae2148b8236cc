"""Generates the traces of the two workloads from a seed and stores them.

A trace file has a header line and one line per request. The arrival times are
for a load of 1.0, at which the arriving prompt tokens, with none cached, equal
the number that the fleet can prefill. A replay at another load scales the
times.

``python -m standins.traces`` regenerates the files.
"""

import bisect
import dataclasses
import itertools
import json
import math
import pathlib
import random
from collections.abc import Callable

import msgspec
import xxhash

from standins import engine_types, prefix_cache

FOLDER = pathlib.Path(__file__).resolve().parent.parent / "traces"
MIN_PROMPT_TOKENS = 1_000
MAX_PROMPT_TOKENS = 1_000_000
MEDIAN_PROMPT_TOKENS = 4_000
LENGTH_SIGMA = 1.5
MAX_HASHED_BLOCKS = 256
MEAN_SESSION_LENGTH = 2.5
MIN_DOCUMENT_SHARE = 0.2
MAX_DOCUMENT_SHARE = 0.7
SHARED_START_BLOCKS = 2


class TraceKind(msgspec.Struct, frozen=True):
    """A kind of request in the service document of a workload."""

    name: str
    max_prompt_tokens: int
    patience_ms: int
    worth: float
    min_answer_tokens: int
    max_answer_tokens: int
    peak_start: float
    peak_end: float
    peak_ratio: float


class Outcomes(msgspec.Struct, frozen=True):
    """Bounds for the replay of a trace, as the issue states them."""

    slowdown_load: float = 0.9
    max_short_slowdown: float = 1.5
    max_ratio_to_fewest_in_flight: float = 0.5
    min_worth_ratio_to_baselines: float = 1.0
    min_worth_ratio_at_twice_capacity: float = 0.9


class Header(msgspec.Struct, frozen=True):
    """The first line of a trace: the workload and its fleet."""

    workload: str
    service: str
    seed: int
    runner_count: int
    daemon_count: int
    data_centres: tuple[str, ...]
    link_delay_s: float
    weight_time_to_first_token: float
    weight_short_slowdown: float
    shares: tuple[float, ...]
    kinds: tuple[TraceKind, ...]
    outcomes: Outcomes = Outcomes()


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One request; ``kind`` and ``customer`` are indices into the header.

    The first ``shared_tokens`` tokens of the prompt are common to all prompts
    of the session that are long enough.
    """

    at_ms: int
    kind: int
    customer: int
    prompt_tokens: int
    answer_tokens: int
    session: int
    shared_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """A header and its requests in order of arrival."""

    header: Header
    rows: tuple[Row, ...]


KAZVINTAGE = Header(
    workload="kazvintage",
    service="sommelier-llm",
    seed=1,
    runner_count=20,
    daemon_count=7,
    data_centres=("almaty-north", "almaty-east", "almaty-south"),
    link_delay_s=0.003,
    weight_time_to_first_token=0.8,
    weight_short_slowdown=0.2,
    shares=(4.0, 3.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0),
    kinds=(
        TraceKind("question", 4_000, 15_000, 1.0, 10, 60, 0.0, 1.0, 1.0),
        TraceKind("summary", 100_000, 60_000, 4.0, 40, 160, 0.0, 1.0, 1.0),
        TraceKind("reconciliation", 1_000_000, 240_000, 80.0, 60, 240, 0.6, 1.0, 1.5),
    ),
)
MEILERWERK = Header(
    workload="meilerwerk",
    service="meiler-llm",
    seed=2,
    runner_count=15,
    daemon_count=6,
    data_centres=("bayern-a", "bayern-b", "bayern-c"),
    link_delay_s=0.004,
    weight_time_to_first_token=0.2,
    weight_short_slowdown=0.8,
    shares=(3.0, 3.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0),
    kinds=(
        TraceKind("vent_or_seal", 4_000, 10_000, 2.0, 10, 40, 0.2, 0.35, 3.0),
        TraceKind("burn", 20_000, 30_000, 2.0, 30, 120, 0.0, 1.0, 1.0),
        TraceKind("season", 100_000, 60_000, 5.0, 40, 160, 0.0, 1.0, 1.0),
        TraceKind("archive", 1_000_000, 240_000, 20.0, 60, 240, 0.0, 1.0, 1.0),
    ),
)
WORKLOADS = (KAZVINTAGE, MEILERWERK)
REQUEST_COUNT = 7_000


def capacity_tokens_per_s(header: Header) -> float:
    """Return the prompt tokens per second of a fleet that also decodes."""
    config = engine_types.RunnerConfig("")
    chunk_s = config.chunk_tokens / config.prefill_tokens_per_s
    rate = config.chunk_tokens / (chunk_s + config.decode_step_s)
    return header.runner_count * rate


def generate(header: Header, request_count: int) -> Trace:
    """Generate a trace; an equal header and count give an equal trace.

    Args:
        header: the workload and its seed.
        request_count: the number of requests.

    Returns:
        The trace, with arrival times for a load of 1.0.
    """
    rng = random.Random(header.seed)
    lengths = [_draw_prompt_tokens(rng) for _ in range(request_count)]
    span_s = sum(lengths) / capacity_tokens_per_s(header)
    drafts = []
    for prompt_tokens in lengths:
        kind = kind_of(header, prompt_tokens)
        drafts.append((_draw_position(header.kinds[kind], rng) * span_s, kind))
    order = sorted(range(request_count), key=lambda index: drafts[index][0])
    sessions = _Sessions(rng)
    rows = []
    for index in order:
        at_s, kind = drafts[index]
        chosen = header.kinds[kind]
        customer = rng.choices(range(len(header.shares)), header.shares)[0]
        session, shared = sessions.next(customer, kind, lengths[index])
        answer = rng.randint(chosen.min_answer_tokens, chosen.max_answer_tokens)
        at_ms = round(at_s * 1000)
        rows.append(Row(at_ms, kind, customer, lengths[index], answer, session, shared))
    return Trace(header, tuple(rows))


def kind_of(header: Header, prompt_tokens: int) -> int:
    """Return the index of the first kind whose limit allows the prompt."""
    bounds = [kind.max_prompt_tokens for kind in header.kinds]
    return bisect.bisect_left(bounds, prompt_tokens)


def block_hashes(trace: Trace, index: int) -> tuple[int, ...]:
    """Hash the first blocks of a prompt.

    Args:
        trace: the trace.
        index: the index of the request in the trace.

    Returns:
        One hash per block; it is equal for blocks that prompts share.
    """
    row = trace.rows[index]
    count = min(row.prompt_tokens // prefix_cache.BLOCK_TOKENS, MAX_HASHED_BLOCKS)
    shared = row.shared_tokens // prefix_cache.BLOCK_TOKENS
    names = []
    for block in range(count):
        if block < SHARED_START_BLOCKS:
            names.append(f"start:{row.kind}:{block}")
        elif block < shared:
            names.append(f"session:{row.session}:{block}")
        else:
            names.append(f"request:{row.session}:{index}:{block}")
    return tuple(
        xxhash.xxh3_64_intdigest(f"{trace.header.workload}:{name}".encode())
        for name in names
    )


def save(trace: Trace, path: pathlib.Path) -> None:
    """Write a trace as lines of JSON."""
    lines = [msgspec.json.encode(trace.header)]
    lines.extend(msgspec.json.encode(row) for row in trace.rows)
    path.write_bytes(b"\n".join(lines) + b"\n")


def load(path: pathlib.Path) -> Trace:
    """Read a trace that ``save`` wrote."""
    first, *rest = path.read_bytes().splitlines()
    decoder = msgspec.json.Decoder(Row)
    header = msgspec.json.decode(first, type=Header)
    return Trace(header, tuple(decoder.decode(line) for line in rest))


def path_of(workload: str) -> pathlib.Path:
    """Return the path of the trace file of a workload."""
    return FOLDER / f"{workload}.jsonl"


def _draw_prompt_tokens(rng: random.Random) -> int:
    while True:
        drawn = rng.lognormvariate(math.log(MEDIAN_PROMPT_TOKENS), LENGTH_SIGMA)
        if MIN_PROMPT_TOKENS <= drawn <= MAX_PROMPT_TOKENS:
            return round(drawn)


def _draw_position(kind: TraceKind, rng: random.Random) -> float:
    """Draw a time from 0 to 1; its density is higher in the kind's peak."""
    width = kind.peak_end - kind.peak_start
    peak_weight = width * kind.peak_ratio
    if rng.random() < peak_weight / (peak_weight + 1.0 - width):
        return kind.peak_start + width * rng.random()
    while True:
        drawn = rng.random()
        if not kind.peak_start <= drawn < kind.peak_end or width >= 1.0:
            return drawn


class _Sessions:
    """Sessions whose later prompts share a prefix with the first one."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._numbers = itertools.count(1)
        self._current_sessions: dict[tuple[int, int], tuple[int, int]] = {}

    def next(self, customer: int, kind: int, prompt_tokens: int) -> tuple[int, int]:
        """Return the session of a prompt and the tokens that it shares."""
        key = (customer, kind)
        current = self._current_sessions.get(key)
        if current is not None and self._rng.random() < 1 - 1 / MEAN_SESSION_LENGTH:
            session, document_tokens = current
        else:
            session = next(self._numbers)
            share = self._rng.uniform(MIN_DOCUMENT_SHARE, MAX_DOCUMENT_SHARE)
            document_tokens = round(prompt_tokens * share)
            self._current_sessions[key] = (session, document_tokens)
        max_shared_tokens = round(prompt_tokens * MAX_DOCUMENT_SHARE)
        return session, min(document_tokens, max_shared_tokens)


def main(write: Callable[[str], None] = print) -> None:
    """Write the trace files of all workloads."""
    FOLDER.mkdir(exist_ok=True)
    for header in WORKLOADS:
        trace = generate(header, REQUEST_COUNT)
        save(trace, path_of(header.workload))
        span_s = trace.rows[-1].at_ms / 1000
        write(json.dumps({"workload": header.workload, "span_s": span_s}))


if __name__ == "__main__":
    main()
