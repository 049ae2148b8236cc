"""Holds memory on a group of engines for a prompt larger than one engine.

All or nothing: engines are asked in the order of their ids, an engine that
has no room refuses at once, and then everything taken is given back before
the next try. Nobody waits while holding, so two groups cannot deadlock.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable

from result import Err

from lacewingdrum_daemon import in_flight
from lacewingdrum_protocol import runner_api
from lacewingdrum_state import fleet, ids, requests
from lacewingdrum_transport import runner_client

IMPORT_TIMEOUT_S = 2.0
PAUSE_MIN_S = 0.05
PAUSE_MAX_S = 0.4
WAIT_SHARE = 0.25


class NoMemory(Exception):  # noqa: N818 - it is an outcome, not a fault.
    """The group's memory could not be had in time."""


class GroupMemory:
    """Takes and gives back memory on groups of engines."""

    def __init__(
        self,
        runners: runner_client.RunnerClient,
        table: in_flight.InFlightTable,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._runners = runners
        self._in_flight = table
        self._clock = clock
        self._rng = rng

    @contextlib.asynccontextmanager
    async def held(
        self,
        group: tuple[fleet.Runner, ...],
        lead: fleet.Runner,
        request: requests.Request,
        attempt_id: ids.AttemptId,
    ) -> AsyncIterator[None]:
        """Hold an equal share of the prompt on each member but the lead.

        Args:
            group: the engines that share the prompt; empty for one engine.
            lead: the engine that runs the attempt.
            request: the request whose prompt is shared.
            attempt_id: the attempt that owns the memory.

        Raises:
            NoMemory: when the memory was not free for a part of the
                patience; nothing is held then.
        """
        members = sorted(
            (runner for runner in group if runner.runner_id != lead.runner_id),
            key=lambda runner: runner.runner_id,
        )
        share_tokens = -(-request.prompt_tokens // (len(members) + 1))
        if members:
            await self._take_all(members, lead, request, attempt_id, share_tokens)
        try:
            yield
        finally:
            for member in members:
                self._in_flight.abandon(member, attempt_id)

    async def _take_all(
        self,
        members: list[fleet.Runner],
        lead: fleet.Runner,
        request: requests.Request,
        attempt_id: ids.AttemptId,
        share_tokens: int,
    ) -> None:
        patience_s = request.deadline_s - self._clock()
        wait_until_s = self._clock() + WAIT_SHARE * patience_s
        call = runner_api.ImportCall(attempt_id, share_tokens, lead.runner_id)
        while not await self._try_all(members, call):
            if self._clock() >= wait_until_s:
                raise NoMemory
            await asyncio.sleep(self._rng.uniform(PAUSE_MIN_S, PAUSE_MAX_S))

    async def _try_all(
        self, members: list[fleet.Runner], call: runner_api.ImportCall
    ) -> bool:
        attempt_id = ids.AttemptId(call.attempt_id)
        asked: list[fleet.Runner] = []
        complete = False
        try:
            for member in members:
                asked.append(member)
                self._in_flight.add(self._entry(member, call))
                answer = await self._runners.import_kv(member, call, IMPORT_TIMEOUT_S)
                if isinstance(answer, Err):
                    # The engine may hold the part even so, where only the
                    # reply was lost; the cancel below covers it.
                    return False
            complete = True
            return True
        finally:
            if not complete:
                self._give_back(asked, attempt_id)

    def _give_back(self, asked: list[fleet.Runner], attempt_id: ids.AttemptId) -> None:
        for member in asked:
            self._in_flight.abandon(member, attempt_id)

    def _entry(
        self, member: fleet.Runner, call: runner_api.ImportCall
    ) -> requests.InFlight:
        return requests.InFlight(
            ids.AttemptId(call.attempt_id),
            member.runner_id,
            0,
            call.tokens,
            self._clock(),
        )
