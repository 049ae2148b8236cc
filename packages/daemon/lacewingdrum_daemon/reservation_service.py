"""Reserves engine memory at the engines' coordinators before its use.

Reservations only avoid requests that an engine would refuse anyway. The
engine itself may still refuse, and a reservation expires by itself.
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
RESERVATION_EXPIRES_MS = 4_000

FreeTokens = Callable[[ids.RunnerId], int]
_PendingAnswers = dict[tuple[ids.ReservationId, ids.RunnerId], asyncio.Future[bool]]


class ReservationService:
    """Requests reservations, and grants them where it is the coordinator.

    Args:
        peers: exchanges messages with the other daemons.
        members: the current runners and live VMs.
        own: this daemon's VM and data centre.
        free_tokens: returns a runner's free memory by its last report.
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
        self._coordinators = runner_coordinators.RunnerCoordinators(*own)
        self._free_tokens = free_tokens
        self._clock = clock
        self._reservations = memory_reservations.MemoryReservations()
        self._pending_answers: _PendingAnswers = {}
        peers.on_message(peer_messages.ReservationRequest, self._on_request)
        peers.on_message(peer_messages.ReservationAnswer, self._on_answer)
        peers.on_message(peer_messages.ReservationRelease, self._on_release)

    async def reserve(
        self, reservation_id: ids.ReservationId, parts: Sequence[groups.Part]
    ) -> bool:
        """Reserve memory on all engines or on none.

        Args:
            reservation_id: identifies the reservation in repeated requests.
            parts: the tokens to reserve on each engine.

        Returns:
            Whether all parts are reserved. They expire by themselves.
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
        """Release all parts of a reservation."""
        self._release(reservation_id, tuple(map(groups.ReleaseMemory, parts)))

    async def _carry_out(
        self,
        reservation_id: ids.ReservationId,
        reservation: groups.GroupReservation,
        actions: tuple[groups.Action, ...],
    ) -> tuple[groups.Action, ...]:
        next_actions: tuple[groups.Action, ...] = ()
        for action in actions:
            match action:
                case groups.ReserveMemory(part):
                    granted = await self._request_memory(reservation_id, part)
                    next_actions += reservation.on_reply(part.runner_id, granted)
                case groups.ReleaseMemory():
                    self._release(reservation_id, (action,))
        return next_actions

    async def _request_memory(
        self, reservation_id: ids.ReservationId, part: groups.Part
    ) -> bool:
        coordinator = self._coordinator_of(part.runner_id)
        if coordinator is None:
            return False
        key = (reservation_id, part.runner_id)
        answer = asyncio.get_running_loop().create_future()
        self._pending_answers[key] = answer
        request = peer_messages.ReservationRequest(
            reservation_id, part.runner_id, part.tokens, RESERVATION_EXPIRES_MS
        )
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                self._peers.send(coordinator, request)
                return await answer
        except TimeoutError:
            return False
        finally:
            self._pending_answers.pop(key, None)

    def _release(
        self, reservation_id: ids.ReservationId, actions: tuple[groups.Action, ...]
    ) -> None:
        for action in actions:
            if not isinstance(action, groups.ReleaseMemory):
                continue
            coordinator = self._coordinator_of(action.part.runner_id)
            if coordinator is not None:
                message = peer_messages.ReservationRelease(
                    reservation_id, action.part.runner_id
                )
                self._peers.send(coordinator, message)

    def _coordinator_of(self, runner_id: ids.RunnerId) -> ids.VmId | None:
        view = self._members.view
        runner = _find_runner(view.runners, runner_id)
        if runner is None:
            return None
        self._coordinators.set_live_vms(membership.live_vms(view, self._clock()))
        return self._coordinators.coordinator_of(runner)

    def _on_request(
        self, sender: ids.VmId, body: peer_messages.ReservationRequest
    ) -> None:
        now_s = self._clock()
        runner_id = ids.RunnerId(body.runner_id)
        granted = self._reservations.reserve(
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

    def _on_answer(
        self, sender: ids.VmId, body: peer_messages.ReservationAnswer
    ) -> None:
        key = (ids.ReservationId(body.reservation_id), ids.RunnerId(body.runner_id))
        answer = self._pending_answers.get(key)
        if answer is not None and not answer.done():
            answer.set_result(body.granted)

    def _on_release(
        self, sender: ids.VmId, body: peer_messages.ReservationRelease
    ) -> None:
        self._reservations.release(
            ids.RunnerId(body.runner_id), ids.ReservationId(body.reservation_id)
        )


def _find_runner(
    runners: tuple[fleet.Runner, ...], runner_id: ids.RunnerId
) -> fleet.Runner | None:
    for runner in runners:
        if runner.runner_id == runner_id:
            return runner
    return None
