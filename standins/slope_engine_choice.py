"""Measures the time of one choice of engines.

Run as ``python -m standins.slope_engine_choice``. Half of each engine's slots
are in use by short requests that are decoding; the requests to place have
short, middle and long prompts. The times are processor times, as other
processes may share the machine.
"""

import argparse
import random
import time

from hdrh import histogram

from lacewingdrum_coordination import (
    engine_choice,
    engine_costs,
    engine_load,
    engine_work_registry,
)
from lacewingdrum_state import fleet, ids, runner_entries, states
from standins import engine_model

DEMANDS = {
    "short": engine_costs.RequestNeeds(5_000, 300, 300.0, 200.0, 1.0),
    "middle": engine_costs.RequestNeeds(45_000, 300, 1_500.0, 500.0, 2.3),
    "long": engine_costs.RequestNeeds(210_000, 300, 3_000.0, 800.0, 16.0),
}
ENGINE_COUNTS = (16, 69, 172)
DECODING_REQUESTS_PER_ENGINE = 4
CHOICES = 2_000
HISTOGRAM_MAX_US = 1_000_000
US_PER_S = 1_000_000


def _candidates(count: int) -> tuple[engine_work_registry.EngineWorkRegistry, list]:
    registry = engine_work_registry.EngineWorkRegistry()
    candidates = []
    for number in range(count):
        runner_id = ids.RunnerId(f"e{number}")
        for index in range(DECODING_REQUESTS_PER_ENGINE):
            work = engine_load.Work(
                runner_id, 0.0, True, 200.0, 300.0, 1.0, 5_000, 5_300
            )
            name = f"{number}.{index}"
            registry.start(
                engine_work_registry.StartedWork(
                    name, ids.VmId("vm"), (work,), 60_000.0
                ),
                0.0,
            )
            registry.record_first_event(name, 0.0)
        entry = runner_entries.RunnerEntry(
            runner_id,
            ids.ServiceName("model"),
            ids.DataCentre("north"),
            fleet.Address("10.0.0.1", 1_000 + number),
            engine_model.MODEL.slots,
            states.MemberState.LIVE,
        )
        candidates.append(engine_costs.Candidate(entry, registry.load(runner_id)))
    return registry, candidates


def main() -> None:
    """Print a row for each number of engines and prompt length."""
    parser = argparse.ArgumentParser(prog="python -m standins.slope_engine_choice")
    parser.add_argument("--choices", type=int, default=CHOICES)
    arguments = parser.parse_args()
    print("engines  prompt  p50 us  p99 us")
    for count in ENGINE_COUNTS:
        registry, candidates = _candidates(count)
        for name, demand in DEMANDS.items():
            rng = random.Random(1)
            times = histogram.HdrHistogram(1, HISTOGRAM_MAX_US, 3)
            for _ in range(arguments.choices):
                start_s = time.thread_time()
                engine_choice.choose(
                    engine_model.MODEL,
                    demand,
                    candidates,
                    registry.arrivals(1.0),
                    1.0,
                    rng,
                )
                times.record_value(
                    max(int((time.thread_time() - start_s) * US_PER_S), 1)
                )
            p50 = times.get_value_at_percentile(50)
            p99 = times.get_value_at_percentile(99)
            print(f"{count:7}  {name:6}  {p50:6}  {p99:6}")


if __name__ == "__main__":
    main()
