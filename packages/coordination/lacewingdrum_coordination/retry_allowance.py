"""Bounds repeated sends of a service, for all daemons together.

Each daemon has a fixed part of what the operators allow in a window. Nothing
is lent or asked for, so daemons that cannot reach each other stay under the
sum too. The part is halved, since a daemon that was restarted knows nothing
of what it sent before.
"""

import collections

from lacewingdrum_state import ids

RESTART_FACTOR = 0.5


class RetryAllowance:
    """Counts requests and repeated sends of one daemon in a sliding window."""

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: dict[ids.ServiceName, collections.deque[float]] = {}
        self._retries: dict[ids.ServiceName, collections.deque[float]] = {}

    def record_request(self, service: ids.ServiceName, now_s: float) -> None:
        """Args: service, now_s: a request for it arrived."""
        self._window(self._requests, service, now_s).append(now_s)

    def take(self, service: ids.ServiceName, daemon_count: int, now_s: float) -> bool:
        """Ask to send a request once more.

        Args:
            service: where to.
            daemon_count: how many daemons share what is allowed.
            now_s: the time.

        Returns:
            Whether it may be sent; if so, it is counted.
        """
        requests = self._window(self._requests, service, now_s)
        retries = self._window(self._retries, service, now_s)
        allowed = self._slack / max(daemon_count, 1) + self._ratio * len(requests)
        if len(retries) + 1 > allowed * RESTART_FACTOR:
            return False
        retries.append(now_s)
        return True

    def _window(
        self,
        times: dict[ids.ServiceName, collections.deque[float]],
        service: ids.ServiceName,
        now_s: float,
    ) -> collections.deque[float]:
        window = times.setdefault(service, collections.deque())
        while window and window[0] <= now_s - self._window_s:
            window.popleft()
        return window
