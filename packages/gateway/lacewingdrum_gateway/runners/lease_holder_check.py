"""Asks engines whether they still are the incarnations leases depend on."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Iterable, Sequence

from result import Err, Ok, Result

from lacewingdrum_coordination import lease_holders, runner_roster
from lacewingdrum_gateway.runners import engine_commands
from lacewingdrum_platform import engine_calls, headers as platform_headers
from lacewingdrum_state import runner_entries
from lacewingdrum_transport import http_client, http_messages

# A lost packet may delay one question, but hardly ever both.
ATTEMPTS = 2
TIMEOUT_S = 0.4
# The longest time of a check.
CHECK_MAX_S = ATTEMPTS * TIMEOUT_S


class LeaseHolderCheck:
    """Finds out from an engine's own answer who is at its address."""

    def __init__(
        self,
        commands: engine_commands.EngineCommands,
        roster: runner_roster.RunnerRoster,
    ) -> None:
        self._commands = commands
        self._roster = roster

    async def identify(
        self, entry: runner_entries.RunnerEntry
    ) -> runner_entries.RunnerEntry:
        """Return an engine's entry with the incarnation that it states now.

        It is the entry itself if the engine states none in time.
        """
        stated: lease_holders.StatedIdentity | None = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TIMEOUT_S):
                answer = await self._commands.call(entry, engine_calls.report())
                stated = _identity(answer)
        if stated is None or not stated.born_ms:
            return entry
        return dataclasses.replace(entry, born_ms=stated.born_ms)

    async def identify_all(
        self, entries: Iterable[runner_entries.RunnerEntry]
    ) -> tuple[runner_entries.RunnerEntry, ...]:
        """Return the entries of some engines as ``identify`` does."""
        return tuple(await asyncio.gather(*map(self.identify, entries)))

    async def find_replaced(
        self, entries: Sequence[runner_entries.RunnerEntry]
    ) -> runner_entries.RunnerEntry | None:
        """Return one of these that another incarnation has replaced, if any.

        They are asked on kept connections, which end with an incarnation.
        """
        found = await asyncio.gather(*(self.find_state(entry) for entry in entries))
        for entry, state in zip(entries, found, strict=True):
            if state is lease_holders.HolderState.REPLACED:
                return entry
        return None

    async def find_state(
        self, entry: runner_entries.RunnerEntry, on_new_connection: bool = False
    ) -> lease_holders.HolderState:
        """Return whether an incarnation of an engine is alive.

        Args:
            entry: the incarnation.
            on_new_connection: whether it is asked on a new connection, which a
                dead engine does not accept.

        Returns:
            ``UNKNOWN`` if the engine did not say it within ``CHECK_MAX_S``.
        """
        found = lease_holders.HolderState.UNKNOWN
        for _ in range(ATTEMPTS):
            stated: lease_holders.StatedIdentity | None = None
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TIMEOUT_S):
                    stated = _identity(await self._ask(entry, on_new_connection))
            listed = self._roster.get(entry.runner_id)
            found = lease_holders.find_state(entry, stated, listed)
            if found is not lease_holders.HolderState.UNKNOWN:
                break
        return found

    async def _ask(
        self, entry: runner_entries.RunnerEntry, on_new_connection: bool
    ) -> Result[http_messages.HttpResponse, str]:
        """Ask an engine who it is.

        An engine that has no room for a new connection resets it. It can still
        be asked on a connection that is kept.
        """
        call = engine_calls.report()
        answer = await self._commands.call(
            entry, call, on_new_connection=on_new_connection
        )
        if on_new_connection and answer == Err(
            http_client.ClientErrorReason.LOST.value
        ):
            return await self._commands.call(entry, call)
        return answer


def _identity(
    answer: Result[http_messages.HttpResponse, str],
) -> lease_holders.StatedIdentity | None:
    """Return who answered, or None if the answer does not say it."""
    if isinstance(answer, Err):
        return None
    response = answer.ok_value
    if response.status == platform_headers.MISDIRECTED_STATUS:
        return lease_holders.StatedIdentity(is_other_runner=True)
    report = engine_calls.decode_report(response.body)
    if response.status != http_messages.STATUS_OK or not isinstance(report, Ok):
        return None
    return lease_holders.StatedIdentity(False, report.ok_value.born_ms)
