"""Measures the processor time that forwarding a part of an answer costs.

The daemon's side runs the code of the daemon. Runners and callers are plain
sockets in separate threads. The daemon's cost is the processor time of its
own thread, which does not include the time of runners and callers.
"""

import asyncio
import functools
import socket
import threading
import time

import h11
import msgspec
from result import Err

from lacewingdrum_coordination import streams
from lacewingdrum_daemon import answers
from lacewingdrum_protocol import callers_api, runner_api, sse
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import http_client, http_server, runner_client
from standins import slope_fit, slope_fleet

PART_SIZES = (250, 1_000, 4_000)
TOKENS_PER_PART = (1, 4, 16)
TOKEN_TEXT = " word"
CALLERS = 8
LOOPBACK = "127.0.0.1"
READ_BYTES = 65_536
HEAD_END = b"\r\n\r\n"
ATTEMPT_ID = ids.AttemptId("req-0123456789abcdef0123.1")
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
CALL = (
    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n"
    b"Connection: close\r\n\r\n%b"
)

Measured = slope_fit.Measured


def forwarding() -> list[Measured]:
    """Return the processor time of parts, without and with sockets."""
    measurements = [
        slope_fit.measure(
            "parts forwarded without sockets, 1 token, against parts",
            "us",
            PART_SIZES,
            _without_sockets_us,
        )
    ]
    for tokens in TOKENS_PER_PART:
        name = f"parts forwarded over loopback, {tokens} tokens a part, against parts"
        cost = functools.partial(_over_loopback_us, tokens)
        measurements.append(slope_fit.measure(name, "us", PART_SIZES, cost))
    return measurements


def part_event(number: int, count: int, tokens: int) -> bytes:
    """Return one event of a runner's answer of ``count`` parts."""
    is_last = number == count - 1
    part = runner_api.CompletionPart(
        ATTEMPT_ID,
        number * tokens,
        tokens,
        TOKEN_TEXT * tokens,
        "stop" if is_last else "",
    )
    return sse.encode(msgspec.json.encode(part))


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _without_sockets_us(count: int) -> float:
    events = [part_event(number, count, 1) for number in range(count)]
    decoder = msgspec.json.Decoder(runner_api.CompletionPart)
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(CALL % (2, b"{}"))
    while not isinstance(connection.next_event(), h11.EndOfMessage):
        continue
    connection.send(h11.Response(status_code=200, headers=[]))
    parser, stream = sse.SseParser(), streams.begin(ATTEMPT_ID)
    start_s = time.process_time()
    for event in events:
        for data in parser.feed(event):
            found = decoder.decode(data)
            part = streams.Part(
                ids.AttemptId(found.attempt_id),
                found.offset,
                found.token_count,
                found.text,
                found.finish_reason,
            )
            stream, ready_parts, _ = streams.add_part(stream, part)
            for ready_part in ready_parts:
                out = callers_api.stream_event(
                    "req", "model", ready_part.text, ready_part.finish_reason
                )
                connection.send(h11.Data(data=sse.encode(out)))
    elapsed_s = time.process_time() - start_s
    assert stream.is_complete
    return elapsed_s * slope_fit.US_PER_S


