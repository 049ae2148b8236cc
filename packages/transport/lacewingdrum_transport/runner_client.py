"""Client of the runners' HTTP API."""

import time
from collections.abc import Callable
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from lacewingdrum_protocol import runner_api
from lacewingdrum_state import decoding, fleet, ids
from lacewingdrum_transport import (
    completion_stream,
    http_client,
    http_messages,
    runner_errors,
)

RunnerError = runner_errors.RunnerError
RunnerErrorReason = runner_errors.RunnerErrorReason
CompletionStream = completion_stream.CompletionStream

_Answer = TypeVar("_Answer")
_MS_PER_S = 1000.0

_cancel_decoder = msgspec.json.Decoder(runner_api.CancelAnswer)
_import_decoder = msgspec.json.Decoder(runner_api.ImportAnswer)
_load_decoder = msgspec.json.Decoder(runner_api.LoadAnswer)
_events_decoder = msgspec.json.Decoder(runner_api.CacheEventsAnswer)
_desired_decoder = msgspec.json.Decoder(runner_api.DesiredModelAnswer)


class RunnerClient:
    """Calls the HTTP API of any runner."""

    def __init__(
        self,
        http: http_client.HttpClient,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._http = http
        self._clock = clock

    async def complete(
        self,
        runner: fleet.Runner,
        call: runner_api.CompletionCall,
        timeout_s: float,
    ) -> Result[CompletionStream, RunnerError]:
        """Send one attempt of a model request.

        Args:
            runner: the runner.
            call: the attempt.
            timeout_s: how long to wait for the beginning of the answer.

        Returns:
            The stream of the answer, which the caller must close, or an
            error, which states whether the call may have started.
        """
        headers = (
            *runner_errors.JSON_HEADERS,
            (runner_api.ATTEMPT_HEADER, call.attempt_id),
        )
        opened = await self._http.open(
            runner.address,
            "POST",
            runner_api.COMPLETIONS_PATH,
            headers,
            msgspec.json.encode(call),
            timeout_s,
        )
        if isinstance(opened, Err):
            return Err(runner_errors.from_client_error(opened.err_value))
        reader = opened.ok_value
        if reader.status == http_messages.STATUS_OK:
            return Ok(CompletionStream(reader))
        return Err(await _read_refusal(reader, timeout_s))

    async def cancel(
        self, runner: fleet.Runner, attempt_id: ids.AttemptId, timeout_s: float
    ) -> Result[runner_api.CancelAnswer, RunnerError]:
        """Cancel an attempt; the call is idempotent and may be retried.

        Args:
            runner: the runner that the attempt was sent to.
            attempt_id: the attempt.
            timeout_s: for the whole call.

        Returns:
            The state that the runner recorded, or an error. The memory of the
            attempt is free only after the runner has answered with a state.
        """
        call = runner_api.CancelCall(attempt_id)
        path = runner_api.CANCEL_PATH
        answer = await self._call(runner, "POST", path, call, timeout_s)
        decoded = _decode(answer, _cancel_decoder)
        if isinstance(decoded, Ok) and decoded.ok_value.attempt_id != attempt_id:
            return runner_errors.malformed("cancel of another attempt")
        return decoded

    async def import_kv(
        self, runner: fleet.Runner, call: runner_api.ImportCall, timeout_s: float
    ) -> Result[runner_api.ImportAnswer, RunnerError]:
        """Make a runner hold part of a prompt's KV cache.

        Args:
            runner: the runner.
            call: the attempt and the part of the cache.
            timeout_s: for the whole call.

        Returns:
            What the runner holds now, or an error, which states whether the
            call may have started.
        """
        path = runner_api.IMPORT_PATH
        answer = await self._call(runner, "POST", path, call, timeout_s)
        decoded = _decode(answer, _import_decoder)
        if isinstance(decoded, Ok) and decoded.ok_value.attempt_id != call.attempt_id:
            return runner_errors.malformed("import of another attempt")
        return decoded

    async def load(
        self, runner: fleet.Runner, timeout_s: float
    ) -> Result[fleet.RunnerLoad, RunnerError]:
        """Read a runner's load.

        Args:
            runner: the runner.
            timeout_s: for the whole call.

        Returns:
            The load, or an error. ``as_of_s`` is the time at which the call
            was sent minus the age that the runner reports, since the load may
            lack work that was sent during the call.
        """
        sent_s = self._clock()
        path = runner_api.LOAD_PATH
        answer = await self._call(runner, "GET", path, None, timeout_s)
        decoded = _decode(answer, _load_decoder)
        if isinstance(decoded, Err):
            return decoded
        if decoded.ok_value.runner_id != runner.runner_id:
            return runner_errors.malformed("load of another runner")
        return Ok(_runner_load(decoded.ok_value, sent_s))

    async def cache_events(
        self, runner: fleet.Runner, since: int, timeout_s: float
    ) -> Result[runner_api.CacheEventsAnswer, RunnerError]:
        """Read changes of a runner's prefix cache.

        Args:
            runner: the runner.
            since: the number of the last change received.
            timeout_s: for the whole call.

        Returns:
            The changes after ``since``, with gaps where changes were lost.
        """
        path = f"{runner_api.CACHE_EVENTS_PATH}?since={since}"
        answer = await self._call(runner, "GET", path, None, timeout_s)
        return _decode(answer, _events_decoder)

    async def read_desired_model(
        self, runner: fleet.Runner, timeout_s: float
    ) -> Result[runner_api.DesiredModelAnswer, RunnerError]:
        """Read which model a runner has been ordered to serve.

        Args:
            runner: the runner.
            timeout_s: for the whole call.

        Returns:
            The model and fencing number in force at the runner.
        """
        path = runner_api.DESIRED_MODEL_PATH
        answer = await self._call(runner, "GET", path, None, timeout_s)
        return _decode(answer, _desired_decoder)

    async def set_desired_model(
        self, runner: fleet.Runner, call: runner_api.DesiredModelCall, timeout_s: float
    ) -> Result[runner_api.DesiredModelAnswer, RunnerError]:
        """Order a runner to serve a model.

        Args:
            runner: the runner.
            call: the model and the fencing number.
            timeout_s: for the whole call.

        Returns:
            The model and fencing number in force at the runner afterwards.
            They differ from those of the call if the runner refused an old
            fencing number.
        """
        path = runner_api.DESIRED_MODEL_PATH
        answer = await self._call(runner, "POST", path, call, timeout_s)
        return _decode(answer, _desired_decoder)

    async def _call(
        self,
        runner: fleet.Runner,
        method: str,
        path: str,
        call: msgspec.Struct | None,
        timeout_s: float,
    ) -> Result[bytes, RunnerError]:
        body = b"" if call is None else msgspec.json.encode(call)
        headers = () if call is None else runner_errors.JSON_HEADERS
        answer = await self._http.request(
            runner.address, method, path, headers, body, timeout_s
        )
        if isinstance(answer, Err):
            return Err(runner_errors.from_client_error(answer.err_value))
        response = answer.ok_value
        if response.status in (
            http_messages.STATUS_OK,
            http_messages.STATUS_CONFLICT,
        ):
            return Ok(response.body)
        return Err(runner_errors.from_response(response.status, response.body))


async def _read_refusal(
    reader: http_client.ResponseReader, timeout_s: float
) -> RunnerError:
    """Read the error from an answer with another status than 200."""
    body = b""
    try:
        while len(body) < runner_errors.REFUSAL_BYTES_MAX:
            part = await reader.read(timeout_s)
            if isinstance(part, Err):
                return runner_errors.from_client_error(part.err_value)
            if not part.ok_value:
                break
            body += part.ok_value
    finally:
        await reader.close()
    return runner_errors.from_response(reader.status, body)


def _decode(
    answer: Result[bytes, RunnerError], decoder: msgspec.json.Decoder[_Answer]
) -> Result[_Answer, RunnerError]:
    if isinstance(answer, Err):
        return answer
    decoded = decoding.decode(decoder, answer.ok_value)
    if isinstance(decoded, Err):
        return runner_errors.malformed(decoded.err_value)
    return decoded


def _runner_load(answer: runner_api.LoadAnswer, sent_s: float) -> fleet.RunnerLoad:
    held = tuple(
        fleet.HeldMemory(ids.AttemptId(entry.attempt_id), entry.tokens)
        for entry in answer.held
    )
    return fleet.RunnerLoad(
        runner_id=ids.RunnerId(answer.runner_id),
        as_of_s=sent_s - answer.age_ms / _MS_PER_S,
        queued_short_tokens=answer.queued_short_tokens,
        queued_mid_tokens=answer.queued_mid_tokens,
        queued_long_tokens=answer.queued_long_tokens,
        running_count=answer.running_count,
        kv_used_tokens=answer.kv_used_tokens,
        kv_capacity_tokens=answer.kv_capacity_tokens,
        prefill_tokens_per_s=answer.prefill_tokens_per_s,
        decode_tokens_per_s=answer.decode_tokens_per_s,
        held=held,
    )
