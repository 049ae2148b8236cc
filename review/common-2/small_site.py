"""Stand-ins for a small deployment: store, runners, platform and requesters.

They use the standard library only, loopback addresses and the real clock. The
gateways are started with the command of the deploy file, and their settings
are rendered from its template.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import struct
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
EXPIRY_HEARTBEATS = 3
RESTART_DELAY_S = 0.5
STORE_DELAY_S = 0.004
MEMORY_MB = 300
BOUNDS = {
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "retry_slack": 100,
    "budget_window_s": 10,
    "hold_max_ms": 20000,
    "idle_max_ms": 9000,
    "config_ms": 2000,
}
ENGINE = {
    "slots": 8,
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


def free_port(host: str) -> int:
    """Return a port that is free at a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def free_peer_port(hosts: list[str]) -> int:
    """Return a port that is free, like the next one, at all of these hosts."""
    while True:
        port = free_port(hosts[0])
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for host in hosts:
                for number in (port, port + 1):
                    stack.enter_context(socket.socket()).bind((host, number))
            return port


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self) -> None:
        self.start_s = time.monotonic()
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{time.monotonic() - self.start_s:8.3f} s  {text}")

    def write(self, folder: pathlib.Path) -> None:
        """Write all lines to ``record.txt``."""
        (folder / "record.txt").write_text("\n".join(self.lines) + "\n")


@dataclasses.dataclass
class Message:
    """A request or an answer whose head and body have been read."""

    start: str
    headers: Headers
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message, or None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return Message(start, headers, b"")


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Read a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readline()
    return body


