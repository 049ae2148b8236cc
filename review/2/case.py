"""A gateway is stopped while orders arrive on connections that were kept."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import review_site as site

TIMEOUT_MS = 2_000
GRACE_S = 8.0
# Sound runners may fall silent for a second or so, and work up to 0.22 s.
SILENCE_S = 1.2
WORK_S = 0.2
ORDERS = 8
# When orders are sent on the kept connections, after the SIGTERM.
SEND_S = 6.2
EVENT_INTERVAL_S = 0.15
STREAM_EVENTS = 60


class Engine(site.Runner):
    """Answers with a stream of events that lasts some seconds."""

    async def work(
        self,
        request: site.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send events until the last one or the end of the connection."""
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in self.head(request)]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write("\r\n".join((*lines, "", "")).encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, STREAM_EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        self.record.write(f"runner {self.runner_id} answers {request.attempt_id}")
        return True


class Stop:
    """Keeps connections, has a gateway stopped and sends orders then."""

    def __init__(self, running: site.Site) -> None:
        self.lost: list[str] = []
        self._site = running
        self._record = running.record
        self._gateway = running.gateways[0]

    async def run(self, has_trouble: bool) -> None:
        """Send orders before and after the SIGTERM."""
        kept = [
            await site.Connection.open(self._gateway.host, self._gateway.port)
            for _ in range(ORDERS)
        ]
        for number, connection in enumerate(kept):
            await self._order(connection, f"before-{number}")
        stream = asyncio.ensure_future(self._stream())
        await asyncio.sleep(0.5)
        for runner in self._site.runners:
            if runner.service == site.LEDGER:
                runner.work_s = SILENCE_S + WORK_S
        if has_trouble:
            self._gateway.signal(signal.SIGTERM)
            self._record.write("gateway 0 gets SIGTERM")
        await asyncio.sleep(SEND_S)
        await asyncio.gather(
            *(
                self._order(connection, f"after-{number}")
                for number, connection in enumerate(kept)
            )
        )
        await stream

    async def _order(self, connection: site.Connection, name: str) -> None:
        self._record.write(f"caller sends {name} on a kept connection")
        sent_s = self._record.now_s
        connection.send(
            "POST", "/order/x", site.call_headers(name, TIMEOUT_MS), b"order"
        )
        got = await connection.receive()
        took_s = self._record.now_s - sent_s
        self._record.write(f"caller gets {name} after {took_s:.3f} s: {got}")
        has_run = any(name in runner.runs for runner in self._site.runners)
        if has_run and not got.is_whole and took_s < TIMEOUT_MS / 1_000:
            self.lost.append(name)

    async def _stream(self) -> None:
        headers = site.call_headers("stream", 10_000)
        headers |= {"Model": "m", "Token-Count": "4000,3000", "Prompt-Prefix": "a:4000"}
        self._record.write("caller sends stream to gateway 0")
        got = await site.call(
            self._gateway.host, self._gateway.port, "POST", "/ask/x", headers, b"prompt"
        )
        self._record.write(f"caller gets stream: {got}")


async def run(record: site.Record, folder: pathlib.Path, has_trouble: bool) -> bool:
    """Return whether the rule held."""
    runners: list[site.Runner] = [Engine("e0", record, site.MODEL)]
    runners += [site.Runner(f"l{number}", record) for number in range(3)]
    state = site.make_state(
        1,
        [
            site.make_route("ask", "stream", site.MODEL),
            site.make_route(
                "order", "non_idempotent", site.LEDGER, timeout_ms=TIMEOUT_MS
            ),
        ],
    )
    async with site.running(record, folder, runners, state) as running:
        stop = Stop(running)
        await stop.run(has_trouble)
    summary = f"{len(stop.lost)} of {ORDERS} orders ran and got no answer"
    record.write(summary)
    print(summary)
    return not stop.lost


if __name__ == "__main__":
    sys.exit(site.main(run))
