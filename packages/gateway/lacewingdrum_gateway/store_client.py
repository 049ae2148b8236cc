"""The client of the platform's store.

Each answer states the era of the store. An era that is newer than the known
one means that the store has lost its latest writes. Answers of an older era
are discarded, because they may arrive late.
"""

import dataclasses
import enum
import logging
from collections.abc import Callable, Iterable

from result import Err, Ok, Result

from lacewingdrum_coordination import store_deadlines
from lacewingdrum_gateway import store_connections
from lacewingdrum_platform import store_calls
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import fleet, store_versions
from lacewingdrum_transport import http_messages, turn_budget

LOGGED_FAULTS_MAX = 100

_log = logging.getLogger(__name__)


class StoreErrorReason(enum.Enum):
    """Why a call to the store failed."""

    NOT_DONE = "not_done"
    HISTORY_GONE = "history_gone"
    CONFLICT = "conflict"
    NO_ANSWER = "no_answer"
    OLD_ERA = "old_era"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreError:
    """A failed call; after ``NO_ANSWER`` it may still take effect."""

    reason: StoreErrorReason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """The body of a successful answer and the era in which it was given."""

    body: bytes
    era: int


class StoreClient:
    """Reads and follows tables and writes rows."""

    def __init__(
        self,
        address: fleet.Address,
        deadlines: store_deadlines.StoreDeadlines,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._connections = store_connections.StoreConnections(
            address, deadlines, clock, counts
        )
        self._clock = clock
        self._decisions = decisions
        self._counts = counts
        self._failed_since_s: float | None = None
        self._era: int | None = None
        self._new_era_handlers: list[Callable[[], None]] = []

    def record_era(self, era: int) -> None:
        """Record an era of which a peer has told."""
        self._take_era(era)

    def on_new_era(self, handler: Callable[[], None]) -> None:
        """Register a handler for returns of the store from an older copy."""
        self._new_era_handlers.append(handler)

    async def close(self) -> None:
        """Close every connection to the store."""
        await self._connections.close()

    async def read(self, table: str) -> Result[store_calls.Rows, StoreError]:
        """Read a whole table.

        Args:
            table: the name of the table.

        Returns:
            All rows with the version of the first page, or the error.
        """
        pages: list[store_calls.Rows] = []
        version: store_versions.StoreVersion | None = None
        start = ""
        while True:
            call = store_calls.read(table, start)
            request = _at_once(call, "read", table)
            answer = await self._rows(table, request)
            if isinstance(answer, Err):
                return answer
            page = answer.ok_value
            # Later pages may be newer than the first. Its version is returned,
            # so that changes in the meantime are read again.
            version = page.version if version is None else version
            if page.version.era != version.era:
                detail = f"era {page.version.era} within a read of {version.era}"
                return Err(StoreError(StoreErrorReason.OLD_ERA, detail))
            pages.append(page)
            if not page.has_more:
                return Ok(store_calls.join(pages))
            if page.last_key < start or not page.last_key:
                # Rows that were not read must not count as gone.
                detail = f"a page that ends at {page.last_key!r}, before {start!r}"
                return Err(StoreError(StoreErrorReason.MALFORMED, detail))
            start = page.last_key + "\x00"

    async def follow(
        self, table: str, after: store_versions.StoreVersion, wait_s: float
    ) -> Result[store_calls.Rows, StoreError]:
        """Wait for changes of a table.

        Args:
            table: the name of the table.
            after: the version that is already known.
            wait_s: how long the store waits for a change.

        Returns:
            The changed rows, which may be none, or the error. After a return
            of the store from an older copy this is ``HISTORY_GONE``, because
            the changes of the new era may have lower versions.
        """
        request = store_connections.StoreRequest(
            store_calls.feed(table, after.version, int(wait_s * 1_000)),
            store_calls.feed(table, after.version, 0),
            wait_s,
            is_feed=True,
            kind=f"{store_calls.content_of(table)}_feed",
        )
        answer = await self._rows(table, request)
        if isinstance(answer, Ok) and answer.ok_value.version.era != after.era:
            return Err(StoreError(StoreErrorReason.HISTORY_GONE, "new era"))
        return answer

    async def read_row(
        self, table: str, key: str
    ) -> Result[store_calls.Rows, StoreError]:
        """Read one row; there is none in the answer if it does not exist."""
        call = store_calls.read(table, key, key + "\x00")
        return await self._rows(table, _at_once(call, "read_row", table))

    async def remove(
        self, table: str, rows: Iterable[tuple[str, int]]
    ) -> Result[None, StoreError]:
        """Remove all of some rows, or none.

        Args:
            table: the name of the table.
            rows: key and version of each; at most ``REMOVALS_MAX``.

        Returns:
            None, or the error; it is ``CONFLICT`` if a row was written since.
        """
        call = store_calls.remove(table, rows)
        answer = await self._call(_at_once(call, "remove", table))
        return Ok(None) if isinstance(answer, Ok) else answer

    async def put(self, table: str, key: str, value: bytes) -> Result[None, StoreError]:
        """Write a row.

        Args:
            table: the name of the table.
            key: the key of the row.
            value: the new value.

        Returns:
            None, or the error if the write is not confirmed.
        """
        call = store_calls.put(table, key, value)
        answer = await self._call(_at_once(call, "put", table))
        return Ok(None) if isinstance(answer, Ok) else answer

    async def _rows(
        self, table: str, request: store_connections.StoreRequest
    ) -> Result[store_calls.Rows, StoreError]:
        answer = await self._call(request)
        if isinstance(answer, Err):
            return answer
        rows, faults = await _decode(answer.ok_value, table)
        if faults:
            self._counts.count("store_faults", len(faults), kind="row")
        for fault in faults[:LOGGED_FAULTS_MAX]:
            _log.warning("store: %s", fault)
        if len(faults) > LOGGED_FAULTS_MAX:
            _log.warning("store: %d faults, the first are logged", len(faults))
        if rows is None:
            return Err(StoreError(StoreErrorReason.MALFORMED, str(faults[0])))
        return Ok(rows)

    async def _call(
        self, request: store_connections.StoreRequest
    ) -> Result[_Answer, StoreError]:
        answer = await self._connections.request(request)
        if isinstance(answer, Err):
            error = answer.err_value
            detail = f"{error.reason.value} {error.detail}".strip()
            return self._record_failure(request, StoreErrorReason.NO_ANSWER, detail)
        response = answer.ok_value
        era = self._take_era(store_calls.parse_era(response.headers))
        if response.status == store_calls.HISTORY_GONE_STATUS:
            # The store works; only the requested history is missing.
            self._record_success(request)
            return Err(StoreError(StoreErrorReason.HISTORY_GONE, "history gone"))
        if response.status == store_calls.CONFLICT_STATUS:
            self._record_success(request)
            return Err(StoreError(StoreErrorReason.CONFLICT, "a row was written"))
        if response.status != http_messages.STATUS_OK:
            return self._record_failure(
                request, StoreErrorReason.NOT_DONE, f"status {response.status}"
            )
        self._record_success(request)
        if era < (self._era or 0):
            return Err(StoreError(StoreErrorReason.OLD_ERA, f"era {era}"))
        return Ok(_Answer(response.body, era))

    def _take_era(self, stated: int | None) -> int:
        """Return the era of an answer, and tell if it is a new one.

        An answer that states no era is taken to be of the known one.
        """
        known = self._era
        if stated is None:
            return known or 0
        if known is None or stated > known:
            self._era = stated
        if known is not None and stated > known:
            self._counts.count("store_returns")
            self._decisions.record(
                decision_log.DecisionEvent.STORE_RETURNED,
                None,
                era=stated,
                era_before=known,
            )
            for handler in self._new_era_handlers:
                handler()
        return stated

    def _record_failure(
        self,
        request: store_connections.StoreRequest,
        reason: StoreErrorReason,
        detail: str,
    ) -> Err[StoreError]:
        self._counts.count("store_calls", outcome=reason.value, kind=request.kind)
        if self._failed_since_s is None:
            self._failed_since_s = self._clock()
            self._decisions.record(
                decision_log.DecisionEvent.DEPENDENCY_LOST,
                None,
                dependency="store",
                reason=reason,
                detail=detail,
            )
        return Err(StoreError(reason, detail))

    def _record_success(self, request: store_connections.StoreRequest) -> None:
        self._counts.count("store_calls", outcome="done", kind=request.kind)
        if self._failed_since_s is None:
            return
        self._decisions.record(
            decision_log.DecisionEvent.DEPENDENCY_REGAINED,
            None,
            dependency="store",
            away_s=self._clock() - self._failed_since_s,
        )
        self._failed_since_s = None


def _at_once(
    call: store_calls.Call, verb: str, table: str
) -> store_connections.StoreRequest:
    """Return the request of a call that the store answers at once."""
    kind = f"{store_calls.content_of(table)}_{verb}"
    return store_connections.StoreRequest(call, call, kind=kind)


async def _decode(answer: _Answer, table: str) -> store_calls.DecodedRows:
    """Decode the rows of an answer, in turns of the event loop."""
    turns = turn_budget.ReadTurns()
    steps = store_calls.decode_rows_in_steps(answer.body, answer.era, table)
    while True:
        try:
            turns.count(next(steps))
        except StopIteration as ended:
            decoded: store_calls.DecodedRows = ended.value
            return decoded
        if turns.is_over:
            await turns.give_back()
