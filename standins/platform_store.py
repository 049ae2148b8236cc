"""Stands in for the platform's store: rows, a feed of changes, and faults."""

import asyncio
import base64
import collections
import dataclasses
import enum
import json
import urllib.parse
from typing import Any

from lacewingdrum_transport import http_messages, http_server, responder

HISTORY_ROWS = 1_000
PAGE_ROWS = 500
SILENT_CALL_S = 60.0
JSON = (("Content-Type", "application/json"),)
ERA_HEADER = "Store-Era"


class StoreMode(enum.Enum):
    """How the store answers."""

    HEALTHY = "well"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"
    LOSING_ANSWERS = "losing_answers"


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    version: int
    table: str
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """The content of a store at a moment, from which it can be restored."""

    version: int
    rows: dict[tuple[str, str], tuple[bytes, int]]
    history: tuple[_Change, ...]
    history_start_version: int


class PlatformStore:
    """Holds rows in memory and serves the platform's calls.

    ``era`` rises with each return from an older copy.
    """

    def __init__(self) -> None:
        self.mode = StoreMode.HEALTHY
        self.delay_s = 0.0
        self.call_count = 0
        # Calls by kind and table.
        self.call_counts: collections.Counter[str] = collections.Counter()
        # Whole reads of each table.
        self.read_counts: collections.Counter[str] = collections.Counter()
        # Calls of the feed that wait for a change.
        self.waiting_feeds = 0
        self.version = 1
        self.era = 1
        self._rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self._history: list[_Change] = []
        self._history_start_version = 1
        self._changed = asyncio.Event()
        self._server = http_server.HttpServer(self._handle)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Start to listen and return the port; port 0 picks a free one."""
        return await self._server.start(host, port)

    async def close(self) -> None:
        """Close the server and its connections."""
        await self._server.close()

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row, as operators and runners do."""
        self._apply_change(table, key, value)

    def put_json(self, table: str, key: str, value: object) -> None:
        """Write a row with a value that is encoded as JSON."""
        self.put(table, key, json.dumps(value).encode())

    def delete(self, table: str, key: str) -> None:
        """Delete a row."""
        self._apply_change(table, key, None)

    def forget_history(self) -> None:
        """Drop the change history.

        Feeds that continue from an earlier version fail, open ones too.
        """
        self._history.clear()
        self._history_start_version = self.version + 1
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self) -> StoreCopy:
        """Return a copy of the present content."""
        return StoreCopy(
            self.version,
            dict(self._rows),
            tuple(self._history),
            self._history_start_version,
        )

    def restore(self, copied: StoreCopy) -> None:
        """Return from a copy; what was written since then is gone."""
        self.era += 1
        self.version = copied.version
        self._rows = dict(copied.rows)
        self._history = list(copied.history)
        self._history_start_version = copied.history_start_version
        self._changed.set()
        self._changed = asyncio.Event()

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table in order."""
        return sorted(key for name, key in self._rows if name == table)

    def _apply_change(self, table: str, key: str, value: bytes | None) -> None:
        self.version += 1
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = (value, self.version)
        self._history.append(_Change(self.version, table, key, value))
        if len(self._history) > HISTORY_ROWS:
            self._history_start_version = self._history.pop(0).version + 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(
        self, request: http_messages.HttpRequest, answer: responder.Responder
    ) -> None:
        self.call_count += 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        match self.mode:
            case StoreMode.BUSY:
                await answer.send(http_messages.HttpResponse(503))
                return
            case StoreMode.SILENT:
                await asyncio.sleep(SILENT_CALL_S)
                answer.abort()
                return
            case StoreMode.RESET:
                answer.abort()
                return
        status, body = await self._execute(request)
        if self.mode is StoreMode.LOSING_ANSWERS:
            answer.abort()
            return
        headers = (*JSON, (ERA_HEADER, str(self.era)))
        await answer.send(http_messages.HttpResponse(status, headers, body))

    async def _execute(self, request: http_messages.HttpRequest) -> tuple[int, bytes]:
        query = dict(urllib.parse.parse_qsl(request.target.partition("?")[2]))
        match request.path:
            case "/-/rows-get":
                return 200, self._list_rows(query)
            case "/-/rows-feed":
                return await self._feed(query)
            case "/-/rows-tx":
                return self._transact(json.loads(request.body))
        return 404, b"{}"

    def _transact(self, body: dict[str, list[dict[str, Any]]]) -> tuple[int, bytes]:
        """Apply all entries of a transaction, or none."""
        written = [*body["puts"], *body["deletes"]]
        self.call_counts[f"write {written[0]['table']}"] += 1
        for row in body["expected_rev"]:
            _, version = self._rows.get((row["table"], row["key"]), (b"", 0))
            if version != row["ver"]:
                return 412, self._encode_rows([])
        for row in body["puts"]:
            value = base64.b64decode(row["value"])
            self._apply_change(row["table"], row["key"], value)
        for row in body["deletes"]:
            self._apply_change(row["table"], row["key"], None)
        return 200, json.dumps({"ver": self.version, "now_ms": 0}).encode()

    def _list_rows(self, query: dict[str, str]) -> bytes:
        self.read_counts[query["table"]] += 1
        self.call_counts[f"read {query['table']}"] += 1
        start, end = query.get("from", ""), query.get("target", "")
        rows = [
            self._row_fields(table, key, *self._rows[table, key])
            for table, key in sorted(self._rows)
            if table == query["table"] and key >= start and (not end or key < end)
        ]
        return self._encode_rows(rows[:PAGE_ROWS], len(rows) > PAGE_ROWS)

    async def _feed(self, query: dict[str, str]) -> tuple[int, bytes]:
        self.call_counts[f"feed {query['table']}"] += 1
        after_version = int(query["after"])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query["wait_ms"]) / 1_000
        while True:
            has_history = after_version >= self._history_start_version - 1
            if not has_history or after_version > self.version:
                return 410, b"{}"
            rows = [
                self._row_fields(change.table, change.key, change.value, change.version)
                for change in self._history
                if change.version > after_version and change.table == query["table"]
            ]
            remaining_s = end_s - loop.time()
            if rows or remaining_s <= 0 or self.mode is not StoreMode.HEALTHY:
                return 200, self._encode_rows(rows)
            changed = self._changed
            self.waiting_feeds += 1
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                continue
            finally:
                self.waiting_feeds -= 1

    def _encode_rows(
        self, rows: list[dict[str, object]], has_more: bool = False
    ) -> bytes:
        fields = {"rows": rows, "has_more": has_more, "ver": self.version, "now_ms": 0}
        return json.dumps(fields).encode()

    def _row_fields(
        self, table: str, key: str, value: bytes | None, version: int
    ) -> dict[str, object]:
        row: dict[str, object] = {"table": table, "part": "", "key": key}
        row["ver"] = version
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row
