"""Holds memory on a group of engines for a prompt larger than one engine.

A group gets all of its memory or none. The memory is first reserved at the
engines' coordinators and then at the engines, each time in the order of the
runner ids. A coordinator or an engine without free capacity refuses at once,
and then all memory taken so far is released before the reservation is tried
again. No request waits for free capacity while it holds memory, so two groups
cannot deadlock.
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
RETRY_PAUSE_MIN_S = 0.05
RETRY_PAUSE_MAX_S = 0.4
WAIT_PATIENCE_SHARE = 0.25


class NoMemoryError(Exception):
    """The group's memory was not available in time."""


class GroupMemory:
    """Reserves and releases memory on groups of engines."""

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
            decision: ``runner`` is the lead engine, which gets the rest of
                the prompt; ``group`` and ``group_tokens`` are the other
                members and their parts. Nothing is held if ``group`` is
                empty, since one engine is enough.
            request: the request whose prompt is divided.
            attempt_id: the attempt that owns the memory.

        Raises:
            NoMemoryError: if the memory did not become free within a part of
                the patience. No memory is held in this case.
        """
        assert decision.runner is not None
        tokens_by_member = dict(zip(decision.group, decision.group_tokens, strict=True))
        if tokens_by_member:
            patience_s = request.deadline_s - self._clock()
            wait_until_s = self._clock() + WAIT_PATIENCE_SHARE * patience_s
            while not await self._reserve_and_import(
                tokens_by_member, decision.runner, request, attempt_id
            ):
                if self._clock() >= wait_until_s:
                    raise NoMemoryError
                await asyncio.sleep(
                    self._rng.uniform(RETRY_PAUSE_MIN_S, RETRY_PAUSE_MAX_S)
                )
        try:
            yield
        finally:
            self._release_members(tokens_by_member, attempt_id)

    async def _reserve_and_import(
        self,
        tokens_by_member: dict[fleet.Runner, int],
        lead: fleet.Runner,
        request: requests.Request,
        attempt_id: ids.AttemptId,
    ) -> bool:
        parts = [
            groups.Part(member.runner_id, tokens)
            for member, tokens in tokens_by_member.items()
        ]
        lead_tokens = request.total_tokens - sum(tokens_by_member.values())
        parts.append(groups.Part(lead.runner_id, max(1, lead_tokens)))
        reservation_id = ids.ReservationId(attempt_id)
        if not await self._reservations.reserve(reservation_id, parts):
            return False
        is_complete = False
        try:
            is_complete = await self._import_all(tokens_by_member, lead, attempt_id)
        finally:
            if not is_complete:
                self._reservations.release(reservation_id, parts)
                self._release_members(tokens_by_member, attempt_id)
        # The reservation is not released after a complete import. It
        # expires, and by then the engines' load reports include the memory.
        return is_complete

    async def _import_all(
        self,
        tokens_by_member: dict[fleet.Runner, int],
        lead: fleet.Runner,
        attempt_id: ids.AttemptId,
    ) -> bool:
        for member in sorted(tokens_by_member, key=lambda runner: runner.runner_id):
            call = runner_api.ImportCall(
                attempt_id, tokens_by_member[member], lead.runner_id
            )
            self._in_flight.add(self._in_flight_entry(member, call))
            answer = await self._runners.import_kv(member, call, IMPORT_TIMEOUT_S)
            if isinstance(answer, Err):
                # If only the reply was lost, the engine holds the part. The
                # caller releases all members, including this one.
                return False
        return True

    def _release_members(
        self, members: Iterable[fleet.Runner], attempt_id: ids.AttemptId
    ) -> None:
        for member in members:
            self._in_flight.abandon(member, attempt_id)

    def _in_flight_entry(
        self, member: fleet.Runner, call: runner_api.ImportCall
    ) -> requests.InFlightAttempt:
        return requests.InFlightAttempt(
            ids.AttemptId(call.attempt_id),
            member.runner_id,
            0,
            call.tokens,
            self._clock(),
        )
