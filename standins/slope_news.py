"""Measures what crashes and limits of runners cost a daemon.

Run as ``python -m standins.slope_news``: the time to find the candidates among
the runners of a service by the number of them that name a limit, the time to
look for a blame by the number of crashes that are known, the size of the
messages, and the time to compute the fingerprint of a request by its size.
"""

import functools
import random
import statistics
import time
from collections.abc import Callable

from lacewingdrum_coordination import (
    cold_limits,
    crash_evidence,
    evacuation_register,
    request_fingerprint,
    runner_health,
    runner_limits,
    runner_roster,
    sharing_daemons,
)
from lacewingdrum_gateway.crashes import crash_codec
from lacewingdrum_gateway.peers import peer_table
from lacewingdrum_gateway.runners import runner_candidates
from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import (
    crashes,
    fleet,
    ids,
    named_limits,
    runner_entries,
    states,
    store_versions,
)

RUNNERS = 172
DAEMONS = 39
LIMITED_COUNTS = (0, 17, 172)
CRASH_COUNTS = (0, 5, 128)
BODY_BYTES = (1_000, 20_000, 1_000_000)
CALLS = 2_000
SERVICE = ids.ServiceName("model")
DATA_CENTRE = ids.DataCentre("north")
US_PER_S = 1_000_000


def _entry(number: int) -> runner_entries.RunnerEntry:
    return runner_entries.RunnerEntry(
        ids.RunnerId(f"e{number}"),
        SERVICE,
        DATA_CENTRE,
        fleet.Address("10.0.0.1", 1_000 + number),
        5,
        states.MemberState.LIVE,
        1,
    )


def _candidates(limited_count: int) -> runner_candidates.RunnerCandidates:
    roster = runner_roster.RunnerRoster()
    entries = tuple(_entry(number) for number in range(RUNNERS))
    version = store_versions.StoreVersion(0, 1)
    roster.apply(runner_entries.RunnerList(version, entries), 0.0)
    peers = peer_table.PeerTable(ids.VmId("10.0.0.0:7"), DATA_CENTRE)
    for number in range(1, DAEMONS):
        peer = peers.add_address(ids.VmId(f"10.0.0.{number}:7"), 0.0)
        if peer is not None:
            peer.data_centre = DATA_CENTRE
            peers.seen(peer, 0.0)
    known = runner_limits.RunnerLimits()
    for entry in entries[:limited_count]:
        known.record(named_limits.RunnerLimit(entry.runner_id, 1, 8.0, 0.0))
    return runner_candidates.RunnerCandidates(
        roster,
        runner_health.RunnerHealth(),
        known,
        cold_limits.ColdLimits(
            sharing_daemons.SharingDaemons(peers.own_address, DATA_CENTRE, 0.0),
            cold_limits.Overage(1.0, 0.0),
        ),
        peers,
        DATA_CENTRE,
        time.monotonic,
        evacuation_register.EvacuationRegister(),
    )


def _evidence(crash_count: int) -> crash_evidence.CrashEvidence:
    evidence = crash_evidence.CrashEvidence()
    rng = random.Random(1)
    for number in range(crash_count):
        lost = frozenset(
            tuple(
                map(
                    crashes.parse_subject,
                    (f"={rng.randbytes(8).hex()}", f"{rng.randrange(60):x}", "bad"),
                )
            )
            for _ in range(5)
        )
        crash = crashes.RunnerCrash(
            ids.RunnerId(f"e{number}"),
            1,
            number * 0.2,
            lost,
            frozenset((ids.VmId("10.0.0.1:7"),)),
        )
        evidence.merge(crashes.Evidence((crash,)), 30.0)
    return evidence


def _print_times(title: str, call: Callable[[], object]) -> None:
    times_us = []
    for _ in range(CALLS):
        start_s = time.perf_counter()
        call()
        times_us.append((time.perf_counter() - start_s) * US_PER_S)
    times_us.sort()
    p99_us = times_us[int(CALLS * 0.99)]
    print(f"{title}: p50 {statistics.median(times_us):.1f} us, p99 {p99_us:.1f} us")


def main() -> None:
    """Print a line for each size."""
    for count in LIMITED_COUNTS:
        candidates = _candidates(count)
        title = f"candidates of {RUNNERS} runners, {count} limited"
        call = functools.partial(candidates.of_service, SERVICE, set())
        _print_times(title, call)
    for count in CRASH_COUNTS:
        evidence = _evidence(count)
        subjects = tuple(map(crashes.parse_subject, ("=0", "1", "x")))
        title = f"blame of a sound prompt, {count} crashes"
        _print_times(title, functools.partial(evidence.find_blame, subjects))
        message = crash_codec.to_message(evidence.snapshot(), 30.0)
        size = len(peer_messages.encode("10.0.0.1:7", message))
        print(f"snapshot of {count} crashes: {size} bytes")
    for size in BODY_BYTES:
        compute = functools.partial(
            request_fingerprint.compute, "POST", "a.example", "/x", "c", bytes(size)
        )
        _print_times(f"fingerprint of {size} bytes", compute)


if __name__ == "__main__":
    main()
