"""A small site for the cases of the review: store, runners and gateways.

The gateways are separate processes, started with the command of the deploy
file. Store, runners and callers are stand-ins on loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys
import time
import urllib.parse
from collections.abc import AsyncIterator, Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
KEY = "key-of-tenant"
HOST = "site.example"
MODEL = "model"
LEDGER = "ledger"
HEARTBEAT_S = 1.2
READY_WAIT_S = 20.0
ENGINE = {
    "slots": 16,
    "kv_capacity_tokens": 450_000,
    "step_ms": 0.925,
    "per_seq_ms": 0.00483,
    "context_per_k": 0.00254,
    "read_per_s": 256_000.0,
    "pairs_per_m": 0.0917,
    "chunk": 2_048,
    "stride": 46,
    "hop_ms": 0.1,
}

Headers = dict[str, str]


class Record:
    """Writes what was sent, answered and run to a file, with the time."""

    def __init__(self, path: pathlib.Path) -> None:
        self._start_s = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    @property
    def now_s(self) -> float:
        """The time since the start of the record."""
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_s:9.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Request:
    """A request as a stand-in has read it."""

    def __init__(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def attempt_id(self) -> str:
        """The id that the caller gave the request."""
        return self.headers.get("attempt-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers: Headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return Request(method, target, headers, body)


def answer(
    status: int, headers: tuple[tuple[str, str], ...] = (), body: bytes = b""
) -> bytes:
    """Return the bytes of a whole answer."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Server:
    """Serves connections with a handler, one request after the other."""

    def __init__(self) -> None:
        self.port = 0
        self.host = "127.0.0.1"
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Begin to listen."""
        self.host = host
        self._server = await asyncio.start_server(self._accept, host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(ConnectionError, asyncio.CancelledError):
                while (request := await read_request(reader)) is not None:
                    if not await self.serve(request, reader, writer):
                        break
                    await writer.drain()
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def serve(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve a request; return whether the connection is kept."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: rows, a feed of changes and transactions.

    While ``is_down`` it answers all calls with 503, also those that wait.
    """

    def __init__(self) -> None:
        super().__init__()
        self._is_down = False
        self.version = 1
        self.era = 1
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.history: list[tuple[int, str, str, bytes | None]] = []
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row, as operators and runners do."""
        self._apply(table, key, json.dumps(value).encode())

    def delete(self, table: str, key: str) -> None:
        """Delete a row."""
        self._apply(table, key, None)

    def _apply(self, table: str, key: str, value: bytes | None) -> None:
        self.version += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (value, self.version)
        self.history.append((self.version, table, key, value))
        self._wake()

    async def serve(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a call."""
        status, body = await self._call(request)
        headers = (("Content-Type", "application/json"), ("Store-Era", str(self.era)))
        writer.write(answer(status, headers, json.dumps(body).encode()))
        return True

    @property
    def is_down(self) -> bool:
        """Whether nothing is done."""
        return self._is_down

    @is_down.setter
    def is_down(self, is_down: bool) -> None:
        self._is_down = is_down
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _call(self, request: Request) -> tuple[int, dict[str, object]]:
        if self._is_down:
            return 503, {}
        path, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        if path == "/-/rows-get":
            found = [
                self._row(table, key, *self.rows[table, key])
                for table, key in sorted(self.rows)
                if table == fields["table"] and key >= fields.get("from", "")
            ]
            return 200, self._rows(found)
        if path == "/-/rows-tx":
            for row in json.loads(request.body)["puts"]:
                value = base64.b64decode(row["value"])
                self._apply(row["table"], row["key"], value)
            return 200, {"ver": self.version, "now_ms": 0}
        if path == "/-/rows-feed":
            return await self._feed(fields)
        return 404, {}

    async def _feed(self, fields: dict[str, str]) -> tuple[int, dict[str, object]]:
        after, end_s = int(fields["after"]), time.monotonic()
        end_s += int(fields["wait_ms"]) / 1_000
        while True:
            if self._is_down:
                return 503, {}
            if after > self.version:
                return 410, {}
            found = [
                self._row(table, key, value, version)
                for version, table, key, value in self.history
                if version > after and table == fields["table"]
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                return 200, self._rows(found)
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()

    def _rows(self, found: list[dict[str, object]]) -> dict[str, object]:
        return {"rows": found, "has_more": False, "ver": self.version, "now_ms": 0}

    def _row(
        self, table: str, key: str, value: bytes | None, version: int
    ) -> dict[str, object]:
        row: dict[str, object] = {"table": table, "part": "", "key": key}
        row["ver"] = version
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row


class Path:
    """A proxy whose open connections can go silent, while new ones work."""

    def __init__(self, host: str, port: int) -> None:
        self.port = 0
        self._target = (host, port)
        self._server: asyncio.Server | None = None
        self._relays: set[asyncio.Task[None]] = set()
        self._silent: list[asyncio.StreamWriter] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self) -> int:
        """Let all open connections go silent; return their number."""
        count = len(self._writers) // 2
        for writer in self._writers:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            self._silent.append(writer)
        self._writers.clear()
        for relay in tuple(self._relays):
            relay.cancel()
        return count

    async def close(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        for relay in tuple(self._relays):
            relay.cancel()
        await asyncio.gather(*self._relays, return_exceptions=True)
        for writer in (*self._silent, *self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        onward_reader, onward = await asyncio.open_connection(*self._target)
        self._writers.update((writer, onward))
        for source, sink in ((reader, onward), (onward_reader, writer)):
            relay = asyncio.ensure_future(self._relay(source, sink))
            self._relays.add(relay)
            relay.add_done_callback(self._relays.discard)

    async def _relay(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while data := await source.read(65_536):
                sink.write(data)
                await sink.drain()
            self._writers.discard(sink)
            sink.close()


class Runner(Server):
    """A plain runner: one answer a request, after ``work_s``."""

    def __init__(self, runner_id: str, record: Record, service: str = LEDGER) -> None:
        super().__init__()
        self.runner_id = runner_id
        self.record = record
        self.service = service
        self.work_s = 0.045
        self.slots = asyncio.Semaphore(6)
        self.born_ms = int(time.time() * 1_000)
        self.runs: list[str] = []
        self.seq = 0

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return the entry of the runner in the store."""
        self.seq += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": "north",
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.born_ms,
        }

    def head(self, request: Request) -> tuple[tuple[str, str], ...]:
        """Return the headers of an answer to a request that ran."""
        return (
            ("Attempt-Id", request.attempt_id),
            ("Instance-Id", self.runner_id),
            ("Response-Seal", f"seal-{self.runner_id}-{request.attempt_id}"),
        )

    def begin(self, request: Request) -> None:
        """Record that a request begins to run."""
        self.runs.append(request.attempt_id)
        self.record.write(f"runner {self.runner_id} runs {request.attempt_id}")

    async def serve(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request and answer it."""
        expected = request.headers.get("expect-instance", self.runner_id)
        if expected != self.runner_id:
            writer.write(answer(421, (("Instance-Id", self.runner_id),)))
            return True
        async with self.slots:
            self.begin(request)
            return await self.work(request, reader, writer)

    async def work(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Do the work of a request and answer it."""
        await asyncio.sleep(self.work_s)
        body = f"answer of {self.runner_id} to {request.attempt_id}".encode()
        writer.write(answer(200, self.head(request), body))
        self.record.write(f"runner {self.runner_id} answers {request.attempt_id}")
        return True


def make_route(name: str, kind: str, service: str, **changes: object) -> dict:
    """Return a route of the desired state."""
    is_stream = kind == "stream"
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 10_000 if is_stream else 1_000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 1 if kind == "non_idempotent" else 2,
        "public": False,
        "resumable": is_stream,
        "gap_target_ms": 200 if is_stream else 0,
        "sticky": is_stream,
        **changes,
    }


def make_state(
    version: int, routes: list[dict], keys: tuple[str, ...] = (KEY,)
) -> dict[str, object]:
    """Return a desired state of the operator."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": MODEL, "engine": ENGINE}, {"name": LEDGER}],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "tenant", "api_keys": list(keys), "priority": 1}],
    }


