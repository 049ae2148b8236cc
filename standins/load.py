"""Generates an open-loop load of short and long prompts and of orders.

Requests start at random times, whatever the outcome of earlier ones. Each
answer is compared byte for byte with the expected one. At the end,
``load_check`` compares the answers with the records of the runners.
"""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Awaitable, Callable

from lacewingdrum_coordination import directory
from lacewingdrum_state import documents, states
from lacewingdrum_transport import http_client
from standins import calls, cluster

BALANCER_POLL_S = 0.25
SEND_ATTEMPTS_MAX = 3
DUPLICATE_SHARE = 0.3
DUPLICATE_DELAY_MAX_S = 0.3
RETRY_PAUSE_S = 0.5
ORDER_ATTEMPTS_MAX = 4
DRAIN_TIMEOUT_S = 120.0
BYTES_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """The amount and the mix of the load.

    The shares of the prompt lengths refer to all completions. Prompts of
    ``first_tokens`` tokens are sent at the beginning, so that a short run
    also has a prompt that is larger than two engines.
    """

    duration_s: float = 30.0
    completions_per_s: float = 12.0
    service_calls_per_s: float = 6.0
    max_requests: int = 2_000
    mid_share: float = 0.12
    long_share: float = 0.02
    longest_tokens: int = 900_000
    first_tokens: tuple[int, ...] = (900_000,)
    max_answer_tokens: int = 64
    stream_share: float = 0.7


@dataclasses.dataclass(slots=True)
class LoadResult:
    """Outcomes of all requests; those of orders are grouped by key."""

    outcomes: list[calls.Outcome] = dataclasses.field(default_factory=list)
    orders: dict[str, list[calls.Outcome]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )


class Balancer:
    """Stands in for the platform's balancer; picks daemons that are ready.

    A daemon is ready if it answers ``/readyz`` with 200.
    """

    def __init__(self, deployment: cluster.Cluster, rng: random.Random) -> None:
        self._deployment = deployment
        self._rng = rng
        self._ready: tuple[str, ...] = ()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Check the daemons once, then start to check them periodically."""
        await self._update_ready()
        self._task = asyncio.get_running_loop().create_task(self._watch())

    async def close(self) -> None:
        """Stop the periodic checks."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def pick(self) -> str | None:
        """Return the VM id of a random ready daemon, or None."""
        ready = [name for name in self._ready if name in self._deployment.daemons]
        return self._rng.choice(ready) if ready else None

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(BALANCER_POLL_S)
            await self._update_ready()

    async def _update_ready(self) -> None:
        missing = set(await self._deployment.not_answering("/readyz"))
        self._ready = tuple(
            name
            for name, daemon in self._deployment.daemons.items()
            if name not in missing and daemon.child.is_running
        )


