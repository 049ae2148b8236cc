"""Holds memory on a group of engines for a prompt larger than one engine.

All or nothing: homes, then engines are asked in the order of the engines'
ids, one that has no room refuses at once, and then everything taken is given
back before the next try. Nobody waits while holding, so two groups cannot
deadlock.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable, Iterable

from result import Err

from lacewingdrum_coordination import groups, routing
from lacewingdrum_daemon import in_flight_attempts, reservation_service
from lacewingdrum_protocol import runner_api
from lacewingdrum_state import fleet, ids, requests
from lacewingdrum_transport import runner_client

IMPORT_TIMEOUT_S = 2.0
PAUSE_MIN_S = 0.05
PAUSE_MAX_S = 0.4
WAIT_SHARE = 0.25


class NoMemoryError(Exception):
    """The group's memory could not be had in time."""


class GroupMemory:
    """Takes and gives back memory on groups of engines."""

    def __init__(
        self,
        runners: runner_client.RunnerClient,
        attempts_in_flight: in_flight_attempts.InFlightAttempts,
        reservations: reservation_service.ReservationService,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._runners = runners
        self._in_flight = attempts_in_flight
        self._reservations = reservations
        self._clock = clock
        self._rng = rng

    @contextlib.asynccontextmanager
    async def held(
        self,
        decision: routing.Decision,
        request: requests.Request,
        attempt_id: ids.AttemptId,
    ) -> AsyncIterator[None]:
        """Hold each member's part of the prompt while an attempt runs.

        Args:
            decision: names the members and their parts; nothing is held
                where one engine is enough.
            request: the request whose prompt is shared out.
            attempt_id: the attempt that owns the memory.

        Raises:
            NoMemoryError: when the memory was not free for a part of the
                patience; nothing is held then.
        """
        assert decision.runner is not None
        shares = dict(zip(decision.group, decision.group_tokens, strict=True))
        if shares:
            patience_s = request.deadline_s - self._clock()
            wait_until_s = self._clock() + WAIT_SHARE * patience_s
            while not await self._try_all(shares, decision.runner, request, attempt_id):
                if self._clock() >= wait_until_s:
                    raise NoMemoryError
                await asyncio.sleep(self._rng.uniform(PAUSE_MIN_S, PAUSE_MAX_S))
        try:
            yield
        finally:
            self._give_back(shares, attempt_id)

    async def _try_all(
        self,
        shares: dict[fleet.Runner, int],
        lead: fleet.Runner,
        request: requests.Request,
        attempt_id: ids.AttemptId,
    ) -> bool:
        parts = [
            groups.Part(member.runner_id, tokens) for member, tokens in shares.items()
        ]
        lead_tokens = request.total_tokens - sum(shares.values())
        parts.append(groups.Part(lead.runner_id, max(1, lead_tokens)))
        reservation_id = ids.ReservationId(attempt_id)
        if not await self._reservations.reserve(reservation_id, parts):
            return False
        complete = False
        try:
            complete = await self._import_all(shares, lead, attempt_id)
        finally:
            if not complete:
                self._reservations.release(reservation_id, parts)
                self._give_back(shares, attempt_id)
        # A reservation that was used lapses; by then the engines' reports
        # show the memory as taken.
        return complete

    async def _import_all(
        self,
        shares: dict[fleet.Runner, int],
        lead: fleet.Runner,
        attempt_id: ids.AttemptId,
    ) -> bool:
        for member in sorted(shares, key=lambda runner: runner.runner_id):
            call = runner_api.ImportCall(attempt_id, shares[member], lead.runner_id)
            self._in_flight.add(self._entry(member, call))
            answer = await self._runners.import_kv(member, call, IMPORT_TIMEOUT_S)
            if isinstance(answer, Err):
                # The engine may hold the part even so, where only the reply
                # was lost; giving all back covers it.
                return False
        return True

    def _give_back(
        self, members: Iterable[fleet.Runner], attempt_id: ids.AttemptId
    ) -> None:
        for member in members:
            self._in_flight.abandon(member, attempt_id)

    def _entry(
        self, member: fleet.Runner, call: runner_api.ImportCall
    ) -> requests.InFlightAttempt:
        return requests.InFlightAttempt(
            ids.AttemptId(call.attempt_id),
            member.runner_id,
            0,
            call.tokens,
            self._clock(),
        )
