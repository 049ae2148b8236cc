"""Makes calls to the store on connections that are replaced when one fails.

An open connection may go silent for good while new ones work. So a call that
times out or is cut casts doubt on all connections that are open: they are
closed, and the calls on them are made once more on new ones. Each call may be
made twice: it reads, writes a whole row of this daemon, or removes certain
versions of rows.
"""

import dataclasses
from collections.abc import Callable

from result import Err, Ok, Result

from lacewingdrum_coordination import store_deadlines
from lacewingdrum_platform import store_calls
from lacewingdrum_runtime import metrics
from lacewingdrum_state import fleet
from lacewingdrum_transport import http_client, http_messages

CONNECT_TIMEOUT_S = 0.6
CALL_TIMEOUT_S = 1.5
ANSWER_MAX_BYTES = 16 * 1024 * 1024
# A slow store is not silent: an answer gets a multiple of the last one's time.
ANSWER_TIME_FACTOR = 2.0
DOUBTED_REASONS = frozenset(
    (http_client.ClientErrorReason.TIMEOUT, http_client.ClientErrorReason.LOST)
)

Answer = Result[http_messages.HttpResponse, http_client.HttpClientError]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRequest:
    """A call, and what is called on a new connection if it is in doubt.

    The store may wait for ``wait_s`` before it answers ``call``, if this is
    one of the feed, and it answers ``call_again`` at once. ``kind`` names what
    is called in metrics.
    """

    call: store_calls.Call
    call_again: store_calls.Call
    wait_s: float = 0.0
    is_feed: bool = False
    kind: str = ""


class _Connections:
    """Connections that are opened, and doubted, together."""

    def __init__(
        self, limits: http_client.ClientLimits, clock: Callable[[], float]
    ) -> None:
        self.has_answered = False
        self._calls = http_client.HttpClient(limits, clock)
        # An answer of the feed may be empty, which would empty a table that is
        # read on the same connection, if the store sends it once more.
        self._feed = http_client.HttpClient(limits, clock)

    def client(self, request: StoreRequest) -> http_client.HttpClient:
        return self._feed if request.is_feed else self._calls

    async def close(self) -> None:
        await self._calls.close()
        await self._feed.close()


class StoreConnections:
    """The open connections to the store."""

    def __init__(
        self,
        address: fleet.Address,
        deadlines: store_deadlines.StoreDeadlines,
        clock: Callable[[], float],
        counts: metrics.Metrics,
    ) -> None:
        self._address = address
        self._deadlines = deadlines
        self._clock = clock
        self._counts = counts
        self._limits = http_client.ClientLimits(
            connect_timeout_s=CONNECT_TIMEOUT_S,
            unacknowledged_limit_ms=int(CALL_TIMEOUT_S * 1_000),
            body_bytes=ANSWER_MAX_BYTES,
        )
        self._is_closed = False
        self._last_answer_s = 0.0
        self._current = _Connections(self._limits, clock)

    async def close(self) -> None:
        """Close all connections."""
        self._is_closed = True
        await self._current.close()

    async def request(self, request: StoreRequest) -> Answer:
        """Make a call, again on a new connection if the first is in doubt."""
        used = self._current
        timeout_s = request.wait_s + self._answer_limit_s(request, used)
        answer = await self._send(used, request, request.call, timeout_s)
        if not isinstance(answer, Err) or self._is_closed:
            return answer
        if used is self._current:
            reason = answer.err_value.reason
            if not used.has_answered or reason not in DOUBTED_REASONS:
                return answer
            await self._replace(reason)
        return await self._send(
            self._current, request, request.call_again, CALL_TIMEOUT_S
        )

    async def _replace(self, reason: http_client.ClientErrorReason) -> None:
        self._counts.count("store_connections_replaced", reason=reason.value)
        doubted = self._current
        self._current = _Connections(self._limits, self._clock)
        await doubted.close()

    async def _send(
        self,
        used: _Connections,
        request: StoreRequest,
        call: store_calls.Call,
        timeout_s: float,
    ) -> Answer:
        headers = (("Content-Type", "application/json"),) if call.body else ()
        start_s = self._clock()
        answer = await used.client(request).request(
            self._address, call.method, call.path, headers, call.body, timeout_s
        )
        if isinstance(answer, Ok):
            used.has_answered = True
            wait_s = request.wait_s if call is request.call else 0.0
            late_s = self._clock() - start_s - wait_s
            # A feed that ends early with a change does not show a time.
            if late_s > 0:
                self._last_answer_s = late_s
        return answer

    def _answer_limit_s(self, request: StoreRequest, used: _Connections) -> float:
        """Return how long an answer may take.

        A feed may go silent at any time of its wait; other calls, on
        connections that have carried nothing yet, only meet a slow store.
        """
        if not (request.is_feed or used.has_answered):
            return CALL_TIMEOUT_S
        usual_s = ANSWER_TIME_FACTOR * self._last_answer_s
        return min(max(self._deadlines.answer_s, usual_s), CALL_TIMEOUT_S)
