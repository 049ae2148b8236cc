"""Memory that a coordinator has reserved on its runners.

A reservation expires by itself, so that a daemon that crashes between its
request and its import does not block memory forever. A reservation does not
bind the runner, which may still refuse the memory. It only avoids requests
that the runner would refuse anyway.
"""

import dataclasses

from lacewingdrum_state import ids


@dataclasses.dataclass(frozen=True, slots=True)
class _Reservation:
    tokens: int
    expires_s: float


class MemoryReservations:
    """Reserved memory, by runner and reservation."""

    def __init__(self) -> None:
        """Start without reservations."""
        self._by_runner: dict[ids.RunnerId, dict[ids.ReservationId, _Reservation]] = {}

    def reserve(
        self,
        runner_id: ids.RunnerId,
        reservation_id: ids.ReservationId,
        tokens: int,
        free_tokens: int,
        expires_s: float,
        now_s: float,
    ) -> bool:
        """Reserve memory if enough is free.

        A reservation that exists already is granted again without a change.

        Args:
            runner_id: the runner.
            reservation_id: identifies the reservation in repeated requests.
            tokens: number of tokens to reserve.
            free_tokens: the runner's free memory by its last report.
            expires_s: time at which the reservation expires.
            now_s: current time.

        Returns:
            Whether the memory is reserved.
        """
        reservations = self._by_runner.setdefault(runner_id, {})
        if reservation_id in reservations:
            return True
        if self.reserved_tokens(runner_id, now_s) + tokens > free_tokens:
            return False
        reservations[reservation_id] = _Reservation(tokens, expires_s)
        return True

    def release(
        self, runner_id: ids.RunnerId, reservation_id: ids.ReservationId
    ) -> None:
        """Release a reservation; an unknown one is ignored."""
        self._by_runner.get(runner_id, {}).pop(reservation_id, None)

    def reserved_tokens(self, runner_id: ids.RunnerId, now_s: float) -> int:
        """Return the tokens reserved on a runner, and drop expired entries."""
        reservations = self._by_runner.get(runner_id, {})
        expired_ids = [
            reservation_id
            for reservation_id, reservation in reservations.items()
            if reservation.expires_s <= now_s
        ]
        for reservation_id in expired_ids:
            del reservations[reservation_id]
        return sum(reservation.tokens for reservation in reservations.values())
