"""Memory that engines hold for one attempt, under renewed leases."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from lacewingdrum_state import runner_entries

RENEW_INTERVAL_S = 1.6


class Owner(Protocol):
    """Sends the commands that renew and release held memory."""

    async def identify_helpers(self, held: "HeldMemory") -> None:
        """Find out which incarnations hold the parts."""

    async def renew(self, held: "HeldMemory") -> float | None:
        """Renew the leases; return the time until the next renewal, if any."""

    def release_in_background(self, held: "HeldMemory") -> None:
        """Release the memory."""


class HeldMemory:
    """Memory on several engines under one id, renewed until it is closed.

    ``is_used`` is set once the request is known to have begun to run.
    ``renewed_s`` is when the last calls that all engines answered were sent.
    ``decoder`` is the incarnation that the request is sent to, ``entries`` are
    those that hold a part of it, and ``on_replaced`` is called once any of
    them is known to have been replaced by another one.
    """

    def __init__(
        self,
        owner: Owner,
        decoder: runner_entries.RunnerEntry,
        reservation_id: str,
        entries: Sequence[runner_entries.RunnerEntry],
        tokens: int,
        reserved_s: float,
        on_replaced: Callable[[], None],
    ) -> None:
        self.reservation_id = reservation_id
        self.decoder = decoder
        self.entries = tuple(entries)
        self.tokens = tokens
        self.reserved_s = reserved_s
        self.renewed_s = reserved_s
        self.on_replaced = on_replaced
        self.is_used = False
        self._owner = owner
        self._renewal: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the renewal of the leases."""
        self._renewal = asyncio.get_running_loop().create_task(self._renew())

    def close(self) -> None:
        """Stop the renewal and release the memory in the background."""
        if self._renewal is not None:
            self._renewal.cancel()
        self._owner.release_in_background(self)

    async def _renew(self) -> None:
        await self._owner.identify_helpers(self)
        wait_s: float | None = RENEW_INTERVAL_S
        while wait_s is not None:
            await asyncio.sleep(wait_s)
            wait_s = await self._owner.renew(self)
