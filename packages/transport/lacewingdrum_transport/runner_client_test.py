"""Tests of the runner client against a scripted runner."""

import contextlib

import msgspec

from lacewingdrum_protocol import runner_api, sse
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import (
    http_client,
    http_messages,
    http_server,
    runner_client,
)

HOST = "127.0.0.1"
TIMEOUT_S = 5.0
SHORT_TIMEOUT_S = 0.05
Reason = runner_client.RunnerErrorReason
CALL = runner_api.CompletionCall("req-1.1", "hi", 1, 8, runner_api.Priority.SHORT, 1000)
PARTS = tuple(
    runner_api.CompletionPart("req-1.1", offset, 1, f"t{offset}") for offset in range(3)
)
DONE = sse.encode(runner_api.DONE_DATA)


class Clock:
    def __call__(self):
        return 50.0


def event(part):
    return sse.encode(msgspec.json.encode(part))


def stream_of(*writes, clean=True):
    """Return a handler that streams these writes."""

    async def handler(request, responder):
        await responder.start_stream(200, ())
        for data in writes:
            await responder.write(data)
        if clean:
            await responder.finish()
        else:
            responder.abort()

    return handler


def answer_of(status, body):
    async def handler(request, responder):
        await responder.send(http_messages.HttpResponse(status, (), body))

    return handler


@contextlib.asynccontextmanager
async def runner_with(handler):
    server = http_server.HttpServer(handler)
    http = http_client.HttpClient()
    address = fleet.Address(HOST, await server.start(HOST, 0))
    runner = fleet.Runner(
        ids.RunnerId("runner-1"),
        ids.ServiceName("sommelier-llm"),
        ids.DataCentre("almaty-north"),
        address,
        ids.Incarnation(1),
    )
    try:
        yield runner_client.RunnerClient(http, Clock()), runner, http
    finally:
        await http.close()
        await server.close()


async def read_completion(handler, timeout_s=TIMEOUT_S):
    """Return the parts of an answer, and the error that ended it."""
    async with runner_with(handler) as (client, runner, http):
        opened = await client.complete(runner, CALL, timeout_s)
        if opened.is_err():
            return [], opened.unwrap_err()
        stream = opened.unwrap()
        parts = []
        error = None
        while True:
            result = await stream.next(timeout_s)
            if result.is_err():
                error = result.unwrap_err()
                break
            if result.unwrap() is None:
                break
            parts.append(result.unwrap())
        await stream.close()
        if error is None:
            assert http.idle_count(runner.address) == 1
        elif error.reason is Reason.TIMEOUT:
            assert http.idle_count(runner.address) == 0
        return parts, error


async def test_complete_answer_is_read_however_its_bytes_are_split():
    all_bytes = b"".join(event(part) for part in PARTS) + DONE
    splits = ([event(part) for part in PARTS] + [DONE], [all_bytes])
    for writes in (
        *splits,
        [all_bytes[begin : begin + 7] for begin in range(0, len(all_bytes), 7)],
    ):
        assert await read_completion(stream_of(*writes)) == (list(PARTS), None)


async def test_answer_without_the_done_event_is_lost():
    for clean in (True, False):
        parts, error = await read_completion(stream_of(event(PARTS[0]), clean=clean))
        assert error.reason is Reason.LOST
        assert parts == [PARTS[0]]


async def test_invalid_event_in_a_stream_is_malformed():
    for data in (b"data: nonsense\n\n", b"data: {}\n\n", b"data: \xff\n\n"):
        parts, error = await read_completion(stream_of(event(PARTS[0]), data, DONE))
        assert error.reason is Reason.MALFORMED
        assert parts == [PARTS[0]]


async def test_silent_runner_times_out():
    async def handler(request, responder):
        await responder.start_stream(200, ())
        await responder.write(event(PARTS[0]))
        await responder.input_ended.wait()

    parts, error = await read_completion(handler, SHORT_TIMEOUT_S)
    assert (parts, error.reason) == ([PARTS[0]], Reason.TIMEOUT)


async def test_only_a_valid_refusal_body_counts_as_refused():
    refusal = msgspec.json.encode(
        runner_api.RefusalAnswer(runner_api.RefusalReason.MEMORY)
    )
    for status in (429, 503):
        _, error = await read_refusal(status, refusal)
        assert error.reason is Reason.REFUSED
        assert error.refusal is runner_api.RefusalReason.MEMORY
    started = b'{"reason": "busy", "started": true}'
    for status, body in ((500, refusal), (503, b"{}"), (503, b""), (429, started)):
        _, error = await read_refusal(status, body)
        assert error.reason is Reason.MALFORMED, (status, body)


async def read_refusal(status, body):
    async with runner_with(answer_of(status, body)) as (client, runner, _):
        error = (await client.complete(runner, CALL, TIMEOUT_S)).unwrap_err()
        return [], error


async def test_call_on_a_closed_client_is_unsent():
    async with runner_with(answer_of(200, b"")) as (client, runner, http):
        await http.close()
        error = (await client.complete(runner, CALL, TIMEOUT_S)).unwrap_err()
        assert error.reason is Reason.UNSENT
        error = (await client.load(runner, TIMEOUT_S)).unwrap_err()
        assert error.reason is Reason.UNSENT


async def test_cancel_answer_for_another_attempt_is_malformed():
    cancelled = runner_api.CancelAnswer("req-2.1", runner_api.CancelState.CANCELLED)
    body = msgspec.json.encode(cancelled)
    async with runner_with(answer_of(200, body)) as (client, runner, _):
        attempt_id = ids.AttemptId("req-1.1")
        error = (await client.cancel(runner, attempt_id, TIMEOUT_S)).unwrap_err()
        assert error.reason is Reason.MALFORMED
        other = ids.AttemptId("req-2.1")
        assert (await client.cancel(runner, other, TIMEOUT_S)).unwrap() == cancelled


async def test_load_time_is_the_send_time_minus_the_age():
    held = (runner_api.HeldMemoryEntry("req-1.1", 40),)
    load = runner_api.LoadAnswer("runner-1", 1500, 1, 2, 3, 4, 5, 6, 7.0, 8.0, held)
    body = msgspec.json.encode(load)
    async with runner_with(answer_of(200, body)) as (client, runner, _):
        runner_load = (await client.load(runner, TIMEOUT_S)).unwrap()
        assert runner_load.as_of_s == 48.5
        assert runner_load.held == (fleet.HeldMemory(ids.AttemptId("req-1.1"), 40),)


async def test_refused_fencing_number_returns_the_model_in_force():
    in_force = runner_api.DesiredModelAnswer(9, "sommelier-2")
    body = msgspec.json.encode(in_force)
    async with runner_with(answer_of(409, body)) as (client, runner, _):
        call = runner_api.DesiredModelCall(8, "sommelier-1")
        answer = await client.set_desired_model(runner, call, TIMEOUT_S)
        assert answer.unwrap() == in_force
