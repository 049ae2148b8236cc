"""The retry budget: retries are at most a tenth of the requests.

One layer retries and one budget counts, so that a failing fleet is not asked
several times for every request.
"""

RETRIES_PER_REQUEST = 0.1
BURST_RETRIES = 10.0


class RetryBudget:
    """Counts requests in and retries out, for one service."""

    def __init__(
        self,
        retries_per_request: float = RETRIES_PER_REQUEST,
        burst_retries: float = BURST_RETRIES,
    ):
        """Start with a full burst, so that an idle service may retry.

        Args:
            retries_per_request: what each request adds.
            burst_retries: the most that is saved up.
        """
        self._retries_per_request = retries_per_request
        self._burst_retries = burst_retries
        self._available = burst_retries

    def record_request(self) -> None:
        """Count a request; retries of it are not requests."""
        available = self._available + self._retries_per_request
        self._available = min(self._burst_retries, available)

    def may_retry(self, now_s: float) -> bool:
        """Say whether a retry is within the budget, without taking it."""
        return self._available >= 1.0

    def spend(self, now_s: float) -> bool:
        """Take one retry from the budget.

        Args:
            now_s: the present.

        Returns:
            Whether there was one to take.
        """
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