class Load:
    """The callers of a deployment's daemons."""

    def __init__(
        self,
        deployment: cluster.Cluster,
        services: tuple[documents.ServiceDocument, ...],
        plan: LoadPlan,
        seed: int = 1,
    ) -> None:
        self._deployment = deployment
        self._plan = plan
        self._rng = random.Random(seed)
        self._balancer = Balancer(deployment, self._rng)
        self._http = http_client.HttpClient()
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0
        self.result = LoadResult()
        model, app = states.ServiceType.MODEL, states.ServiceType.APPLICATION
        self._models = [found for found in services if found.service_type is model]
        self._apps = [found for found in services if found.service_type is app]

    async def start(self) -> None:
        """Start the balancer."""
        await self._balancer.start()

    async def close(self) -> None:
        """Cancel the requests that are still in flight and disconnect."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._balancer.close()
        await self._http.close()

    async def run(self) -> None:
        """Send the load, then wait ``DRAIN_TIMEOUT_S`` at most for its end."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._plan.duration_s
        for tokens in self._plan.first_tokens:
            self._spawn(self._completion(tokens))
        rate = self._plan.completions_per_s + self._plan.service_calls_per_s
        while loop.time() < end_s and self._count < self._plan.max_requests:
            await asyncio.sleep(self._rng.expovariate(rate))
            if self._rng.random() * rate < self._plan.completions_per_s:
                self._spawn(self._completion(self.draw_prompt_tokens()))
            else:
                self._spawn(self._service_call())
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=DRAIN_TIMEOUT_S)

    async def run_alone(self, count: int) -> list[calls.Outcome]:
        """Send short streamed prompts one after the other.

        Args:
            count: the number of prompts.

        Returns:
            Their outcomes, which are not part of ``result``.
        """
        found = []
        for _ in range(count):
            tokens = self._rng.randint(1_000, 4_000)
            plan = self._completion_plan(tokens, stream=True)
            found.append(await self._send(calls.complete, plan))
        return found

    def draw_prompt_tokens(self) -> int:
        """Return a random prompt length from the planned mix."""
        drawn = self._rng.random()
        if drawn < self._plan.long_share:
            return int(self._log_uniform(100_001, self._plan.longest_tokens))
        if drawn < self._plan.long_share + self._plan.mid_share:
            return int(self._log_uniform(4_001, 100_000))
        return self._rng.randint(1_000, 4_000)

    def _log_uniform(self, low: float, high: float) -> float:
        ratio: float = (high / low) ** self._rng.random()
        return low * ratio

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _completion_plan(self, tokens: int, stream: bool) -> calls.CompletionPlan:
        self._count += 1
        service = self._rng.choice(self._models)
        customer = self._customer(service)
        start = f"request {self._count} of {service.service}: "
        prompt = start + "." * (BYTES_PER_TOKEN * tokens - len(start))
        kind = directory.prompt_kind(service, tokens)
        assert kind is not None
        max_tokens = self._rng.randint(4, self._plan.max_answer_tokens)
        return calls.CompletionPlan(service, kind, customer, prompt, max_tokens, stream)

    def _customer(self, service: documents.ServiceDocument) -> str:
        """Return the demo token of a random customer without a token limit."""
        unlimited = [
            found for found in service.customers if not found.limit_tokens_per_s
        ]
        return f"demo-{self._rng.choice(unlimited).customer}"

    async def _completion(self, tokens: int) -> None:
        stream = self._rng.random() < self._plan.stream_share
        plan = self._completion_plan(tokens, stream)
        self.result.outcomes.append(await self._send(calls.complete, plan))

    async def _service_call(self) -> None:
        self._count += 1
        service = self._rng.choice(self._apps)
        token = self._customer(service)
        path = f"/records/{self._count}"
        if self._rng.random() < 0.3:
            await self._read(service, token, path)
            return
        kind = directory.call_kind(service, "POST", path)
        assert kind is not None
        key = f"key-{self._count}"
        body = f'{{"number": {self._count}}}'.encode()
        plan = calls.ServicePlan(service, kind, token, "POST", path, body, key)
        await self._order(plan)

    async def _read(
        self, service: documents.ServiceDocument, token: str, path: str
    ) -> None:
        kind = directory.call_kind(service, "GET", path)
        assert kind is not None
        plan = calls.ServicePlan(service, kind, token, "GET", path)
        self.result.outcomes.append(await self._send(calls.call_service, plan))

    async def _order(self, plan: calls.ServicePlan) -> None:
        """Send an order until it is answered or its attempts are used up.

        For a share of the orders, a duplicate is sent after a short delay,
        while the first one may still be in flight.
        """
        order_outcomes = self.result.orders[plan.key]
        duplicate: asyncio.Task[None] | None = None
        if self._rng.random() < DUPLICATE_SHARE:
            duplicate = asyncio.ensure_future(
                self._send_duplicate(plan, order_outcomes)
            )
        for _ in range(ORDER_ATTEMPTS_MAX):
            order_outcomes.append(await self._send(calls.call_service, plan))
            if order_outcomes[-1].end in (calls.End.ANSWERED, calls.End.WRONG):
                break
            await asyncio.sleep(RETRY_PAUSE_S * self._rng.uniform(0.5, 1.5))
        if duplicate is not None:
            await duplicate

    async def _send_duplicate(
        self, plan: calls.ServicePlan, order_outcomes: list[calls.Outcome]
    ) -> None:
        await asyncio.sleep(self._rng.uniform(0, DUPLICATE_DELAY_MAX_S))
        order_outcomes.append(await self._send(calls.call_service, plan))

    async def _send(
        self, call: Callable[..., Awaitable[calls.Outcome]], plan: object
    ) -> calls.Outcome:
        """Send through the balancer; send again if no daemon was reached."""
        outcome: calls.Outcome | None = None
        for _ in range(SEND_ATTEMPTS_MAX):
            vm_id = self._balancer.pick()
            if vm_id is None:
                await asyncio.sleep(BALANCER_POLL_S)
                continue
            address = self._deployment.daemons[vm_id].callers
            outcome = await call(self._http, address, plan)
            outcome.daemon = vm_id
            if outcome.end is not calls.End.UNSENT:
                break
        if outcome is None:
            assert isinstance(plan, calls.CompletionPlan | calls.ServicePlan)
            outcome = calls.Outcome(plan, end=calls.End.UNSENT, detail="none ready")
        return outcome