def format_answer(status: int, headers: Headers, body: bytes) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{key}: {headers[key]}" for key in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Server:
    """An HTTP server with one task a connection."""

    def __init__(self) -> None:
        self.host, self.port = "", 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int = 0) -> None:
        """Listen at an address; port 0 picks a free one."""
        self._server = await asyncio.start_server(self._accept, host, port)
        self.host, self.port = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            reset(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                request.body = await self.read_body(reader, request.headers)
                if not await self.serve(request, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def read_body(self, reader: asyncio.StreamReader, headers: Headers) -> bytes:
        """Read the body of a request."""
        return await read_body(reader, headers)

    async def serve(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether another one may follow."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: rows and a feed of their changes."""

    def __init__(self) -> None:
        super().__init__()
        self._version = 1
        self._rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self._history: list[tuple[int, str, str, bytes | None]] = []
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row, as the operator and the runners do."""
        self._change(table, key, json.dumps(value).encode())

    def drop(self, table: str, key: str) -> None:
        """Remove a row, if it is there."""
        if (table, key) in self._rows:
            self._change(table, key, None)

    def _change(self, table: str, key: str, value: bytes | None) -> None:
        self._version += 1
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = (value, self._version)
        self._history.append((self._version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a call."""
        await asyncio.sleep(STORE_DELAY_S)
        target = request.start.split(" ")[1]
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        status, rows = 200, []
        if path == "/-/rows-tx":
            status = self._transact(json.loads(request.body))
        elif path == "/-/rows-feed":
            rows = await self._feed(fields)
        else:
            first, last = fields.get("from", ""), fields.get("target", "")
            rows = [
                self._row(version, table, key, value)
                for (table, key), (value, version) in sorted(self._rows.items())
                if table == fields["table"]
                and key >= first
                and (not last or key < last)
            ]
        answer = {
            "rows": rows,
            "has_more": False,
            "ver": self._version,
            "now_ms": int(time.monotonic() * 1000),
        }
        body = json.dumps(answer).encode()
        writer.write(format_answer(status, {"Content-Type": "application/json"}, body))
        return True

    def _transact(self, call: dict[str, list[dict[str, str]]]) -> int:
        for item in call.get("expected_rev", []):
            key = (item["table"], item["key"])
            if self._rows.get(key, (b"", 0))[1] != item["ver"]:
                return 412
        for item in call.get("puts", []):
            value = base64.b64decode(item["value"])
            self._change(item["table"], item["key"], value)
        for item in call.get("deletes", []):
            self._change(item["table"], item["key"], None)
        return 200

    async def _feed(self, fields: dict[str, str]) -> list[dict[str, object]]:
        end_s = time.monotonic() + int(fields["wait_ms"]) / 1000
        while True:
            rows = [
                self._row(version, table, key, value)
                for version, table, key, value in self._history
                if version > int(fields["after"]) and table == fields["table"]
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                return rows
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    @staticmethod
    def _row(
        version: int, table: str, key: str, value: bytes | None
    ) -> dict[str, object]:
        row: dict[str, object] = {"table": table, "part": "", "key": key}
        row["ver"] = version
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row


class Runner(Server):
    """A runner; it writes its entry each heartbeat unless it is cut off."""

    def __init__(self, store: Store, name: str, service: str, record: Record) -> None:
        super().__init__()
        self.name, self.service, self.record = name, service, record
        self.is_cut_from_store = False
        self.seal = 0
        self._store = store
        self._born = int(time.time() * 1000)
        self._seq = 0
        self._written_s = float("-inf")
        self._heart: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and begin to write the entry."""
        await self.listen("127.0.0.1", self.port)
        self._heart = asyncio.create_task(self._beat())

    async def close(self) -> None:
        """Stop like a process that is killed."""
        if self._heart is not None:
            self._heart.cancel()
        await self.stop()

    async def _beat(self) -> None:
        while True:
            if self.is_cut_from_store:
                silent_s = time.monotonic() - self._written_s
                if silent_s > EXPIRY_HEARTBEATS * HEARTBEAT_S:
                    self._store.drop("servers", self.name)
            else:
                self._write_entry()
            await asyncio.sleep(0.1 if self.is_cut_from_store else HEARTBEAT_S)

    def _write_entry(self) -> None:
        self._seq += 1
        self._written_s = time.monotonic()
        entry = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": "north",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self._seq,
            "born": self._born,
        }
        self._store.put("servers", self.name, entry)

    async def serve(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a request or a call of the platform's own interface."""
        if request.headers.get("expect-instance", self.name) != self.name:
            writer.write(format_answer(421, {}, b""))
            return True
        path = request.start.split(" ")[1]
        if path == "/-/report":
            body = json.dumps({"busy": False, "seq": 0, "born": self._born}).encode()
            writer.write(format_answer(200, {}, body))
            return True
        if path == "/-/order":
            writer.write(format_answer(200, {}, b'{"free":0}'))
            return True
        return await self.run(request, writer)

    def answer_headers(self, request: Message) -> Headers:
        """Return the headers of an answer that this runner vouches for."""
        self.seal += 1
        return {
            "Attempt-Id": request.headers.get("attempt-id", ""),
            "Response-Seal": f"{self.name}.{self.seal}",
        }

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a requester's request."""
        raise NotImplementedError


def render(template: str, fields: dict[str, object]) -> str:
    """Fill in the placeholders that the project's template uses."""

    def find(name: str) -> object:
        value: object = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match[str]) -> str:
        return match[2] if find(match[1]) is not None else ""

    def field(match: re.Match[str]) -> str:
        value = find(match[1])
        return json.dumps(value) if match[2] else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n", section, template, flags=16)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", field, text)


class Gateway:
    """A gateway process, as the deploy file starts it."""

    def __init__(
        self, number: int, store: Store, peer_port: int, folder: str, record: Record
    ) -> None:
        self.name = f"front-north-{number + 1}"
        self.host = f"127.0.3.{number + 1}"
        self.port = free_port(self.host)
        self.ready_port = free_port(self.host)
        self.process: asyncio.subprocess.Process | None = None
        self.record = record
        self.own_ends = 0
        self._path = pathlib.Path(folder) / f"boot-{number}.toml"
        fields: dict[str, object] = {
            "node": self.name,
            "zone": "north",
            "ip": self.host,
            "internal_ports": [peer_port, peer_port + 15],
            "seeds": [f"127.0.3.{seed + 1}:1" for seed in range(3)],
            "listen": {
                "front": f"{self.host}:{self.port}",
                "ready": f"{self.host}:{self.ready_port}",
            },
            "limits": {"max_fds": 4200, "memory_mb": MEMORY_MB},
            "bounds": BOUNDS,
            "platform": {"address": f"{store.host}:{store.port}"},
        }
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        role = role["gateway"]
        self._path.write_text(render((ROOT / role["template"]).read_text(), fields))
        run = role["run"].replace("/etc/lacewingdrum/boot.toml", str(self._path))
        self._command = shlex.split(run)

    async def start(self) -> None:
        """Start the process."""
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        self.process = await asyncio.create_subprocess_exec(
            *self._command,
            cwd=ROOT,
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
        )
        self.record.add(f"{self.name} is started")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)
            self.record.add(f"{self.name} gets {number.name}")

    async def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        answer = await call(self.host, self.ready_port, "GET", "/-/readyz", {}, b"", 1)
        return answer is not None and answer.start.split(" ")[1] == "200"

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the process is ready."""
        end_s = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > end_s:
                raise TimeoutError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)
        self.record.add(f"{self.name} is ready")

    async def end(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: Headers,
    body: bytes,
    timeout_s: float,
) -> Message | None:
    """Send a request on a new connection; return a whole answer or None."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f"{method} {path} HTTP/1.1", "Host: site.example"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            answer = await read_head(reader)
            while answer is not None and answer.start.split(" ")[1][0] == "1":
                answer = await read_head(reader)
            if answer is not None:
                answer.body = await read_body(reader, answer.headers)
            return answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


def route(name: str, kind: str, service: str, **changes: object) -> dict[str, object]:
    """Return a route of the desired state."""
    return {
        "name": name,
        "host": "site.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 10_000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 1 if kind == "non_idempotent" else 2,
        "resumable": kind == "stream",
        "gap_target_ms": 200 if kind == "stream" else 0,
        **changes,
    }


def desired_state(
    routes: list[dict[str, object]], engines: tuple[str, ...] = ()
) -> dict[str, object]:
    """Return a desired state for these routes."""
    services = sorted({str(item["service"]) for item in routes})
    return {
        "version": 3,
        "routes": routes,
        "services": [
            {"name": name, **({"engine": ENGINE} if name in engines else {})}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "alice", "api_keys": ["key-of-alice"], "priority": 1}],
    }


Case = Callable[[Record, Store, list[Gateway], bool], Awaitable[bool]]


async def _play(case: Case, gateway_count: int, record: Record) -> bool:
    store = Store()
    await store.listen("127.0.0.1")
    hosts = [f"127.0.3.{number + 1}" for number in range(gateway_count)]
    peer_port = free_peer_port(hosts)
    with tempfile.TemporaryDirectory() as folder:
        gateways = [
            Gateway(number, store, peer_port, folder, record)
            for number in range(gateway_count)
        ]
        try:
            has_trouble = os.environ.get("TROUBLE", "1") != "0"
            return await case(record, store, gateways, has_trouble)
        finally:
            for gateway in gateways:
                await gateway.end()
            await store.stop()


def main(case: Case, gateway_count: int, folder: pathlib.Path) -> int:
    """Play a case; return 1 if the rule was broken, 0 if not, else 2."""
    record = Record()
    # The gateways inherit this, also where the caller ignores the signal.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        is_broken = asyncio.run(_play(case, gateway_count, record))
        return 1 if is_broken else 0
    except Exception as error:  # The case could not run.
        record.add(f"the case could not run: {error!r}")
        return 2
    finally:
        record.write(folder)
