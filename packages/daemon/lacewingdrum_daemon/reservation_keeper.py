"""Sets engine memory aside at the engines' homes before it is taken.

The homes' books only keep daemons from asking engines in vain: an engine's
own refusal stays the last word, and a reservation lapses by itself.
"""

import asyncio
from collections.abc import Callable, Sequence

from lacewingdrum_coordination import (
    groups,
    membership,
    memory_reservations,
    runner_coordinators,
)
from lacewingdrum_daemon import membership_sync, peering
from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import fleet, ids, units

ANSWER_TIMEOUT_S = 0.5
LAPSE_MS = 4_000

FreeTokens = Callable[[ids.RunnerId], int]
_Answers = dict[tuple[ids.ReservationId, ids.RunnerId], asyncio.Future[bool]]


class ReservationKeeper:
    """Asks homes for memory, and answers as a home.

    Args:
        peers: carries the messages.
        members: says where a runner is and which VMs are live.
        own: this daemon's VM and data centre.
        free_tokens: a runner's free memory by its last report.
        clock: monotonic seconds.
    """

    def __init__(
        self,
        peers: peering.Peering,
        members: membership_sync.MembershipSync,
        own: tuple[ids.VmId, ids.DataCentre],
        free_tokens: FreeTokens,
        clock: Callable[[], float],
    ) -> None:
        self._peers = peers
        self._members = members
        self._homes = runner_coordinators.RunnerCoordinators(*own)
        self._free_tokens = free_tokens
        self._clock = clock
        self._book = memory_reservations.MemoryReservations()
        self._answers: _Answers = {}
        peers.on_message(peer_messages.ReservationRequest, self._asked)
        peers.on_message(peer_messages.ReservationAnswer, self._answered)
        peers.on_message(peer_messages.ReservationRelease, self._released)

    async def reserve(
        self, reservation_id: ids.ReservationId, parts: Sequence[groups.Part]
    ) -> bool:
        """Set memory aside on all engines or on none.

        Args:
            reservation_id: names the reservation in repeats.
            parts: what each engine shall hold.

        Returns:
            Whether all is set aside, until it lapses.
        """
        reservation = groups.GroupReservation(parts)
        actions = reservation.start()
        try:
            while reservation.state is groups.ReservationState.ASKING:
                actions = await self._carry_out(reservation_id, reservation, actions)
        finally:
            if reservation.state is not groups.ReservationState.HELD:
                self._release(reservation_id, (*actions, *reservation.release()))
        return reservation.state is groups.ReservationState.HELD

    def release(
        self, reservation_id: ids.ReservationId, parts: Sequence[groups.Part]
    ) -> None:
        """Give a whole reservation back."""
        self._release(reservation_id, tuple(map(groups.ReleaseMemory, parts)))

    async def _carry_out(
        self,
        reservation_id: ids.ReservationId,
        reservation: groups.GroupReservation,
        actions: tuple[groups.Action, ...],
    ) -> tuple[groups.Action, ...]:
        following: tuple[groups.Action, ...] = ()
        for action in actions:
            match action:
                case groups.ReserveMemory(part):
                    granted = await self._ask(reservation_id, part)
                    following += reservation.on_reply(part.runner_id, granted)
                case groups.ReleaseMemory():
                    self._release(reservation_id, (action,))
        return following

    async def _ask(self, reservation_id: ids.ReservationId, part: groups.Part) -> bool:
        home = self._home_of(part.runner_id)
        if home is None:
            return False
        key = (reservation_id, part.runner_id)
        answer = asyncio.get_running_loop().create_future()
        self._answers[key] = answer
        ask = peer_messages.ReservationRequest(
            reservation_id, part.runner_id, part.tokens, LAPSE_MS
        )
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                self._peers.send(home, ask)
                return await answer
        except TimeoutError:
            return False
        finally:
            self._answers.pop(key, None)

    def _release(
        self, reservation_id: ids.ReservationId, actions: tuple[groups.Action, ...]
    ) -> None:
        for action in actions:
            if not isinstance(action, groups.ReleaseMemory):
                continue
            home = self._home_of(action.part.runner_id)
            if home is not None:
                message = peer_messages.ReservationRelease(
                    reservation_id, action.part.runner_id
                )
                self._peers.send(home, message)

    def _home_of(self, runner_id: ids.RunnerId) -> ids.VmId | None:
        view = self._members.view
        runner = _runner(view.runners, runner_id)
        if runner is None:
            return None
        self._homes.set_live_vms(membership.live_vms(view, self._clock()))
        return self._homes.coordinator_of(runner)

    def _asked(self, sender: ids.VmId, body: peer_messages.ReservationRequest) -> None:
        now_s = self._clock()
        runner_id = ids.RunnerId(body.runner_id)
        granted = self._book.reserve(
            runner_id,
            ids.ReservationId(body.reservation_id),
            body.tokens,
            self._free_tokens(runner_id),
            now_s + body.lapse_ms / units.MS_PER_S,
            now_s,
        )
        answer = peer_messages.ReservationAnswer(
            body.reservation_id, body.runner_id, granted
        )
        self._peers.send(sender, answer)

    def _answered(
        self, sender: ids.VmId, body: peer_messages.ReservationAnswer
    ) -> None:
        key = (ids.ReservationId(body.reservation_id), ids.RunnerId(body.runner_id))
        answer = self._answers.get(key)
        if answer is not None and not answer.done():
            answer.set_result(body.granted)

    def _released(
        self, sender: ids.VmId, body: peer_messages.ReservationRelease
    ) -> None:
        self._book.release(
            ids.RunnerId(body.runner_id), ids.ReservationId(body.reservation_id)
        )


def _runner(
    runners: tuple[fleet.Runner, ...], runner_id: ids.RunnerId
) -> fleet.Runner | None:
    for runner in runners:
        if runner.runner_id == runner_id:
            return runner
    return None
