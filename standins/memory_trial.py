"""Sends prompts larger than two engines' memory while daemons are killed.

A share of the cancels and of the replies to imports is lost during the trial.
Afterwards, no engine may hold memory. ``python -m standins.memory_trial``
prints one row.
"""

import argparse
import asyncio
import collections
import dataclasses
import pathlib
import random
import sys
import tempfile

from lacewingdrum_coordination import directory
from lacewingdrum_state import documents
from lacewingdrum_transport import http_client
from standins import calls, cluster, demo, load, load_check

SERVICE = "sommelier-llm"
DATA_CENTRES = ("almaty-north", "almaty-east", "almaty-south")
ENGINE_COUNT = 9
ENGINE_TOKENS = 100_000
ENGINE_OPTIONS = (
    "--prefill-tokens-per-s",
    "400000",
    "--decode-step-s",
    "0.005",
    "--kv-capacity-tokens",
    str(ENGINE_TOKENS),
    "--load-lag-s",
    "0.3",
)
MIN_PROMPT_TOKENS = 2 * ENGINE_TOKENS + 4_000
MAX_PROMPT_TOKENS = 2 * ENGINE_TOKENS + 40_000
ANSWER_TOKENS = 200
PATIENCE_MS = 12_000
CALLERS = 3
SEND_ATTEMPTS_MAX = 8
REQUEST_PAUSE_S = 0.2
POLL_INTERVAL_S = 0.05
RETRY_PAUSE_S = 0.5
LOST_CANCELS_SHARE = 0.3
LOST_IMPORT_REPLIES_SHARE = 0.05
RESTART_DELAY_S = 3.0
FREE_TIMEOUT_S = 60.0
TRIAL_TIMEOUT_S = 1_200.0
BYTES_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of a trial; ``free_s`` is infinite if memory stayed held."""

    ends: collections.Counter[str]
    held_at_end_tokens: int
    free_s: float
    wrong: tuple[str, ...]


def plan() -> cluster.Plan:
    """Return a plan of three daemons and nine small engines."""
    daemons = tuple(
        cluster.DaemonPlan(f"vm-{place}", centre)
        for place, centre in enumerate(DATA_CENTRES)
    )
    engines = tuple(
        cluster.RunnerPlan(
            f"engine-{number}",
            SERVICE,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            options=ENGINE_OPTIONS,
        )
        for number in range(ENGINE_COUNT)
    )
    return cluster.Plan(daemons, engines)


class Trial:
    """Several callers; each sends one large prompt after the other."""

    def __init__(self, deployment: cluster.Cluster, count: int, seed: int) -> None:
        self._deployment = deployment
        self._remaining_count = count
        self._rng = random.Random(seed)
        self._http = http_client.HttpClient()
        self._balancer = load.Balancer(deployment, self._rng)
        self._service = self._document()
        self._open_requests: collections.Counter[str] = collections.Counter()
        self.ends: collections.Counter[str] = collections.Counter()
        self.wrong: list[str] = []

    async def run(self, kills: int) -> Report:
        """Send all prompts and wait until the engines hold no memory.

        Args:
            kills: how many daemons to kill and restart meanwhile.

        Returns:
            The result.
        """
        await self._balancer.start()
        await self._set_faults(LOST_CANCELS_SHARE, LOST_IMPORT_REPLIES_SHARE)
        killer = asyncio.ensure_future(self._kill_in_turn(kills, self._remaining_count))
        await asyncio.gather(*(self._caller() for _ in range(CALLERS)))
        killer.cancel()
        await asyncio.gather(killer, return_exceptions=True)
        held = await load_check.held_tokens(self._deployment)
        free_s = await load_check.wait_until_free(self._deployment, FREE_TIMEOUT_S)
        await self._balancer.close()
        await self._http.close()
        return Report(self.ends, held, free_s, tuple(self.wrong))

    async def _kill_in_turn(self, kills: int, count: int) -> None:
        for number in range(kills):
            remaining_at_kill = count - (number + 1) * count // (kills + 1)
            while self._remaining_count > remaining_at_kill:
                await asyncio.sleep(REQUEST_PAUSE_S)
            vm_id = await self._holding_daemon()
            plan = self._deployment.daemons[vm_id].plan
            await self._deployment.kill_daemon(vm_id)
            await asyncio.sleep(RESTART_DELAY_S)
            await self._deployment.start_daemon(plan)

    async def _holding_daemon(self) -> str:
        """Wait until one daemon alone has requests and engines hold memory.

        Returns:
            The VM id of that daemon.
        """
        while True:
            open_counts = +self._open_requests
            if len(open_counts) == 1 and await load_check.held_tokens(self._deployment):
                return next(iter(open_counts))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _caller(self) -> None:
        while self._remaining_count > 0:
            self._remaining_count -= 1
            request = self._request(f"prompt {self._remaining_count} ")
            for _ in range(SEND_ATTEMPTS_MAX):
                if await self._send(request):
                    break
                await asyncio.sleep(RETRY_PAUSE_S * self._rng.uniform(0.5, 1.5))
            await asyncio.sleep(REQUEST_PAUSE_S)

    def _request(self, start: str) -> calls.CompletionPlan:
        tokens = self._rng.randint(MIN_PROMPT_TOKENS, MAX_PROMPT_TOKENS)
        prompt = start + "." * (BYTES_PER_TOKEN * tokens - len(start))
        kind = directory.prompt_kind(self._service, tokens)
        assert kind is not None
        kind = dataclasses.replace(kind, patience_ms=PATIENCE_MS)
        token = f"demo-{self._service.customers[0].customer}"
        return calls.CompletionPlan(
            self._service, kind, token, prompt, ANSWER_TOKENS, stream=True
        )

    async def _send(self, request: calls.CompletionPlan) -> bool:
        """Send a request and return whether its answer was complete."""
        vm_id = self._balancer.pick()
        if vm_id is None:
            return False
        address = self._deployment.daemons[vm_id].callers
        self._open_requests[vm_id] += 1
        try:
            outcome = await calls.complete(self._http, address, request)
        finally:
            self._open_requests[vm_id] -= 1
        self.ends[f"{outcome.end.value} {outcome.code}".strip()] += 1
        if outcome.end is calls.End.WRONG:
            self.wrong.append(f"{outcome.request_id}: {outcome.detail}")
        return outcome.end is calls.End.ANSWERED

    async def _set_faults(self, cancels: float, imports: float) -> None:
        for process in self._deployment.runners.values():
            await self._deployment.fault(
                process, lose_cancels=cancels, lose_import_replies=imports
            )

    def _document(self) -> documents.ServiceDocument:
        for document in demo.parsed_examples():
            if document.service == SERVICE:
                return document
        raise LookupError(SERVICE)


async def run(folder: pathlib.Path, count: int, kills: int, seed: int) -> Report:
    """Run one trial on a deployment of its own.

    Args:
        folder: the folder for settings and logs.
        count: the number of prompts.
        kills: how many daemons to kill and restart meanwhile.
        seed: the seed of prompt lengths, choices and faults.

    Returns:
        The result.

    Raises:
        TimeoutError: if the trial does not end in time.
    """
    async with cluster.Cluster(
        dataclasses.replace(plan(), seed=seed), folder
    ) as deployment:
        path = str(demo.example(SERVICE))
        if await demo.command(deployment, "submit", "--wait", path) != 0:
            raise RuntimeError("the document was not accepted")
        await deployment.wait_for("/readyz")
        async with asyncio.timeout(TRIAL_TIMEOUT_S):
            return await Trial(deployment, count, seed).run(kills)


def main() -> int:
    """Run a trial; return 0 if memory was freed and no answer was wrong."""
    parser = argparse.ArgumentParser(prog="python -m standins.memory_trial")
    parser.add_argument("--prompts", type=int, default=200)
    parser.add_argument("--kills", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", type=pathlib.Path, help="a folder for the logs")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="lacewingdrum-memory-") as name:
        folder = arguments.keep or pathlib.Path(name)
        folder.mkdir(parents=True, exist_ok=True)
        report = asyncio.run(
            run(folder, arguments.prompts, arguments.kills, arguments.seed)
        )
    print(
        f"memory: {arguments.prompts} prompts, {arguments.kills} kills, "
        f"seed {arguments.seed}: {dict(report.ends)}; held at the end "
        f"{report.held_at_end_tokens} tokens, free after {report.free_s:.1f} s; "
        f"{len(report.wrong)} wrong"
    )
    for line in report.wrong:
        print(f"BROKEN {line}")
    return 1 if report.wrong or report.free_s == float("inf") else 0


if __name__ == "__main__":
    sys.exit(main())
