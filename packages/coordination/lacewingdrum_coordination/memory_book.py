"""The reservations that a home has set aside on its runners.

A reservation lapses by itself, so that a daemon that dies between its ask
and its import takes no memory for good. The runner's own refusal stays the
last word: the book only keeps daemons from asking in vain.
"""

import dataclasses

from lacewingdrum_state import ids


@dataclasses.dataclass(frozen=True, slots=True)
class _Reserved:
    tokens: int
    lapse_s: float


class MemoryBook:
    """Memory set aside, by runner and reservation."""

    def __init__(self) -> None:
        """Start with nothing set aside."""
        self._reserved: dict[ids.RunnerId, dict[ids.ReservationId, _Reserved]] = {}

    def reserve(
        self,
        runner_id: ids.RunnerId,
        reservation_id: ids.ReservationId,
        tokens: int,
        free_tokens: int,
        lapse_s: float,
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
        entries = self._reserved.setdefault(runner_id, {})
        if reservation_id in entries:
            return True
        if self.reserved_tokens(runner_id, now_s) + tokens > free_tokens:
            return False
        entries[reservation_id] = _Reserved(tokens, lapse_s)
        return True

    def release(
        self, runner_id: ids.RunnerId, reservation_id: ids.ReservationId
    ) -> None:
        """Give a reservation back; one that is not known is no error."""
        self._reserved.get(runner_id, {}).pop(reservation_id, None)

    def reserved_tokens(self, runner_id: ids.RunnerId, now_s: float) -> int:
        """Returns: what is set aside on a runner, lapsed entries dropped."""
        entries = self._reserved.get(runner_id, {})
        lapsed = [key for key, entry in entries.items() if entry.lapse_s <= now_s]
        for key in lapsed:
            del entries[key]
        return sum(entry.tokens for entry in entries.values())
