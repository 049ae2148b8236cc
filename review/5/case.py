"""An engine crashes and is soon back, while others hold memory for it."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import review_site as site

FREE_S = 4.0
PREFILL_S = 4.7
CRASH_S = 1.0
DOWN_S = 1.2
PROMPT_TOKENS = 600_000
PATIENCE_MS = 15_000
ENGINES = 4
WATCH_S = 14.0
POLL_S = 0.05


class Ticket:
    """Memory that is set aside under an id until its lease ends."""

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.ends_s = 0.0


class Engine(site.Runner):
    """An engine with tickets, which can crash and start again."""

    def __init__(self, runner_id: str, record: site.Record) -> None:
        super().__init__(runner_id, record, site.MODEL)
        self.tickets: dict[str, Ticket] = {}
        self.lives = 1
        self._lives_of: dict[asyncio.StreamWriter, int] = {}

    async def serve(
        self,
        request: site.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Carry out an order, report, or run a request."""
        await self._stay_silent_if_dead(writer)
        if request.target == "/-/order":
            self._order(json.loads(request.body), writer)
            return True
        if request.target == "/-/report":
            self._report(writer)
            return True
        return await super().serve(request, reader, writer)

    def _order(self, order: dict[str, object], writer: asyncio.StreamWriter) -> None:
        name, now_s = str(order["id"]), self.record.now_s
        if order["op"] == "reserve":
            ticket = self.tickets.setdefault(name, Ticket(int(str(order["tokens"]))))
            ticket.ends_s = now_s + int(str(order["hold_ms"])) / 1_000
        else:
            self.tickets.pop(name, None)
        self.record.write(f"runner {self.runner_id} gets {order['op']} {name}")
        writer.write(site.answer(200, (), b'{"free":450000}'))

    def expire(self) -> None:
        """Drop the tickets whose lease has ended."""
        for name, ticket in tuple(self.tickets.items()):
            if self.record.now_s >= ticket.ends_s:
                del self.tickets[name]
                self.record.write(f"runner {self.runner_id}: lease of {name} ends")

    def _report(self, writer: asyncio.StreamWriter) -> None:
        users = Engines.working
        tickets = [
            {"id": name, "tokens": 1, "state": "used" if name in users else "held"}
            for name in self.tickets
        ]
        body = json.dumps({"tickets": tickets}).encode()
        writer.write(site.answer(200, (("Content-Type", "application/json"),), body))

    async def work(
        self,
        request: site.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Read the prompt, then answer with a few events."""
        names = {
            item.partition("/")[2]
            for item in request.headers.get("helpers", "").split(",")
            if "/" in item
        }
        Engines.working |= names
        try:
            await asyncio.sleep(PREFILL_S)
            await self._stay_silent_if_dead(writer)
            lines = ["HTTP/1.1 200 OK"]
            lines += [f"{name}: {value}" for name, value in self.head(request)]
            lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            writer.write("\r\n".join((*lines, "", "")).encode())
            for number in range(1, 6):
                event = f"id: {number}\ndata: piece {number}\n\n"
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                await asyncio.sleep(0.1)
            writer.write(b"0\r\n\r\n")
        finally:
            Engines.working -= names
        self.record.write(f"runner {self.runner_id} has answered {request.attempt_id}")
        return True

    async def _stay_silent_if_dead(self, writer: asyncio.StreamWriter) -> None:
        """Wait for ever on a connection of an earlier life."""
        if self._lives_of.setdefault(writer, self.lives) != self.lives:
            await asyncio.Event().wait()

    async def crash(self) -> None:
        """Lose all work and memory, and be down for a while.

        Open connections go silent, and new ones are not accepted.
        """
        assert self._server is not None
        self._server.close()
        self.lives += 1
        self.tickets.clear()
        Engines.working.clear()
        self.record.write(f"runner {self.runner_id} crashes")
        await asyncio.sleep(DOWN_S)
        self.runner_id += "-again"
        self.born_ms += 10_000
        await self.start(self.host, self.port)
        self.record.write(f"runner {self.runner_id} starts at the same address")


class Engines:
    """The engines of the site, and the ids of tickets in use."""

    working: set[str] = set()


class Leak:
    """Has the engine that writes crash, and watches the others' tickets."""

    def __init__(self, running: site.Site, engines: list[Engine]) -> None:
        self.longest_s = 0.0
        self._site = running
        self._record = running.record
        self._engines = engines

    async def run(self, has_trouble: bool) -> None:
        """Send a long prompt, and watch the memory until it is free."""
        calling = asyncio.ensure_future(self._call())
        watching = asyncio.ensure_future(self._watch())
        writer = await self._find_writer()
        await asyncio.sleep(CRASH_S)
        if has_trouble:
            old_id = writer.runner_id
            crashing = asyncio.ensure_future(writer.crash())
            self._over_s = self._record.now_s
            await crashing
            self._site.store.delete("servers", old_id)
            self._site.store.put("servers", writer.runner_id, writer.entry())
        await watching
        calling.cancel()

    _over_s = float("inf")

    async def _find_writer(self) -> Engine:
        while True:
            for engine in self._engines:
                if engine.runs:
                    return engine
            await asyncio.sleep(POLL_S)

    async def _watch(self) -> None:
        end_s = self._record.now_s + WATCH_S
        first = ""
        while self._record.now_s < end_s:
            for engine in self._engines:
                engine.expire()
                first = first or next(iter(engine.tickets), "")
                if first in engine.tickets:
                    held_s = self._record.now_s - self._over_s
                    self.longest_s = max(self.longest_s, held_s)
            await asyncio.sleep(POLL_S)

    async def _call(self) -> None:
        gateway = self._site.gateways[0]
        headers = site.call_headers("long", PATIENCE_MS)
        headers["Model"] = "m"
        headers["Token-Count"] = f"{PROMPT_TOKENS},300"
        headers["Prompt-Prefix"] = f"a:40,b:{PROMPT_TOKENS - 40}"
        self._record.write("caller sends long to gateway 0")
        got = await site.call(
            gateway.host, gateway.port, "POST", "/digest/x", headers, b"prompt"
        )
        self._record.write(f"caller gets long: {got}")


async def run(record: site.Record, folder: pathlib.Path, has_trouble: bool) -> bool:
    """Return whether the rule held."""
    engines = [Engine(f"e{number}", record) for number in range(ENGINES)]
    route = site.make_route(
        "digest",
        "stream",
        site.MODEL,
        timeout_ms=PATIENCE_MS,
        target_latency_ms=3_000,
        gap_target_ms=800,
    )
    state = site.make_state(1, [route])
    async with site.running(record, folder, list(engines), state, 1) as running:
        leak = Leak(running, engines)
        await leak.run(has_trouble)
    summary = f"memory stayed set aside for {leak.longest_s:.2f} s after the request"
    record.write(summary)
    print(summary)
    return leak.longest_s <= FREE_S


if __name__ == "__main__":
    sys.exit(site.main(run))
