"""Keeps the view of the fleet: polls the list and takes corrections in."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Protocol

from result import Err, Ok, Result

from lacewingdrum_coordination import membership
from lacewingdrum_daemon import tasks
from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import members_client

POLL_SPREAD = 0.1
# A read may hang on a connection that went silent; the next one does not wait
# for it, so that a leaving mark is seen in time.
READS_AT_ONCE = 4

_log = logging.getLogger(__name__)


class MembersList(Protocol):
    """The call of ``members_client.MembersClient`` that is made here."""

    async def read(self) -> Result[fleet.Members, members_client.MembersError]:
        """Read the list whole."""


class MembersKeeper:
    """Polls the membership list; ``view`` is what is known now.

    While the list cannot be read, the last one stays in use, corrected by
    heartbeats and refusals.
    """

    def __init__(
        self,
        client: MembersList,
        poll_s: float,
        clock: Callable[[], float],
        rng: random.Random | None = None,
    ) -> None:
        self.view = membership.View()
        self._client = client
        self._poll_s = poll_s
        self._clock = clock
        self._rng = rng or random.Random()
        self._first = asyncio.Event()
        self._tasks = tasks.TaskSet()
        self._is_reachable = True
        self._read_count = 0
        self._merged_read = 0
        self._open_reads = 0

    def start(self) -> None:
        """Begin to poll."""
        self._tasks.spawn(self._poll())

    async def close(self) -> None:
        """End the polling."""
        await self._tasks.close()

    async def wait_first(self) -> None:
        """Wait until the list has been read once."""
        await self._first.wait()

    def mark_runner_leaving(
        self, runner_id: ids.RunnerId, incarnation: ids.Incarnation
    ) -> None:
        """Note that a runner refused work because it is leaving.

        Args:
            runner_id: the runner.
            incarnation: the incarnation that was called.
        """
        self.view = membership.mark_runner_leaving(
            self.view, runner_id, incarnation, self._clock()
        )

    def heard(self, vm_id: ids.VmId, heartbeat: peer_messages.Heartbeat) -> None:
        """Take a heartbeat in, with what it says of runners.

        Args:
            vm_id: the VM it came from.
            heartbeat: the message.
        """
        now_s = self._clock()
        incarnation = ids.Incarnation(heartbeat.incarnation)
        view = membership.heartbeat_received(
            self.view, vm_id, incarnation, heartbeat.leaving, now_s
        )
        for runner_id, gone_incarnation in heartbeat.gone_runners:
            view = membership.mark_runner_leaving(
                view,
                ids.RunnerId(runner_id),
                ids.Incarnation(gone_incarnation),
                now_s,
            )
        self.view = view

    def gone_runners(self) -> tuple[tuple[str, int], ...]:
        """Returns: leaving runners that the list has not caught up with."""
        return membership.unconfirmed_leaving_marks(self.view)

    async def poll_once(self) -> None:
        """Read the list and take it in, if it can be read."""
        self._read_count += 1
        number = self._read_count
        self._open_reads += 1
        try:
            answer = await self._client.read()
        finally:
            self._open_reads -= 1
        match answer:
            case Ok(members):
                self._take(number, members)
                self._note_reachable(True, "")
            case Err(error):
                self._note_reachable(False, f"{error.reason.value} {error.detail}")

    def _take(self, number: int, members: fleet.Members) -> None:
        if number < self._merged_read:
            return
        self._merged_read = number
        self.view = membership.merge(self.view, members, self._clock())
        self._first.set()

    async def _poll(self) -> None:
        while True:
            if self._open_reads < READS_AT_ONCE:
                self._tasks.spawn(self.poll_once())
            spread = self._rng.uniform(1.0 - POLL_SPREAD, 1.0 + POLL_SPREAD)
            await asyncio.sleep(self._poll_s * spread)

    def _note_reachable(self, is_reachable: bool, detail: str) -> None:
        if is_reachable != self._is_reachable:
            self._is_reachable = is_reachable
            words = "can be read again" if is_reachable else "cannot be read"
            _log.warning("membership list %s %s", words, detail)
