"""Reserves memory on engines for prompts that no engine can hold alone.

Each part is held under a short lease that is renewed while it is used, so that
the memory is soon free again if this daemon dies or is partitioned. The lease
of a request that has not begun to run is not renewed beyond a limit, because
an engine may accept a request and never start it.
"""

import asyncio
import dataclasses
import enum
from collections.abc import Callable, Sequence

from result import Err, Ok, Result

from lacewingdrum_coordination import lease_holders, runner_roster
from lacewingdrum_gateway.runners import (
    engine_commands,
    held_memory,
    lease_holder_check,
    runner_notices,
)
from lacewingdrum_platform import engine_calls
from lacewingdrum_runtime import decision_log, metrics, tasks
from lacewingdrum_state import ids, runner_entries, units
from lacewingdrum_transport import http_client, http_messages

LEASE_MS = 3_600
# How soon a renewal that failed is tried again while the lease lasts.
RENEW_RETRY_S = 0.2
# The longest time from the decision to renew a lease until it is renewed.
RENEWAL_MAX_S = lease_holder_check.CHECK_MAX_S + engine_commands.CALL_TIMEOUT_S
# A lost packet may delay one report, but hardly ever those of two engines.
REPORTING_ENGINES = 2
RELEASE_ATTEMPTS = 3
RELEASE_RETRY_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryRefused:
    """An engine that did not reserve memory, and why."""

    entry: runner_entries.RunnerEntry
    detail: str
    is_unreachable: bool = False


