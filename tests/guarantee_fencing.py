"""Checks placement orders on real processes while each daemon is frozen.

The daemons are frozen in turn; one of them holds the lease. While a daemon is
frozen for longer than the lease term, an operator changes the desired model,
and a successor orders it. After the frozen daemon resumes, the engines must
keep the later model, whether they check fencing numbers or not.
"""

import asyncio
import pathlib
import sys
import tempfile

import msgspec

from lacewingdrum_protocol import operators_api
from lacewingdrum_state import ids
from standins import cluster
from tests import proofs, whole_system

ORDERED_TIMEOUT_S = 40.0
FROZEN_S = 14.0
WATCH_S = 6.0
POLL_S = 0.5
CALL_TIMEOUT_S = 10.0
SUBMIT_TRIES = 20
CHECKING = "engine-0"
SERVICE = whole_system.MODEL_SERVICE
PATH = f"{operators_api.DOCUMENTS_PREFIX}{SERVICE}"
AUTHORIZATION = (("Authorization", f"Bearer {cluster.OPERATOR_CREDENTIAL}"),)


def plan() -> cluster.Plan:
    """Plan three daemons and three engines, one with fencing checks."""
    usual = whole_system.plan()
    runners = tuple(
        cluster.RunnerPlan(
            runner.runner_id,
            runner.service,
            runner.data_centre,
            runner.is_engine,
            ("--checks-fencing",) if runner.runner_id == CHECKING else (),
        )
        for runner in usual.runners
    )
    return cluster.Plan(usual.daemons, runners)


async def run(folder: pathlib.Path) -> proofs.Outcome:
    """Freeze each daemon in turn.

    Args:
        folder: folder for settings and logs.

    Returns:
        The outcome, with one trial for each engine and frozen daemon.
    """
    violations: list[str] = []
    trials = 0
    async with whole_system.running(plan(), folder) as deployment:
        for number, vm_id in enumerate(deployment.daemons):
            model = f"sommelier-large@{10 + number}"
            deployment.daemons[vm_id].child.freeze()
            await asyncio.sleep(FROZEN_S)
            other = next(name for name in deployment.daemons if name != vm_id)
            await _submit(deployment, other, model)
            if not await _all_serve(deployment, model):
                violations.append(f"{model} was not ordered while {vm_id} was frozen")
            deployment.daemons[vm_id].child.thaw()
            await asyncio.sleep(WATCH_S)
            for name, served in (await _served(deployment)).items():
                trials += 1
                if served != model:
                    violations.append(f"{name} ends at {served}, not {model}")
    return proofs.Outcome(trials, tuple(violations))


async def _submit(deployment: cluster.Cluster, vm_id: str, model: str) -> None:
    """Submit ``model`` as the desired model to a daemon that is not frozen."""
    address = deployment.daemons[vm_id].operators
    submission_id = str(ids.new_submission_id())
    for _ in range(SUBMIT_TRIES):
        shown = await deployment.http.request(
            address, "GET", PATH, AUTHORIZATION, b"", CALL_TIMEOUT_S
        )
        current = msgspec.json.decode(
            shown.unwrap().body, type=operators_api.DocumentAnswer
        )
        lines = [
            f'desired_model = "{model}"' if line.startswith("desired_model") else line
            for line in current.text.splitlines()
        ]
        call = operators_api.SubmitCall(
            "\n".join(lines) + "\n", current.version, submission_id
        )
        answer = await deployment.http.request(
            address,
            "POST",
            PATH,
            AUTHORIZATION,
            msgspec.json.encode(call),
            CALL_TIMEOUT_S,
        )
        if answer.is_ok() and answer.unwrap().status == 200:
            return
        await asyncio.sleep(POLL_S)
    raise TimeoutError(f"{model} was not accepted")


async def _all_serve(deployment: cluster.Cluster, model: str) -> bool:
    loop = asyncio.get_running_loop()
    until_s = loop.time() + ORDERED_TIMEOUT_S
    while loop.time() < until_s:
        if set((await _served(deployment)).values()) == {model}:
            return True
        await asyncio.sleep(POLL_S)
    return False


async def _served(deployment: cluster.Cluster) -> dict[str, str]:
    """Return the desired model that each engine has recorded."""
    served = {}
    for name, process in deployment.runners.items():
        if name.startswith("engine-"):
            record = await deployment.record(process)
            served[name] = str(record["desired"][1])
    return served


def prove(seed: int) -> proofs.Outcome:
    """Run the proof; the seed is unused, because nothing is random."""
    with tempfile.TemporaryDirectory(prefix="lacewingdrum-fencing-") as name:
        return asyncio.run(run(pathlib.Path(name)))


PROOFS = (proofs.Proof("fencing: a frozen holder's order does not last", 0, prove),)


def main() -> int:
    """Return 0 if every engine ended with the later model."""
    outcome = prove(0)
    print(f"{outcome.trials} trials, {len(outcome.violations)} violations")
    print("\n".join(outcome.violations))
    return 1 if outcome.violations else 0


if __name__ == "__main__":
    sys.exit(main())
