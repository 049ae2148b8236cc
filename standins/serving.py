"""The base of all stand-in processes: two ports, faults and their control.

lacewingdrum uses the data port. The control port sets faults
(``POST /control``, fields of ``Faults``) and returns a record of what happened
(``GET /record``), so that a test can compare it with the answers that callers
received.
"""

import argparse
import asyncio
import json
import random
import signal
from collections.abc import Awaitable, Callable, Mapping

import msgspec

from lacewingdrum_transport import http_messages, http_server

HOST = "127.0.0.1"
JSON_HEADERS = (("Content-Type", "application/json"),)
MS_PER_S = 1000


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Active faults; a share is a probability from 0 to 1.

    ``lose_replies`` drops replies after the call took effect. ``late_writes``
    applies a write only after its reply was lost. ``mix_parts`` repeats and
    delays parts of streams and inserts parts of another attempt.
    ``slowdown`` divides the speed of an engine.
    """

    leaving: bool = False
    refuse: str = ""
    outage: bool = False
    delay_ms: int = 0
    slowdown: float = 1.0
    lose_replies: float = 0.0
    late_writes: float = 0.0
    late_ms: int = 1_000
    cut_streams: float = 0.0
    mix_parts: float = 0.0
    lose_cancels: float = 0.0
    lose_import_replies: float = 0.0
    list_lag_ms: int = 0


class ClientGone(Exception):  # noqa: N818 - it is an outcome, not a fault.
    """The connection can no longer be used."""


class Reply:
    """Sends the answer to a client, unless its connection is silent."""

    def __init__(
        self, responder: http_server.Responder, is_silent: Callable[[], bool]
    ) -> None:
        self._responder = responder
        self._is_silent = is_silent

    async def send(self, status: int, body: bytes) -> None:
        """Send a complete JSON answer."""
        await self._wait_if_silent()
        await self._responder.send(
            http_messages.HttpResponse(status, JSON_HEADERS, body)
        )

    async def start_stream(self) -> None:
        """Send the head of a stream of events."""
        await self._wait_if_silent()
        await self._responder.start_stream(
            200, (("Content-Type", "text/event-stream"),)
        )

    async def write(self, data: bytes) -> None:
        """Send a part of a stream.

        Raises:
            ClientGone: if the client has disconnected.
        """
        await self._wait_if_silent()
        if not await self._responder.write(data):
            raise ClientGone

    async def finish(self) -> None:
        """End a stream."""
        await self._wait_if_silent()
        await self._responder.finish()

    def abort(self) -> None:
        """Close the connection without a clean end.

        Raises:
            ClientGone: always.
        """
        self._responder.abort()
        raise ClientGone

    async def hang(self) -> None:
        """Send nothing until the client disconnects.

        Raises:
            ClientGone: always.
        """
        await self._responder.input_ended.wait()
        raise ClientGone

    async def _wait_if_silent(self) -> None:
        if self._is_silent():
            await self.hang()


AnswerHandler = Callable[[http_server.HttpRequest, Reply], Awaitable[None]]
ControlHandler = Callable[[bytes], bytes]


class StandIn:
    """The data server and the control server of one stand-in."""

    def __init__(
        self,
        answer: AnswerHandler,
        record: Callable[[], object],
        controls: Mapping[str, ControlHandler] | None = None,
        seed: int = 1,
    ) -> None:
        self.faults = Faults()
        self.rng = random.Random(seed)
        self._answer = answer
        self._record = record
        self._controls = dict(controls or {})
        self._open_peers: set[str] = set()
        self._silent_peers: set[str] = set()
        self._server = http_server.HttpServer(self._handle)
        self._control_server = http_server.HttpServer(self._handle_control)

    async def start(self, port: int = 0, control_port: int = 0) -> tuple[int, int]:
        """Bind both ports.

        Args:
            port: the data port; 0 picks one.
            control_port: the control port; 0 picks one.

        Returns:
            The ports that were bound.
        """
        bound = await self._server.start(HOST, port)
        return bound, await self._control_server.start(HOST, control_port)

    async def close(self) -> None:
        """Close both servers and their connections."""
        await self._server.close()
        await self._control_server.close()

    def draw_fault(self, share: float) -> bool:
        """Draw at random whether a fault with this share occurs now."""
        return share > 0 and self.rng.random() < share

    def silence_open_connections(self) -> None:
        """Make every open connection silent until it is closed."""
        self._silent_peers |= self._open_peers

    async def lose_reply(self, reply: Reply) -> None:
        """Lose a reply: abort the connection or send nothing on it."""
        if self.rng.random() < 0.5:
            reply.abort()
        await reply.hang()

    async def _handle(
        self, request: http_server.HttpRequest, responder: http_server.Responder
    ) -> None:
        peer = request.remote_address
        self._open_peers.add(peer)
        reply = Reply(responder, lambda: peer in self._silent_peers)
        try:
            if peer in self._silent_peers:
                await reply.hang()
            if self.faults.delay_ms:
                await asyncio.sleep(self.faults.delay_ms / MS_PER_S)
            if self.faults.outage:
                await reply.send(503, b"{}")
                return
            await self._answer(request, reply)
        except ClientGone:
            self._open_peers.discard(peer)
            responder.abort()

    async def _handle_control(
        self, request: http_server.HttpRequest, responder: http_server.Responder
    ) -> None:
        status, body = self._control(request)
        await responder.send(http_messages.HttpResponse(status, JSON_HEADERS, body))

    def _control(self, request: http_server.HttpRequest) -> tuple[int, bytes]:
        try:
            match request.method, request.path:
                case "GET", "/record":
                    return 200, json.dumps(self._record()).encode()
                case "POST", "/control":
                    self._set_faults(request.body)
                    return 200, msgspec.json.encode(self.faults)
                case "POST", "/silence":
                    self.silence_open_connections()
                    return 200, b"{}"
                case "POST", path if path in self._controls:
                    return 200, self._controls[path](request.body)
        except (ValueError, RecursionError) as error:
            return 400, json.dumps({"error": str(error)}).encode()
        return 404, b"{}"

    def _set_faults(self, body: bytes) -> None:
        changes = msgspec.json.decode(body, type=dict)
        merged = msgspec.structs.asdict(self.faults) | changes
        self.faults = msgspec.convert(merged, Faults)


def parser(name: str) -> argparse.ArgumentParser:
    """Return a parser of the options that all stand-ins have."""
    arguments_parser = argparse.ArgumentParser(prog=f"python -m standins.{name}")
    arguments_parser.add_argument("--port", type=int, default=0)
    arguments_parser.add_argument("--control-port", type=int, default=0)
    arguments_parser.add_argument("--seed", type=int, default=1)
    return arguments_parser


async def serve(stand_in: StandIn, arguments: argparse.Namespace) -> None:
    """Print the ports as a JSON line; serve until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    ports = await stand_in.start(arguments.port, arguments.control_port)
    print(json.dumps({"port": ports[0], "control_port": ports[1]}), flush=True)
    await stop.wait()
    await stand_in.close()