class FarSide:
    """Runners and callers: sockets in threads, without the daemon's code.

    A runner's answer has as many parts as the call's ``max_tokens``, each of
    ``tokens`` tokens. After ``open_quiet`` was called, a runner sends only
    the first part of each answer.
    """

    def __init__(self, tokens: int = 1, pause_s: float = 0.0) -> None:
        self.runner_port = 0
        self._tokens = tokens
        self._pause_s = pause_s
        self._is_quiet = False
        self._listener = socket.create_server((LOOPBACK, 0), backlog=512)
        self._open: list[socket.socket] = []

    def start(self) -> None:
        """Start to accept connections as a runner."""
        self.runner_port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Close all connections."""
        self._listener.close()
        for found in self._open:
            found.close()

    def open_quiet(self, port: int, count: int) -> None:
        """Open callers' streams whose answers remain unfinished."""
        self._is_quiet = True
        for _ in range(count):
            caller = socket.create_connection((LOOPBACK, port))
            self._open.append(caller)
            caller.sendall(CALL % (4, b"1000"))

    def call(self, port: int, count: int) -> bytes:
        """Return the last bytes of a complete answer of ``count`` parts."""
        body = b"%d" % count
        last = b""
        with socket.create_connection((LOOPBACK, port)) as caller:
            caller.sendall(CALL % (len(body), body))
            while data := caller.recv(READ_BYTES):
                last = (last + data)[-64:]
        return last

    def _accept(self) -> None:
        while True:
            try:
                found, _ = self._listener.accept()
            except OSError:
                return
            self._open.append(found)
            threading.Thread(target=self._answer, args=(found,), daemon=True).start()

    def _answer(self, found: socket.socket) -> None:
        found.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            # The daemon keeps connections open and reuses them.
            while self._answer_one(found):
                continue
        except OSError:
            return

    def _answer_one(self, found: socket.socket) -> bool:
        request = b""
        while HEAD_END not in request or b'"max_tokens":' not in request:
            data = found.recv(READ_BYTES)
            if not data:
                return False
            request += data
        count = int(request.rpartition(b'"max_tokens":')[2].split(b",")[0])
        found.sendall(STREAM_HEAD)
        for number in range(count):
            found.sendall(_chunk(part_event(number, count, self._tokens)))
            if self._is_quiet:
                return False
            if self._pause_s:
                time.sleep(self._pause_s)
        found.sendall(_chunk(sse.encode(runner_api.DONE_DATA)) + b"0\r\n\r\n")
        return True


class Edge:
    """The daemon's data path: forwards a runner's stream to a caller."""

    def __init__(self, runner_port: int) -> None:
        self.part_count = 0
        self._http = http_client.HttpClient()
        self._runners = runner_client.RunnerClient(self._http)
        self._server = http_server.HttpServer(self._handle)
        self._runner = fleet.Runner(
            ids.RunnerId("runner-00000"),
            ids.ServiceName("model-00"),
            slope_fleet.data_centre(0),
            fleet.Address(LOOPBACK, runner_port),
            ids.Incarnation(1),
        )

    async def start(self) -> int:
        """Start the server and return its port for callers."""
        return await self._server.start(LOOPBACK, 0)

    async def close(self) -> None:
        """Close all connections."""
        await self._server.close()
        await self._http.close()

    async def _handle(
        self, request: http_server.HttpRequest, responder: http_server.Responder
    ) -> None:
        count = int(request.body)
        call = runner_api.CompletionCall(
            ATTEMPT_ID, "x", 1, count, runner_api.Priority.SHORT, 60_000
        )
        opened = await self._runners.complete(self._runner, call, 10.0)
        if isinstance(opened, Err):
            raise RuntimeError(opened.err_value.detail)
        source, stream = opened.ok_value, streams.begin(ATTEMPT_ID)
        body = callers_api.CompletionBody("model-00", "x", count, True)
        answer = answers.Answer(responder, ids.RequestId("req-1"), body, 1)
        while True:
            received = await source.next(60.0)
            if isinstance(received, Err):
                break
            found = received.ok_value
            if found is None:
                await answer.finish(stream)
                break
            part = streams.Part(
                ids.AttemptId(found.attempt_id),
                found.offset,
                found.token_count,
                found.text,
                found.finish_reason,
            )
            stream, ready_parts, _ = streams.add_part(stream, part)
            for ready_part in ready_parts:
                self.part_count += 1
                await answer.append_part(ready_part)
        await source.close()


def _over_loopback_us(tokens: int, count: int) -> float:
    """Return the processor us of the daemon's thread for ``count`` parts."""
    # The runners pause, so that parts arrive one by one as from an engine.
    far_side = FarSide(tokens, pause_s=0.001)
    far_side.start()
    try:
        return asyncio.run(_forward(far_side, count))
    finally:
        far_side.close()


async def _forward(far_side: FarSide, count: int) -> float:
    edge = Edge(far_side.runner_port)
    port = await edge.start()
    loop = asyncio.get_running_loop()
    share = count // CALLERS
    await loop.run_in_executor(None, far_side.call, port, 8)
    start_s = time.thread_time()
    calls = [
        loop.run_in_executor(None, far_side.call, port, share) for _ in range(CALLERS)
    ]
    for last in await asyncio.gather(*calls):
        assert b"[DONE]" in last, last
    elapsed_s = time.thread_time() - start_s
    await edge.close()
    return elapsed_s * slope_fit.US_PER_S * count / (share * CALLERS)
