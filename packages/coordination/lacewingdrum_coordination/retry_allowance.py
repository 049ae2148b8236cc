"""Limits the retries of a service's requests, over all daemons together.

In each window a daemon may retry a ratio of its own requests, plus an equal
part of a fixed number of retries that all daemons divide. Daemons do not lend
or request retries, so partitioned daemons stay under the total too. The result
is halved, because a restarted daemon does not know which retries it sent
before.

The gateway uses this module; the daemon ``lacewingdrumd`` uses ``retries``.
"""

import collections

from lacewingdrum_state import ids

RESTART_FACTOR = 0.5


class RetryAllowance:
    """Counts one daemon's requests and retries in a sliding window.

    ``ratio`` is the number of retries for each request, and ``slack`` the
    number that all daemons divide.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: dict[ids.ServiceName, collections.deque[float]] = {}
        self._retries: dict[ids.ServiceName, collections.deque[float]] = {}

    def record_request(self, service: ids.ServiceName, now_s: float) -> None:
        """Record that a request for a service arrived."""
        self._window(self._requests, service, now_s).append(now_s)

    def has_left(
        self,
        service: ids.ServiceName,
        daemon_count: int,
        now_s: float,
        usable_share: float = 1.0,
    ) -> bool:
        """Return whether ``take`` would return True."""
        requests = self._window(self._requests, service, now_s)
        retries = self._window(self._retries, service, now_s)
        allowed = self._slack / max(daemon_count, 1) + self._ratio * len(requests)
        return len(retries) + 1 <= allowed * RESTART_FACTOR * usable_share

    def take(
        self,
        service: ids.ServiceName,
        daemon_count: int,
        now_s: float,
        usable_share: float = 1.0,
    ) -> bool:
        """Take one retry from the allowance, if there is one left.

        Args:
            service: the service that the request is sent to.
            daemon_count: the number of daemons that share the allowance.
            now_s: the current time.
            usable_share: the part of the allowance that may be used; the rest
                is kept for other retries.

        Returns:
            Whether the request may be retried; if so, the retry is counted.
        """
        if not self.has_left(service, daemon_count, now_s, usable_share):
            return False
        self._window(self._retries, service, now_s).append(now_s)
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
