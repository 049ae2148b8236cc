"""Runs ``make demo``: three daemons, both users' services, 30 s of load.

``--kill-one`` kills one daemon halfway. The exit code is 0 only if every
admitted request received its complete answer or a failure that is reported
correctly, no order took effect twice, and no engine still holds memory.
"""

import argparse
import asyncio
import os
import pathlib
import sys
import tempfile

from lacewingdrum_protocol import document_text
from lacewingdrum_state import documents
from standins import calls, cluster, demo_report, load, load_check

EXAMPLES = ("sommelier-llm", "vault-ledger", "meiler-llm", "meiler-app")
DATA_CENTRES = ("almaty-north", "almaty-east", "almaty-south")
ENGINE_OPTIONS = ("--prefill-tokens-per-s", "50000", "--decode-step-s", "0.01")
ENGINES = {"sommelier-llm": 2, "meiler-llm": 2}
PLAIN_SERVICES = ("vault-ledger", "meiler-app")
ALONE_COUNT = 15
READY_TIMEOUT_S = 30.0
FREE_TIMEOUT_S = 40.0
COMMAND_TIMEOUT_S = 60.0


def plan() -> cluster.Plan:
    """Return the deployment of the demo."""
    daemons = []
    runners = []
    for place, data_centre in enumerate(DATA_CENTRES, 1):
        daemons.append(cluster.DaemonPlan(f"vm-{place}", data_centre))
        for service, count in ENGINES.items():
            runners += [
                cluster.RunnerPlan(
                    f"{service}-{place}{number}",
                    service,
                    data_centre,
                    options=ENGINE_OPTIONS,
                )
                for number in range(1, count + 1)
            ]
        runners += [
            cluster.RunnerPlan(f"{service}-{place}", service, data_centre, False)
            for service in PLAIN_SERVICES
        ]
    return cluster.Plan(tuple(daemons), tuple(runners))


def example(service: str) -> pathlib.Path:
    """Return the path of the example document of a service."""
    return cluster.ROOT / "examples" / f"{service}.toml"


def parsed_examples() -> tuple[documents.ServiceDocument, ...]:
    """Return the example documents, parsed as the daemon parses them."""
    found = []
    for service in EXAMPLES:
        document, errors = document_text.parse(example(service).read_text())
        assert document is not None, errors
        found.append(document)
    return tuple(found)


async def command(deployment: cluster.Cluster, *arguments: str) -> int:
    """Run the ``lacewingdrum`` command against the running daemons.

    Args:
        deployment: the deployment whose operator addresses it uses.
        arguments: the arguments of the command.

    Returns:
        Its exit code, or -1 after a timeout.
    """
    print(f"$ lacewingdrum {' '.join(arguments)}", flush=True)
    addresses = [
        str(daemon.operators)
        for daemon in deployment.daemons.values()
        if daemon.child.is_running
    ]
    environment = {
        **os.environ,
        "LACEWINGDRUM_DAEMONS": ",".join(addresses),
        "LACEWINGDRUM_CREDENTIAL": cluster.OPERATOR_CREDENTIAL,
    }
    program = pathlib.Path(sys.executable).parent / "lacewingdrum"
    process = await asyncio.create_subprocess_exec(
        program, *arguments, env=environment, stdin=asyncio.subprocess.DEVNULL
    )
    try:
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            return await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()
        return -1


async def submit_examples(deployment: cluster.Cluster) -> bool:
    """Submit the example documents; return whether all were accepted.

    If so, all running daemons are ready when it returns.
    """
    for service in EXAMPLES:
        path = str(example(service).relative_to(cluster.ROOT))
        if await command(deployment, "submit", "--wait", path) != 0:
            return False
    await deployment.wait_for("/readyz", READY_TIMEOUT_S)
    return True


async def run(arguments: argparse.Namespace, folder: pathlib.Path) -> int:
    """Run the whole demo.

    Args:
        arguments: the parsed command line.
        folder: the folder for settings and logs.

    Returns:
        The exit code.
    """
    async with cluster.Cluster(plan(), folder) as deployment:
        count = len(deployment.runners)
        print(f"{len(DATA_CENTRES)} daemons, {count} runners, logs in {folder}")
        if not await submit_examples(deployment):
            return 1
        load_plan = load.LoadPlan(duration_s=arguments.seconds)
        callers = load.Load(deployment, parsed_examples(), load_plan, arguments.seed)
        try:
            return await _run_load(deployment, callers, arguments)
        finally:
            await callers.close()


async def _run_load(
    deployment: cluster.Cluster, callers: load.Load, arguments: argparse.Namespace
) -> int:
    await callers.start()
    alone = await callers.run_alone(ALONE_COUNT)
    killer = asyncio.ensure_future(_kill_one(deployment, arguments))
    print(f"load for {arguments.seconds:g} s", flush=True)
    await callers.run()
    killed = await killer
    free_s = await load_check.wait_until_free(deployment, FREE_TIMEOUT_S)
    found = await load_check.check_load(deployment, callers.result, killed)
    print("\n".join(demo_report.lines(callers.result, alone, found)))
    violations = list(found.violations)
    violations += [f"sent alone: {o.detail}" for o in alone if _is_broken(o)]
    if free_s == float("inf"):
        violations.append(f"engine memory still held after {FREE_TIMEOUT_S:g} s")
    else:
        print(f"engine memory: all free {free_s:.1f} s after the load")
    print(flush=True)
    await command(deployment, "status")
    print()
    for violation in violations:
        print(f"BROKEN {violation}")
    print(f"{len(violations)} promises broken")
    return 1 if violations else 0


async def _kill_one(
    deployment: cluster.Cluster, arguments: argparse.Namespace
) -> frozenset[str]:
    if not arguments.kill_one:
        return frozenset()
    await asyncio.sleep(arguments.seconds / 2)
    vm_id = deployment.plan.daemons[-1].vm_id
    print(f"killing the daemon on {vm_id}", flush=True)
    await deployment.kill_daemon(vm_id)
    return frozenset([vm_id])


def _is_broken(outcome: calls.Outcome) -> bool:
    return outcome.end in (calls.End.WRONG, calls.End.CONNECTION_LOST)


def main() -> int:
    """Run the demo and return its exit code."""
    parser = argparse.ArgumentParser(prog="python -m standins.demo")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--kill-one", action="store_true")
    parser.add_argument("--keep", type=pathlib.Path, help="a folder for the logs")
    arguments = parser.parse_args()
    if arguments.keep is not None:
        arguments.keep.mkdir(parents=True, exist_ok=True)
        return asyncio.run(run(arguments, arguments.keep))
    with tempfile.TemporaryDirectory(prefix="lacewingdrum-demo-") as name:
        return asyncio.run(run(arguments, pathlib.Path(name)))


if __name__ == "__main__":
    sys.exit(main())
