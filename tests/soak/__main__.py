"""Runs soaks: ``python -m tests.soak --seeds 50 [--first N] [--length S]``."""

import argparse
import asyncio
import collections
import pathlib
import random
import sys
import tempfile

from tests.soak import (
    builds,
    callers,
    checks,
    cut_checks,
    faults,
    lost_checks,
    site,
    unread_checks,
)

RECOVERY_S = 6.0
SETTLE_S = 2.0
MEMORY_BACK_S = 4.5
SERVED_AFTER_MIN = 0.9


async def soak(
    seed: int,
    length_s: float,
    folder: pathlib.Path,
    gateway_count: int = site.GATEWAYS,
    profile: faults.Profile = faults.Profile.ALL,
    earlier: tuple[str, ...] = (),
) -> list[str]:
    """Run one soak.

    Args:
        seed: seed of the faults and the callers.
        length_s: time span in which new faults begin.
        folder: folder for settings and logs.
        gateway_count: the number of gateways.
        profile: which faults are drawn.
        earlier: commits whose gateways run beside today's.

    Returns:
        A line for each violation.

    Raises:
        builds.MissingCommitError: if the history lacks a commit.
    """
    rng = random.Random(seed)
    known_builds = (
        builds.TODAY,
        *(builds.unpack(commit, folder / "builds") for commit in earlier),
    )
    soak_site = site.SoakSite(folder, rng, gateway_count, known_builds)
    violations: list[str] = []
    try:
        await soak_site.start()
        for number in range(gateway_count):
            await soak_site.wait_until_ready(number)
        soak_callers = callers.Callers(soak_site, random.Random(seed + 1))
        stop = asyncio.Event()
        calling = asyncio.ensure_future(soak_callers.run(stop))
        await faults.Injector(soak_site, rng, profile).run(length_s)
        await asyncio.sleep(RECOVERY_S)
        recovered_s = asyncio.get_running_loop().time()
        await asyncio.sleep(SETTLE_S)
        stop.set()
        await calling
        after = [item for item in soak_callers.observed if item.sent_s > recovered_s]
        share = callers.answered_share(after)
        if share < SERVED_AFTER_MIN:
            statuses = collections.Counter(
                (item.attempt_id.partition("-")[0], item.status) for item in after
            )
            violations.append(f"only {share:.2f} served after recovery: {statuses}")
        await asyncio.sleep(MEMORY_BACK_S)
        loop_s = asyncio.get_running_loop().time()
        violations += [
            f"{runner.runner_id}: memory {name} is still reserved"
            for runner in soak_site.runners
            for name, item in runner.reserved.items()
            if item.until_s > loop_s
        ]
        violations += soak_site.unread
        for number in range(gateway_count):
            violations += await unread_checks.violations(soak_site, number)
        violations += checks.violations(
            soak_callers.observed, soak_site.runners, soak_site.disruptions
        )
        violations += checks.crashing_part_violations(
            soak_site.engines, soak_site.disruptions
        )
        violations += checks.crashing_request_violations(
            soak_site.ledgers, soak_site.disruptions
        )
        violations += cut_checks.violations(
            soak_site.cuts, soak_callers.observed, soak_site.disruptions
        )
        violations += checks.limit_violations(
            soak_site.named_limits, soak_site.disruptions
        )
        if profile is faults.Profile.SOUND:
            violations += lost_checks.violations(
                soak_callers.observed, soak_site.runners, soak_site.disruptions
            )
        answered = callers.answered_share(soak_callers.observed)
        print(
            f"seed {seed}: {len(soak_callers.observed)} requests, "
            f"{answered:.2f} served, "
            f"{len(soak_site.faults)} faults, {len(violations)} broken"
        )
        if violations:
            print("   faults: " + "; ".join(soak_site.faults))
    except TimeoutError:
        violations.append("a gateway was not ready in time")
    finally:
        violations += await soak_site.close()
    return violations


def main() -> int:
    """Return 0 if no seed had a violation."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--first", type=int, default=0, help="the first; 0: any")
    parser.add_argument("--length", type=float, default=12.0, help="seconds of faults")
    parser.add_argument(
        "--gateways", type=int, default=site.GATEWAYS, help="how many gateways"
    )
    parser.add_argument(
        "--earlier",
        action="append",
        default=[],
        metavar="COMMIT",
        help="gateways of this commit run beside today's; may be repeated",
    )
    parser.add_argument(
        "--profile",
        type=faults.Profile,
        default=faults.Profile.ALL,
        metavar="{all,sound}",
        help="which faults are drawn",
    )
    parser.add_argument("--keep", help="folder that keeps logs of failed seeds")
    arguments = parser.parse_args()
    first = arguments.first or random.SystemRandom().randrange(1, 1_000_000)
    failed = 0
    for seed in range(first, first + arguments.seeds):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            violations = asyncio.run(
                soak(
                    seed,
                    arguments.length,
                    folder,
                    arguments.gateways,
                    arguments.profile,
                    tuple(arguments.earlier),
                )
            )
            for line in violations:
                print(f"   {line}")
            failed += bool(violations)
            if violations and arguments.keep:
                kept = pathlib.Path(arguments.keep) / str(seed)
                kept.mkdir(parents=True, exist_ok=True)
                for path in folder.glob("gateway-*"):
                    (kept / path.name).write_bytes(path.read_bytes())
    print(f"{arguments.seeds - failed} seeds passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
