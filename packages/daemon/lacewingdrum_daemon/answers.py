"""Sends the answer of a completion to its caller, whole or as a stream.

The first call of ``finish`` or ``fail`` is final: later calls of either send
nothing.
"""

import asyncio

from lacewingdrum_coordination import streams
from lacewingdrum_protocol import callers_api, sse
from lacewingdrum_state import ids
from lacewingdrum_transport import http_messages, http_server

FAILURE_WRITE_TIMEOUT_S = 0.05


class Answer:
    """The answer to one completion request.

    Args:
        responder: the caller's connection.
        request_id: the id in the answer.
        body: the parsed body of the request.
        prompt_tokens: the prompt's length, for the usage counts.
    """

    def __init__(
        self,
        responder: http_server.Responder,
        request_id: ids.RequestId,
        body: callers_api.CompletionBody,
        prompt_tokens: int,
    ) -> None:
        self._responder = responder
        self._request_id = request_id
        self._body = body
        self._prompt_tokens = prompt_tokens
        self._part_texts: list[str] = []
        self._is_final = False

    @property
    def text(self) -> str:
        """The text of the parts appended so far."""
        return "".join(self._part_texts)

    async def append_part(self, part: streams.Part) -> None:
        """Append the next part, and send it if the answer is streamed."""
        self._part_texts.append(part.text)
        if not self._body.stream:
            return
        if not self._responder.started:
            await self._responder.start_stream(200, self._stream_headers())
        event = callers_api.stream_event(
            self._request_id, self._body.model, part.text, part.finish_reason
        )
        await self._responder.write(sse.encode(event))

    async def finish(self, stream: streams.Stream) -> None:
        """Send the end of a stream, or the whole answer if not streamed."""
        if self._is_final:
            return
        if self._body.stream:
            self._is_final = True
            await self._responder.write(sse.encode(callers_api.DONE_DATA))
            await self._responder.finish()
            return
        usage = callers_api.Usage(self._prompt_tokens, stream.next_offset)
        body = callers_api.completion_answer(
            self._request_id,
            self._body.model,
            self.text,
            stream.finish_reason,
            usage,
        )
        headers = (
            ("Content-Type", "application/json"),
            (callers_api.REQUEST_ID_HEADER, self._request_id),
        )
        self._is_final = True
        await self._responder.send(http_messages.HttpResponse(200, headers, body))

    async def fail(self, failure: callers_api.Failure) -> None:
        """Send a failure; a started stream ends without ``[DONE]``."""
        if self._is_final:
            return
        self._is_final = True
        if not self._responder.started:
            await send_failure(self._responder, self._request_id, failure)
            return
        try:
            async with asyncio.timeout(FAILURE_WRITE_TIMEOUT_S):
                event = callers_api.stream_failure(failure)
                await self._responder.write(sse.encode(event))
                await self._responder.finish()
        except (TimeoutError, ConnectionError):
            self._responder.abort()

    def _stream_headers(self) -> tuple[tuple[str, str], ...]:
        return (
            ("Content-Type", "text/event-stream"),
            (callers_api.REQUEST_ID_HEADER, self._request_id),
        )


async def send_failure(
    responder: http_server.Responder,
    request_id: ids.RequestId,
    failure: callers_api.Failure,
) -> None:
    """Send a failure as a whole response."""
    response = http_messages.HttpResponse(
        callers_api.HTTP_STATUS_BY_CODE[failure.code],
        callers_api.failure_headers(failure, request_id),
        callers_api.failure_body(failure),
    )
    await responder.send(response)
