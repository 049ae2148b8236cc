"""Maintains the view of the fleet from the membership list and from peers."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Protocol

from result import Err, Ok, Result

from lacewingdrum_coordination import membership
from lacewingdrum_protocol import peer_messages
from lacewingdrum_runtime import tasks
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import members_client

POLL_JITTER_RATIO = 0.1
# A read may hang on a connection that no longer answers. Later reads do not
# wait for it, so that a leaving mark is noticed in time.
MAX_CONCURRENT_READS = 4

_log = logging.getLogger(__name__)


class MembersList(Protocol):
    """The part of ``members_client.MembersClient`` that is used here."""

    async def read(self) -> Result[fleet.Members, members_client.MembersError]:
        """Read the complete list."""


class MembershipSync:
    """Polls the membership list; ``view`` is the current view of the fleet.

    While the list cannot be read, the last one stays in use. Heartbeats and
    refusals by runners still update the view.
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
        self._first_list_read = asyncio.Event()
        self._tasks = tasks.TaskSet()
        self._is_reachable = True
        self._read_count = 0
        self._last_merged_read = 0
        self._open_reads = 0

    def start(self) -> None:
        """Start polling."""
        self._tasks.spawn(self._poll())

    async def close(self) -> None:
        """Stop polling."""
        await self._tasks.close()

    async def wait_for_first_list(self) -> None:
        """Wait until the list has been read once."""
        await self._first_list_read.wait()

    def mark_runner_leaving(
        self, runner_id: ids.RunnerId, incarnation: ids.Incarnation
    ) -> None:
        """Record that a runner refused a request because it is leaving.

        Args:
            runner_id: the runner.
            incarnation: the incarnation that refused.
        """
        self.view = membership.mark_runner_leaving(
            self.view, runner_id, incarnation, self._clock()
        )

    def on_heartbeat(self, vm_id: ids.VmId, heartbeat: peer_messages.Heartbeat) -> None:
        """Apply a heartbeat, including its marks of leaving runners.

        Args:
            vm_id: the VM that sent it.
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
        """Return the leaving runners that the list does not mark yet."""
        return membership.unconfirmed_leaving_marks(self.view)

    async def poll_once(self) -> None:
        """Read the list and, if that succeeds, apply it."""
        self._read_count += 1
        read_number = self._read_count
        self._open_reads += 1
        try:
            answer = await self._client.read()
        finally:
            self._open_reads -= 1
        match answer:
            case Ok(members):
                self._apply(read_number, members)
                self._set_reachable(True, "")
            case Err(error):
                self._set_reachable(False, f"{error.reason.value} {error.detail}")

    def _apply(self, read_number: int, members: fleet.Members) -> None:
        if read_number < self._last_merged_read:
            return
        self._last_merged_read = read_number
        self.view = membership.merge(self.view, members, self._clock())
        self._first_list_read.set()

    async def _poll(self) -> None:
        while True:
            if self._open_reads < MAX_CONCURRENT_READS:
                self._tasks.spawn(self.poll_once())
            jitter = self._rng.uniform(1.0 - POLL_JITTER_RATIO, 1.0 + POLL_JITTER_RATIO)
            await asyncio.sleep(self._poll_s * jitter)

    def _set_reachable(self, is_reachable: bool, detail: str) -> None:
        if is_reachable != self._is_reachable:
            self._is_reachable = is_reachable
            state_text = "can be read again" if is_reachable else "cannot be read:"
            _log.warning("membership list %s %s", state_text, detail)
