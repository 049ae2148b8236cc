"""Retry budget: limits retries to a tenth of the requests.

Only one layer retries, and one budget counts its retries, so that failing
runners do not receive several attempts for every request. The daemon
``lacewingdrumd`` has one budget for completions and one for service calls. The
gateway uses ``retry_allowance`` instead.
"""

RETRIES_PER_REQUEST = 0.1
BURST_RETRIES = 10.0


class RetryBudget:
    """Budget that requests increase and retries decrease."""

    def __init__(
        self,
        retries_per_request: float = RETRIES_PER_REQUEST,
        burst_retries: float = BURST_RETRIES,
    ):
        """Start with a full burst, so that an idle service may retry.

        Args:
            retries_per_request: retries that each request adds.
            burst_retries: maximum number of available retries.
        """
        self._retries_per_request = retries_per_request
        self._burst_retries = burst_retries
        self._available = burst_retries

    def record_request(self) -> None:
        """Count a request; its retries must not be counted."""
        available = self._available + self._retries_per_request
        self._available = min(self._burst_retries, available)

    def may_retry(self, now_s: float) -> bool:
        """Return whether a retry is available, without spending it.

        Args:
            now_s: not used, because the budget does not depend on the time.
        """
        return self._available >= 1.0

    def spend(self, now_s: float) -> bool:
        """Spend one retry if one is available.

        Args:
            now_s: not used, because the budget does not depend on the time.

        Returns:
            Whether a retry was available.
        """
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