class LeaseEndReason(enum.Enum):
    """Why the lease of memory is no longer renewed."""

    DECODER_UNREACHABLE = "decoder_unreachable"
    DECODER_REPLACED = "decoder_replaced"
    HELPER_REPLACED = "helper_replaced"
    UNUSED = "unused"

    @property
    def ends_attempt(self) -> bool:
        """Whether the attempt that uses the memory cannot succeed any more."""
        return self in (
            LeaseEndReason.DECODER_REPLACED,
            LeaseEndReason.HELPER_REPLACED,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseEnd:
    """Why a lease is no longer renewed, and the engine that shows it."""

    reason: LeaseEndReason
    runner_id: ids.RunnerId


class EngineMemory:
    """Reserves memory on all of several engines, or on none."""

    def __init__(
        self,
        client: http_client.HttpClient,
        notices: runner_notices.RunnerNotices,
        roster: runner_roster.RunnerRoster,
        lease_max_ms: float,
        unused_max_ms: float,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._commands = engine_commands.EngineCommands(client, notices)
        self._holder_check = lease_holder_check.LeaseHolderCheck(self._commands, roster)
        self._lease_ms = int(min(LEASE_MS, lease_max_ms))
        self._unused_max_s = unused_max_ms / units.MS_PER_S
        self._clock = clock
        self._decisions = decisions
        self._counts = counts
        self._held: dict[str, held_memory.HeldMemory] = {}
        self._tasks = tasks.TaskSet()

    async def close(self, grace_s: float) -> None:
        """Wait for pending releases, for one call or until a stop ends.

        Args:
            grace_s: the time that is left.
        """
        await self._tasks.close(min(grace_s, engine_commands.CALL_TIMEOUT_S))

    async def reserve(
        self,
        request_id: ids.RequestId,
        reservation_id: str,
        decoder: runner_entries.RunnerEntry,
        entries: Sequence[runner_entries.RunnerEntry],
        tokens: int,
        on_replaced: Callable[[], None],
    ) -> Result[held_memory.HeldMemory, tuple[MemoryRefused, ...]]:
        """Reserve memory on all engines, or on none.

        Args:
            request_id: the request that needs the memory, for the log.
            reservation_id: a new id for each attempt.
            decoder: the engine that the request is sent to. Entries may be of
                earlier incarnations, as the list may be behind.
            entries: the engines that reserve memory.
            tokens: the memory to reserve on each engine.
            on_replaced: called once the decoder or a helper is known to be
                another incarnation, which holds nothing of the request.

        Returns:
            The memory, which the caller closes, or all refusals.
        """
        now_s = self._clock()
        held = held_memory.HeldMemory(
            self, decoder, reservation_id, entries, tokens, now_s, on_replaced
        )
        try:
            held.decoder, answers = await asyncio.gather(
                self._holder_check.identify(decoder), self._reserve_parts(held)
            )
        except asyncio.CancelledError:
            held.close()
            raise
        refusals = tuple(item for item in answers if item is not None)
        self._decisions.record(
            decision_log.DecisionEvent.MEMORY_RESERVED,
            request_id,
            reservation_id=reservation_id,
            tokens=tokens,
            lease_ms=self._lease_ms,
            runners=[entry.runner_id for entry in entries],
            refused_by=[item.entry.runner_id for item in refusals],
            details=[item.detail for item in refusals],
        )
        if refusals:
            self._counts.count("memory_reservations", outcome="refused")
            held.close()
            return Err(refusals)
        self._counts.count("memory_reservations", outcome="granted")
        self._held[reservation_id] = held
        held.start()
        return Ok(held)

    def record_use(self, reservation_id: str) -> None:
        """Record that the request of a reservation has begun to run."""
        held = self._held.get(reservation_id)
        if held is not None:
            held.is_used = True

    async def identify_helpers(self, held: held_memory.HeldMemory) -> None:
        """Find out which incarnations have reserved, on the same connections.

        Args:
            held: the memory that they hold.
        """
        held.entries = await self._holder_check.identify_all(held.entries)

    async def renew(self, held: held_memory.HeldMemory) -> float | None:
        """Renew the leases of held memory, unless it is to expire.

        Args:
            held: the memory.

        Returns:
            The time until the next renewal; None if there is none. An engine
            out of reach for a moment is asked again while the lease lasts.
        """
        sent_s = self._clock()
        end = await self._find_end(held)
        if end is None:
            answers = await self._reserve_parts(held)
            if not any(item and item.is_unreachable for item in answers):
                held.renewed_s = sent_s
        lease_s = self._lease_ms / units.MS_PER_S
        is_leased = self._clock() < held.renewed_s + lease_s
        if end is not None:
            may_recover = end.reason is LeaseEndReason.DECODER_UNREACHABLE
            if not (may_recover and is_leased):
                self._record_lease_end(held, end)
                if end.reason.ends_attempt:
                    held.on_replaced()
                return None
        is_due = is_leased and held.renewed_s != sent_s
        return RENEW_RETRY_S if is_due else held_memory.RENEW_INTERVAL_S

    async def _find_end(self, held: held_memory.HeldMemory) -> LeaseEnd | None:
        """Return why the lease of held memory is not to be renewed now.

        The decoding engine has been replaced or does not say that it has not,
        a helper has been replaced and has lost its part, or a renewed lease
        could exceed the limit for memory that no request uses.
        """
        decoder_id = held.decoder.runner_id
        if not held.is_used and self._could_exceed_unused_limit(held):
            held.is_used = await self._is_reported_used(held)
            if not held.is_used:
                return LeaseEnd(LeaseEndReason.UNUSED, decoder_id)
        decoder_state, replaced = await asyncio.gather(
            self._holder_check.find_state(held.decoder, on_new_connection=True),
            self._holder_check.find_replaced(held.entries),
        )
        match decoder_state:
            case lease_holders.HolderState.REPLACED:
                return LeaseEnd(LeaseEndReason.DECODER_REPLACED, decoder_id)
            case lease_holders.HolderState.UNKNOWN:
                return LeaseEnd(LeaseEndReason.DECODER_UNREACHABLE, decoder_id)
        if replaced is not None:
            return LeaseEnd(LeaseEndReason.HELPER_REPLACED, replaced.runner_id)
        return None

    def _could_exceed_unused_limit(self, held: held_memory.HeldMemory) -> bool:
        """Return whether a lease renewed now may end after the limit."""
        held_s = self._clock() - held.reserved_s
        lease_s = self._lease_ms / units.MS_PER_S
        return held_s + RENEWAL_MAX_S + lease_s > self._unused_max_s

    async def _is_reported_used(self, held: held_memory.HeldMemory) -> bool:
        """Ask engines that hold a part whether its request runs."""
        for entry in held.entries[:REPORTING_ENGINES]:
            answer = await self._commands.call(entry, engine_calls.report())
            if isinstance(answer, Err):
                continue
            report = engine_calls.decode_report(answer.ok_value.body)
            if isinstance(report, Ok):
                return held.reservation_id in report.ok_value.used_reservations
        return False

    def _record_lease_end(self, held: held_memory.HeldMemory, end: LeaseEnd) -> None:
        self._counts.count("memory_leases_ended")
        self._decisions.record(
            decision_log.DecisionEvent.MEMORY_LAPSES,
            None,
            reservation_id=held.reservation_id,
            runner_id=end.runner_id,
            reason=end.reason,
            held_ms=round((self._clock() - held.reserved_s) * units.MS_PER_S),
            lease_ms=self._lease_ms,
        )

    async def _reserve_parts(
        self, held: held_memory.HeldMemory
    ) -> list[MemoryRefused | None]:
        return await asyncio.gather(
            *(self.reserve_part(entry, held) for entry in held.entries)
        )

    async def reserve_part(
        self, entry: runner_entries.RunnerEntry, held: held_memory.HeldMemory
    ) -> MemoryRefused | None:
        """Reserve the part of one engine or renew its lease.

        Args:
            entry: the engine.
            held: the memory that the part belongs to.

        Returns:
            None if the part is reserved, else the refusal.
        """
        call = engine_calls.reserve(held.reservation_id, held.tokens, self._lease_ms)
        answer = await self._commands.call(entry, call)
        if isinstance(answer, Err):
            is_unreachable = answer.err_value != engine_commands.FOREIGN_ANSWER
            return MemoryRefused(entry, answer.err_value, is_unreachable)
        status = answer.ok_value.status
        if status != http_messages.STATUS_OK:
            return MemoryRefused(entry, f"status {status}")
        return None

    def release_in_background(self, held: held_memory.HeldMemory) -> None:
        """Release memory in the background, with retries."""
        self._held.pop(held.reservation_id, None)
        for entry in held.entries:
            self._tasks.spawn(self._release(entry, held.reservation_id))

    async def _release(
        self, entry: runner_entries.RunnerEntry, reservation_id: str
    ) -> None:
        call = engine_calls.release(reservation_id)
        for _ in range(RELEASE_ATTEMPTS):
            if isinstance(await self._commands.call(entry, call), Ok):
                return
            await asyncio.sleep(RELEASE_RETRY_S)
        # The lease expires without a release.
        self._counts.count("memory_releases_lost")
