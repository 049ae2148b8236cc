"""Stands in for the platform's table service: versions, compare-and-set."""

import argparse
import asyncio

import msgspec

from lacewingdrum_protocol import table_api
from lacewingdrum_transport import http_server
from standins import serving

_write_decoder = msgspec.json.Decoder(table_api.WriteCall)
_read_decoder = msgspec.json.Decoder(table_api.ReadCall)
_scan_decoder = msgspec.json.Decoder(table_api.ScanCall)


class TableModel:
    """Versioned rows; versions start at 1 and grow with each write."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.write_count = 0

    def row(self, table: str, key: str) -> table_api.RowEntry:
        """Return the current row; version 0 means that it does not exist."""
        version, value = self._rows.get((table, key), (0, b""))
        return table_api.RowEntry(table, key, version, value)

    def write(self, call: table_api.WriteCall) -> table_api.WriteAnswer:
        """Apply each write whose condition holds.

        Args:
            call: the writes; each is applied independently of the others.

        Returns:
            The result of each write.
        """
        results = []
        for entry in call.writes:
            version, _ = self._rows.get((entry.table, entry.key), (0, b""))
            applied = version == entry.if_version
            if applied:
                self.write_count += 1
                self._rows[entry.table, entry.key] = (version + 1, entry.value)
            row = self.row(entry.table, entry.key)
            results.append(table_api.WriteResult(applied, row))
        return table_api.WriteAnswer(tuple(results))

    def read(self, call: table_api.ReadCall) -> table_api.RowsAnswer:
        """Return the requested rows in the order of the call."""
        rows = tuple(self.row(table, key) for table, key in call.keys)
        return table_api.RowsAnswer(rows)

    def scan(self, call: table_api.ScanCall) -> table_api.RowsAnswer:
        """Return the rows of a table with a key prefix, ordered by key."""
        keys = sorted(
            key
            for table, key in self._rows
            if table == call.table and key.startswith(call.prefix)
        )
        rows = tuple(self.row(call.table, key) for key in keys[: call.limit])
        return table_api.RowsAnswer(rows)

    def record(self) -> dict[str, object]:
        """Return the numbers of rows and of applied writes."""
        return {"rows": len(self._rows), "writes": self.write_count}


class TableService:
    """Serves the model over HTTP."""

    def __init__(self, seed: int = 1) -> None:
        self.model = TableModel()
        self.stand_in = serving.StandIn(self._answer, self.model.record, seed=seed)

    async def _answer(
        self, request: http_server.HttpRequest, reply: serving.Reply
    ) -> None:
        answer: msgspec.Struct
        match request.method, request.path:
            case "POST", table_api.WRITE_PATH:
                await self._write(_write_decoder.decode(request.body), reply)
                return
            case "POST", table_api.READ_PATH:
                answer = self.model.read(_read_decoder.decode(request.body))
            case "POST", table_api.SCAN_PATH:
                answer = self.model.scan(_scan_decoder.decode(request.body))
            case _:
                await reply.send(404, b"{}")
                return
        await reply.send(200, msgspec.json.encode(answer))

    async def _write(self, call: table_api.WriteCall, reply: serving.Reply) -> None:
        faults = self.stand_in.faults
        if self.stand_in.draw_fault(faults.late_writes):
            late_s = faults.late_ms / serving.MS_PER_S
            asyncio.get_running_loop().call_later(late_s, self.model.write, call)
            await self.stand_in.lose_reply(reply)
        answer = self.model.write(call)
        if self.stand_in.draw_fault(faults.lose_replies):
            await self.stand_in.lose_reply(reply)
        await reply.send(200, msgspec.json.encode(answer))


def main() -> None:
    """Run the stand-in as a process."""
    arguments = serving.parser("table").parse_args()
    asyncio.run(_run(arguments))


async def _run(arguments: argparse.Namespace) -> None:
    service = TableService(arguments.seed)
    await serving.serve(service.stand_in, arguments)


if __name__ == "__main__":
    main()
