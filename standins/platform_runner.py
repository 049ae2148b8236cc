"""Stands in for the platform's runners, plain ones and engines, with faults.

Each runner records the requests that it received and ran, so that a test can
compare these records with the answers that callers received.
"""

import asyncio
import contextlib
import json

import h11

from standins import (
    endless_answers,
    odd_answers,
    platform_answers,
    platform_connection,
    platform_failures,
    platform_memory,
    repeated_refusals,
    runner_crashes,
)

Fault = platform_answers.Fault
Headers = platform_connection.Headers
MemoryReservation = platform_memory.MemoryReservation
Moment = repeated_refusals.Moment
ReceivedRequest = platform_connection.ReceivedRequest
SECOND_COPY_DELAY_S = platform_connection.SECOND_COPY_DELAY_S
EVENT_INTERVAL_S = 0.005


class PlatformRunner:
    """One runner; each request uses up the next of ``faults``."""

    def __init__(self, runner_id: str, event_count: int = 5) -> None:
        self.runner_id = runner_id
        self.event_count = event_count
        self.event_interval_s = EVENT_INTERVAL_S
        self.first_event_s = 0.0
        self.answer_s = 0.0
        self.read_interval_s = 0.0
        # Whether answers have neither a length nor chunks.
        self.is_close_delimited = False
        self.faults: list[Fault | odd_answers.OddAnswer | odd_answers.RawAnswer] = []
        self.arrivals: list[ReceivedRequest] = []
        self.connection_count = 0
        self.working_count = 0
        self.reserved: dict[str, MemoryReservation] = {}
        self.command_count = 0
        self.refuse_commands = False
        self.has_endless_commands = False
        # Whether each answer says that the runner leaves.
        self.is_leaving = False
        # The requests a second that each answer names; "" names none.
        self.limit_per_s = ""
        # The time to stay away that a refused request is answered with.
        self.retry_after = ""
        # Addresses of engines that refuse to help, as draining engines do.
        self.refusing_helpers: set[str] = set()
        # An earlier refusal that is written once more on kept connections.
        self.repeated_refusal: repeated_refusals.RepeatedRefusal | None = None
        # Those of them that an answer of this engine has named.
        self.named_helpers: set[str] = set()
        self.port = 0
        # What answers without end have sent until their connection was closed.
        self.endless = endless_answers.EndlessAnswers()
        # Distinguishes the incarnations of the runner.
        self.born_ms = 1
        self.cold_left_ms: object = 0
        self.seq = 0
        # Whether reports state it.
        self.is_born_reported = True
        # How many reports it has given.
        self.report_count = 0
        # Whether commands, reports included, get no answer.
        self.ignores_commands = False
        self.crashes = runner_crashes.RunnerCrashes(self._abort_all, self.start)
        self._server: asyncio.Server | None = None
        # The connections of requests that the runner is at work on.
        self._working: set[asyncio.StreamReader] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Address that the runner listens on."""
        return f"127.0.0.1:{self.port}"

    @property
    def runs(self) -> list[str]:
        """Ids of the attempts that the runner ran, in order."""
        return [arrival.attempt_id for arrival in self.arrivals if arrival.ran]

    @property
    def awaited_count(self) -> int:
        """Number of requests at work whose sender has not closed."""
        return sum(not reader.at_eof() for reader in self._working)

    def entry(self, service: str, state: str = "ready") -> dict[str, object]:
        """Return the next entry of the runner in the platform's store."""
        self.seq += 1
        return {
            "service": service,
            "address": self.address,
            "zone": "north",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_left_ms": self.cold_left_ms,
            "seq": self.seq,
            "born": self.born_ms,
        }

    async def start(self, port: int = 0, host: str = "127.0.0.1") -> None:
        """Start to listen; port 0 picks a free port."""
        self._server = await asyncio.start_server(self._accept, host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Accept no new connections; open ones are still served."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Abort all connections, as a crash does, and stay closed."""
        await self.crashes.close()
        await self._abort_all()

    async def _abort_all(self) -> None:
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
        self.connection_count += 1
        try:
            with contextlib.suppress(
                ConnectionError, h11.RemoteProtocolError, asyncio.CancelledError
            ):
                await self._serve(reader, writer)
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = h11.Connection(h11.SERVER)
        is_kept = False
        while True:
            request, body = await platform_connection.read_request(
                connection, reader, self.read_interval_s
            )
            if request is None:
                return
            headers = {name.decode(): value.decode() for name, value in request.headers}
            path = request.target.decode()
            attempt_id = headers.get("attempt-id", "")
            if is_kept:
                self._repeat_refusal(writer, Moment.LATE, attempt_id)
            is_kept = True
            if path.startswith("/-/") and self.ignores_commands:
                await asyncio.Event().wait()
            if path == "/-/order" and self.has_endless_commands:
                await self.endless.send(writer, (), Fault.ENDLESS_BODY)
                return
            if path.startswith("/-/"):
                status, answer = self._handle_command(path, headers, body)
                is_reusable = platform_connection.respond(
                    connection,
                    writer,
                    status,
                    self._notices(),
                    answer,
                    self.is_close_delimited,
                )
            else:
                is_reusable = await self._answer_request(
                    connection, reader, writer, path, headers, body
                )
            if not is_reusable:
                await platform_connection.close_after_drain(writer)
                return
            self._repeat_refusal(writer, Moment.AT_ONCE, attempt_id)
            await writer.drain()
            connection.start_next_cycle()

    def _repeat_refusal(
        self, writer: asyncio.StreamWriter, moment: Moment, attempt_id: str
    ) -> None:
        if self.repeated_refusal is not None:
            was_refused = any(
                arrival.attempt_id == attempt_id and not arrival.ran
                for arrival in self.arrivals
            )
            self.repeated_refusal.write(writer, moment, attempt_id, was_refused)

    def _handle_command(
        self, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        """Return the status and the body of the answer to a command."""
        if headers.get("expect-instance", self.runner_id) != self.runner_id:
            return 421, b""
        if path == "/-/report":
            self.report_count += 1
            born = {"born": self.born_ms} if self.is_born_reported else {}
            return 200, platform_memory.format_report(self.reserved, born)
        if path != "/-/order":
            # A gateway of another test takes this port for its store.
            return 404, b""
        command = json.loads(body)
        self.command_count += 1
        if self.refuse_commands and command["op"] == "reserve":
            return 409, b'{"free":0}'
        platform_memory.apply_command(self.reserved, command)
        return 200, b'{"free":0}'

    def _notices(self) -> Headers:
        """Return the headers that each answer carries."""
        notices: Headers = ()
        if self.is_leaving:
            notices += (("Server-Leaving", "1"),)
        if self.limit_per_s:
            notices += (("Server-Limit", self.limit_per_s),)
        return notices

    async def _answer_request(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> bool:
        """Answer a request and return whether the connection is reusable."""
        fault = self.faults.pop(0) if self.faults else Fault.NONE
        attempt_id = headers.get("attempt-id", "")
        id_headers: Headers = (
            ("Attempt-Id", attempt_id),
            ("Instance-Id", self.runner_id),
            *self._notices(),
        )
        helpers = platform_connection.helper_addresses(headers)
        refusing_helper = next(
            (address for address in helpers if address in self.refusing_helpers), ""
        )
        if refusing_helper:
            fault = Fault.HELPER_FAILED
        expected = headers.get("expect-instance", self.runner_id)
        if expected != self.runner_id:
            fault = Fault.OTHER_RUNNER
        ran = fault not in platform_failures.NOT_RUN_FAULTS
        self.arrivals.append(ReceivedRequest(attempt_id, path, headers, body, ran))
        sealed_headers = (
            *id_headers,
            ("Response-Seal", f"seal-{self.runner_id}-{attempt_id}"),
        )
        if isinstance(fault, odd_answers.OddAnswer):
            return await odd_answers.send(
                connection,
                writer,
                fault,
                id_headers,
                sealed_headers[-1],
                int(headers.get("last-event-id") or 0),
            )
        if isinstance(fault, odd_answers.RawAnswer):
            await odd_answers.send_raw(writer, fault, sealed_headers)
            return False
        if fault is Fault.SHED and self.retry_after:
            id_headers += (("Retry-After", self.retry_after),)
        if fault is Fault.HELPER_FAILED:
            at_fault = refusing_helper or helpers[0]
            self.named_helpers.add(at_fault)
            id_headers += (("At-Server", at_fault),)
        is_reusable = await platform_failures.respond(
            connection, writer, fault, id_headers, sealed_headers
        )
        if is_reusable is not None:
            return is_reusable
        self.working_count += 1
        self._working.add(reader)
        try:
            if fault in endless_answers.FAULTS:
                await self.endless.send(writer, sealed_headers, fault)
                return False
            answer = platform_answers.AnswerWriter(
                connection, writer, sealed_headers, self.is_close_delimited
            )
            is_engine = "token-count" in headers
            await asyncio.sleep(self.first_event_s if is_engine else self.answer_s)
            if self.crashes.is_due(path, headers, body):
                self.crashes.crash(self.port)
                await asyncio.Event().wait()
            if is_engine:
                return await platform_answers.send_events(
                    answer,
                    int(headers.get("last-event-id") or 0) + 1,
                    self.event_count,
                    self.event_interval_s,
                    fault,
                )
            body = f"answer of {self.runner_id} to {attempt_id}".encode()
            return await platform_answers.send_body(answer, body, fault, self._tasks)
        finally:
            self._working.discard(reader)
            self.working_count -= 1
