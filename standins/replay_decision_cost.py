"""Measures the time of a routing decision in fleets of several sizes.

Run as ``python -m standins.replay_decision_cost``; it prints one line for
each fleet.
"""

import random
import time

from lacewingdrum_coordination import prefixes, routing
from lacewingdrum_state import documents, fleet, ids, requests

RUNNER_COUNTS = (20, 100, 1_100)
DECISIONS = 10_000
SEED = 1
SERVICE = ids.ServiceName("sommelier-llm")
SHARED_BLOCKS = 2
SESSIONS = 2_000
SESSION_BLOCKS = 8
SESSIONS_PER_RUNNER = 40
PROMPT_TOKENS = (1_500, 3_000, 9_000, 40_000, 200_000)


def session_blocks(session: int) -> tuple[int, ...]:
    """Return the block hashes of a prompt: shared ones, then its own."""
    own = range(session * 100, session * 100 + SESSION_BLOCKS)
    return (*range(1, SHARED_BLOCKS + 1), *(1_000 + block for block in own))


def make_router(runner_count: int, rng: random.Random) -> routing.Router:
    """Return a router that knows the loads and caches of all runners."""
    router = routing.Router(ids.DataCentre("almaty-north"), rng)
    runners = [
        fleet.Runner(
            ids.RunnerId(f"r{number:04}"),
            SERVICE,
            ids.DataCentre("almaty-north"),
            fleet.Address("127.0.0.1", 1),
            ids.Incarnation(1),
        )
        for number in range(runner_count)
    ]
    router.set_runners(runners)
    for runner in runners:
        router.observe_load(_load(runner.runner_id, rng))
        for _ in range(SESSIONS_PER_RUNNER):
            blocks = session_blocks(rng.randrange(SESSIONS))
            changes = [prefixes.BlockChange(block, True) for block in blocks]
            router.observe_cache(runner.runner_id, changes)
    return router


def _load(runner_id: ids.RunnerId, rng: random.Random) -> fleet.RunnerLoad:
    return fleet.RunnerLoad(
        runner_id,
        0.0,
        rng.randrange(4_000),
        rng.randrange(90_000),
        rng.randrange(300_000),
        5,
        rng.randrange(150_000),
        400_000,
        10_000.0,
        50.0,
    )


def decision_times_us(runner_count: int) -> list[float]:
    """Return the time of each decision in ascending order."""
    rng = random.Random(SEED)
    router = make_router(runner_count, rng)
    weights = documents.Weights()
    times_us = []
    for number in range(DECISIONS):
        now_s = 0.5 + number * 0.0003
        request = requests.Request(
            ids.RequestId(str(number)),
            SERVICE,
            ids.CustomerId("broker"),
            ids.KindName("question"),
            rng.choice(PROMPT_TOKENS),
            100,
            now_s,
            now_s + 60,
            block_hashes=session_blocks(rng.randrange(SESSIONS)),
        )
        start_ns = time.perf_counter_ns()
        decision = router.choose(request, weights, now_s)
        times_us.append((time.perf_counter_ns() - start_ns) / 1_000)
        assert decision.runner is not None
        router.sent(
            request,
            requests.InFlightAttempt(
                ids.AttemptId(str(number)),
                decision.runner.runner_id,
                request.prompt_tokens,
                request.total_tokens,
                now_s,
            ),
        )
    return sorted(times_us)


def main() -> None:
    """Print the percentiles for each fleet."""
    for runner_count in RUNNER_COUNTS:
        times_us = decision_times_us(runner_count)
        p50_us = times_us[DECISIONS // 2]
        p99_us = times_us[DECISIONS * 99 // 100]
        print(f"{runner_count:>5} runners  p50 {p50_us:6.0f} us  p99 {p99_us:6.0f} us")


if __name__ == "__main__":
    main()
