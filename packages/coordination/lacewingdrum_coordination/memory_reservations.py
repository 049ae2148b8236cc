"""The reservations that a home has set aside on its runners.

A reservation lapses by itself, so that a daemon that dies between its ask
and its import takes no memory for good. The runner's own refusal stays the
last word: the book only keeps daemons from asking in vain.
"""

import dataclasses

from lacewingdrum_state import ids


@dataclasses.dataclass(frozen=True, slots=True)
class _Reservation:
    tokens: int
    expires_s: float


class MemoryReservations:
    """Memory set aside, by runner and reservation."""

    def __init__(self) -> None:
        """Start with nothing set aside."""
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
        """Set memory aside if it is free; a repeat of an ask changes nothing.

        Args:
            runner_id: the runner.
            reservation_id: names the reservation in repeats.
            tokens: how much.
            free_tokens: what the runner has free by its last report.
            lapse_s: when the reservation ends by itself.
            now_s: the present.

        Returns:
            Whether it is set aside.
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
        """Give a reservation back; one that is not known is no error."""
        self._by_runner.get(runner_id, {}).pop(reservation_id, None)

    def reserved_tokens(self, runner_id: ids.RunnerId, now_s: float) -> int:
        """Returns: what is set aside on a runner, lapsed entries dropped."""
        reservations = self._by_runner.get(runner_id, {})
        expired_ids = [
            reservation_id
            for reservation_id, reservation in reservations.items()
            if reservation.expires_s <= now_s
        ]
        for reservation_id in expired_ids:
            del reservations[reservation_id]
        return sum(reservation.tokens for reservation in reservations.values())
