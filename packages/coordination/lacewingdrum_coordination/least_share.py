"""The least share of the engines that less urgent requests always get."""

# Less urgent requests go on, although more urgent ones lack room, while they
# use less than this share of the engines' time.
LEAST_SHARE_RATIO = 0.1
# Work that was not used up to this long ago may be used later.
UNUSED_S = 4.0


class LeastShare:
    """Counts what less urgent requests use of their least share here."""

    def __init__(self) -> None:
        self._balance_ms = 0.0
        self._updated_s: float | None = None

    def has_any(self, engine_count: float, now_s: float) -> bool:
        """Return whether a request may go on by the least share.

        Args:
            engine_count: this daemon's share of the service's engines.
            now_s: the current time.
        """
        rate_ms_per_s = LEAST_SHARE_RATIO * engine_count * 1_000
        elapsed_s = UNUSED_S
        if self._updated_s is not None:
            elapsed_s = max(now_s - self._updated_s, 0.0)
        self._updated_s = now_s
        self._balance_ms = min(
            self._balance_ms + rate_ms_per_s * elapsed_s, rate_ms_per_s * UNUSED_S
        )
        return self._balance_ms >= 0.0

    def use(self, work_ms: float) -> None:
        """Count a request that goes on; the balance may become negative."""
        self._balance_ms -= work_ms
