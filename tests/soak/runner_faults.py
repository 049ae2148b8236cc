"""Faults of the runners of a soak site."""

import asyncio
import random

from standins import endless_answers, repeated_refusals
from standins.platform_runner import Fault
from tests.soak import checks, site

SOUND_FAULTS = (Fault.PAUSE, Fault.SHED)
# The shortest and longest time that slow plain runners need.
SLOW_ANSWER_S = (0.8, 2.5)
# What a seed draws depends on this list. The answers of the faults left out
# are not those that the checks expect.
REQUEST_FAULTS = tuple(
    fault
    for fault in Fault
    if fault is not Fault.NONE and fault not in endless_answers.PLACE_FAULTS
)
# Faults that take a while to be found last longer than others.
CRASHING_FACTOR = 3.0
LIMIT_FACTOR = 3.0
LIMITS = ("0.5", "1", "2.5", "8", "0", "many")


class RunnerFaults:
    """Injects faults into runners, each for a span of time."""

    def __init__(self, soak_site: site.SoakSite, rng: random.Random) -> None:
        self._site = soak_site
        self._rng = rng

    async def silence(self, span_s: float) -> None:
        """Let runners fall silent and go on, while they or others are full."""
        numbers = range(len(self._site.runners))
        chosen = self._rng.sample(numbers, self._rng.randint(1, len(numbers)))
        await asyncio.gather(
            *(self._draw_faults(number, span_s, SOUND_FAULTS) for number in chosen)
        )

    async def slow_down(self, span_s: float) -> None:
        """Let plain runners take up to most of the time limit of a request."""
        answer_s = self._rng.uniform(*SLOW_ANSWER_S)
        for ledger in self._site.ledgers:
            ledger.answer_s = answer_s
        await asyncio.sleep(span_s)
        for ledger in self._site.ledgers:
            ledger.answer_s = 0.0

    async def fail(self, runner: int, span_s: float) -> None:
        """Let requests at a runner fail in every way."""
        await self._draw_faults(runner, span_s, REQUEST_FAULTS)

    async def _draw_faults(
        self, runner: int, span_s: float, choices: tuple[Fault, ...]
    ) -> None:
        faults = self._site.runners[runner].faults
        until_s = asyncio.get_running_loop().time() + span_s
        while asyncio.get_running_loop().time() < until_s:
            if len(faults) < 2:
                faults.append(self._rng.choice(choices))
            await asyncio.sleep(0.05)
        faults.clear()

    async def repeat_refusal(self, span_s: float) -> None:
        """Let all runners do so, since any other would serve the request."""
        refusal = repeated_refusals.RepeatedRefusal(
            self._rng.choice((421, 429, 503)),
            self._rng.choice(tuple(repeated_refusals.NamedAttempt)),
            self._rng.choice(tuple(repeated_refusals.Moment)),
        )
        for runner in self._site.runners:
            runner.repeated_refusal = refusal
        await asyncio.sleep(span_s)
        for runner in self._site.runners:
            runner.repeated_refusal = None

    async def leave(self, runner: int, span_s: float) -> None:
        """Let a runner leave as the list shows it, and come back."""
        self._site.register(runner, "draining")
        await asyncio.sleep(span_s)
        self._site.restart_runner(runner)

    async def say_leaving(self, runner: int, span_s: float) -> None:
        """Let a runner leave by its answers only, and come back."""
        self._site.runners[runner].is_leaving = True
        await asyncio.sleep(span_s)
        self._site.restart_runner(runner)

    async def want_pause(self, runner: int, span_s: float) -> None:
        """Let a runner refuse a request and ask to be left alone."""
        paused = self._site.runners[runner]
        paused.retry_after = f"{span_s:.1f}"
        paused.faults.append(Fault.SHED)
        await asyncio.sleep(span_s)
        paused.retry_after = ""

    async def name_limit(self, runner: int, span_s: float) -> None:
        """Let a runner name the requests a second that it takes."""
        limited = self._site.runners[runner]
        if limited.limit_per_s:
            return
        text = self._rng.choice(LIMITS)
        from_s = asyncio.get_running_loop().time()
        limited.limit_per_s = text
        await asyncio.sleep(LIMIT_FACTOR * span_s)
        limited.limit_per_s = ""
        if text.replace(".", "").isdigit():
            to_s = asyncio.get_running_loop().time()
            named = checks.NamedLimit(limited, float(text), from_s, to_s)
            self._site.named_limits.append(named)

    async def crash(self, span_s: float) -> None:
        """Let one part of prompts crash engines, longer than other faults."""
        if self._site.crashing_part:
            return
        part = f"bad{len(self._site.faults):x}"
        self._site.set_crashing_part(part)
        await asyncio.sleep(CRASHING_FACTOR * span_s)
        self._site.set_crashing_part("")

    async def crash_read(self, span_s: float) -> None:
        """Let one read crash plain runners, longer than other faults."""
        if self._site.crashing_read:
            return
        self._site.set_crashing_read(f"bad{len(self._site.faults):x}".encode())
        await asyncio.sleep(CRASHING_FACTOR * span_s)
        self._site.set_crashing_read(b"")