def free_port() -> int:
    """Return a port that no address of this machine uses now."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.bind(("", 0))
        return int(probe.getsockname()[1])


def gateway_host(number: int) -> str:
    """Return the loopback address of a gateway."""
    return f"127.0.{2 + number // 250}.{number % 250 + 1}"


class Gateway:
    """A gateway process and its addresses."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.host = gateway_host(number)
        self.port = free_port()
        self.ready_port = free_port()
        self.process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """The id of the process."""
        assert self.process is not None
        return self.process.pid

    async def kill(self) -> None:
        """End the process without notice."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        os.kill(self.pid, number)


class Site:
    """Gateways as processes before a store and runners."""

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        self.record = record
        self.store = Store()
        self.runners: list[Runner] = []
        self.gateways: list[Gateway] = []
        self.seed_hosts: list[str] = []
        self._folder = folder
        self._peer_port = free_port()
        self._heartbeats: asyncio.Task[None] | None = None
        self.store_path: Path | None = None
        self.silent: set[str] = set()

    async def start(
        self, gateway_count: int, state: dict[str, object], first: int = 0
    ) -> None:
        """Start the store and the gateways, and wait until they are ready."""
        await self.start_platform(state)
        numbers = range(first, first + gateway_count)
        self.seed_hosts = [gateway_host(number) for number in numbers[:3]]
        self.gateways += [Gateway(number) for number in numbers]
        for gateway in self.gateways:
            await self.start_gateway(gateway)
        for gateway in self.gateways:
            await self.until_ready(gateway)

    async def start_platform(self, state: dict[str, object]) -> None:
        """Start the store and the runners, unless they run."""
        if self._heartbeats is not None:
            return
        await self.store.start()
        self.store_path = Path("127.0.0.1", self.store.port)
        await self.store_path.start()
        self.store.put("op", "config", state)
        for runner in self.runners:
            await runner.start()
            self.store.put("servers", runner.runner_id, runner.entry())
        self._heartbeats = asyncio.ensure_future(self._beat())

    async def start_gateway(self, gateway: Gateway) -> None:
        """Start the process of a gateway with the deploy file's command."""
        path = self._folder / f"gateway-{gateway.number}.toml"
        seeds = [f"{host}:1" for host in self.seed_hosts]
        path.write_text(
            f"""
[vm]
vm_id = "front-{gateway.number}"
data_centre = "north"
host = "{gateway.host}"
caller_address = "{gateway.host}:{gateway.port}"
ready_address = "{gateway.host}:{gateway.ready_port}"
peer_port = {self._peer_port}
metrics_port = 0
seeds = {json.dumps(seeds)}
[store]
address = "127.0.0.1:{self._store_port}"
[limits]
descriptors = 4200
memory_mb = 300
[bounds]
stop_grace_s = 8
repeat_ratio = 0.2
repeat_slack = 100
repeat_window_s = 10
lease_max_ms = 20000
memory_unused_max_ms = 9000
""",
            encoding="utf-8",
        )
        log = (self._folder / f"gateway-{gateway.number}.log").open("ab")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(DEPS),
        }
        gateway.process = await asyncio.create_subprocess_exec(
            "python3",
            "-S",
            "-m",
            "lacewingdrum_gateway.start",
            "--settings",
            str(path),
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write(f"gateway {gateway.number} started, pid {gateway.pid}")

    @property
    def _store_port(self) -> int:
        assert self.store_path is not None
        return self.store_path.port

    async def until_ready(self, gateway: Gateway) -> None:
        """Wait until a gateway says that it is ready."""
        async with asyncio.timeout(READY_WAIT_S):
            while not await self.is_ready(gateway):
                await asyncio.sleep(0.1)
        self.record.write(f"gateway {gateway.number} is ready")

    async def is_ready(self, gateway: Gateway) -> bool:
        """Ask a gateway whether it is ready, as the platform does."""
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(1.0):
                got = await call(
                    gateway.host, gateway.ready_port, "GET", "/-/readyz", {}, b""
                )
                return got.status == 200
        return False

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for runner in self.runners:
                if runner.runner_id not in self.silent:
                    self.store.put("servers", runner.runner_id, runner.entry())

    async def close(self) -> None:
        """End all processes and stand-ins."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for gateway in self.gateways:
            await gateway.kill()
        for runner in self.runners:
            await runner.close()
        if self.store_path is not None:
            await self.store_path.close()
        await self.store.close()


class Answer:
    """What a caller has got: a status, or 0 if the connection just ended."""

    def __init__(
        self, status: int, headers: Headers, body: bytes, is_whole: bool
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole

    def __str__(self) -> str:
        end = "whole" if self.is_whole else "not whole"
        seal = self.headers.get("response-seal", "none")
        return f"{self.status}, seal {seal}, {len(self.body)} bytes, {end}"


class Connection:
    """A caller's connection, which is kept for several requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, host: str, port: int) -> "Connection":
        """Connect."""
        return cls(*await asyncio.open_connection(host, port))

    def close(self) -> None:
        """Close the connection."""
        self._writer.transport.abort()

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send a request."""
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join((*lines, "", "")).encode("latin-1")
        self._writer.write(head + body)

    async def receive(self) -> Answer:
        """Read an answer; status 0 stands for a connection that ended."""
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(0, {}, b"", False)
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        headers: Headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
        body = b""
        try:
            if headers.get("transfer-encoding") == "chunked":
                while True:
                    size = int((await self._reader.readuntil(b"\r\n")).strip(), 16)
                    part = await self._reader.readexactly(size + 2)
                    if not size:
                        return Answer(status, headers, body, True)
                    body += part[:-2]
            body = await self._reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(status, headers, body, False)
        return Answer(status, headers, body, True)


async def call(
    host: str, port: int, method: str, target: str, headers: Headers, body: bytes
) -> Answer:
    """Send a request on a new connection and return the answer."""
    connection = await Connection.open(host, port)
    try:
        connection.send(method, target, {"Host": HOST, **headers}, body)
        return await connection.receive()
    finally:
        connection.close()


def call_headers(attempt_id: str, patience_ms: int, key: str = KEY) -> Headers:
    """Return the headers of a request of the tenant."""
    return {
        "Host": HOST,
        "Attempt-Id": attempt_id,
        "Deadline-Ms": str(patience_ms),
        "Key": key,
    }


@contextlib.asynccontextmanager
async def running(
    record: Record,
    folder: pathlib.Path,
    runners: list[Runner],
    state: dict[str, object],
    gateway_count: int = 2,
) -> AsyncIterator[Site]:
    """Yield a site that is ready, and end everything afterwards."""
    site = Site(record, folder)
    site.runners = runners
    try:
        await site.start(gateway_count, state)
        await asyncio.sleep(1.0)
        yield site
    finally:
        await site.close()


def main(case: Callable[[Record, pathlib.Path, bool], Awaitable[bool]]) -> int:
    """Run a case and return its exit code.

    Args:
        case: takes the record, a temporary folder and whether there is
            trouble, and returns whether the rule held.
    """
    import tempfile

    record = Record(pathlib.Path(sys.argv[1]) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(os.environ.get("KEEP_LOGS", name))
            folder.mkdir(parents=True, exist_ok=True)

            async def run() -> bool:
                async with asyncio.timeout(110.0):
                    return await case(record, folder, has_trouble)

            held = asyncio.run(run())
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        return 2
    verdict = "the rule held" if held else "the rule was broken"
    record.write(verdict)
    print(verdict)
    return 0 if held else 1
