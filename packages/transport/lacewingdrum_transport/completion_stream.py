"""Reads the parts of an engine's answer as they arrive."""

import collections

import msgspec
from result import Err, Ok, Result

from lacewingdrum_protocol import runner_api, sse
from lacewingdrum_state import decoding
from lacewingdrum_transport import http_client, runner_errors

# The end of the HTTP message directly follows the last event. It is waited for
# because the connection can be reused only after it.
END_OF_MESSAGE_TIMEOUT_S = 0.2
# What is parsed at once. A piece may consist of empty lines, which take as
# long as many events.
PARSED_BYTES = 512
PIECE_EVENTS = 8

_part_decoder = msgspec.json.Decoder(runner_api.CompletionPart)


class CompletionStream:
    """The answer to one attempt, complete if ``next`` returns ``None``."""

    def __init__(self, reader: http_client.ResponseReader) -> None:
        self._reader = reader
        self._parser = sse.SseParser()
        self._parts: collections.deque[runner_api.CompletionPart] = collections.deque()
        self._done = False
        self._error: runner_errors.RunnerError | None = None

    async def next(
        self, timeout_s: float
    ) -> Result[runner_api.CompletionPart | None, runner_errors.RunnerError]:
        """Wait for the next part.

        Args:
            timeout_s: how long to wait for it.

        Returns:
            The part; ``None`` after the runner's final event; or why the
            answer is incomplete.
        """
        while not self._parts:
            if self._done:
                return Ok(None)
            if self._error is not None:
                return Err(self._error)
            await self._receive_parts(timeout_s)
        return Ok(self._parts.popleft())

    async def close(self) -> None:
        """Release the connection; abort it if the answer is incomplete."""
        if self._done:
            await self._reader.read(END_OF_MESSAGE_TIMEOUT_S)
        await self._reader.close()

    async def _receive_parts(self, timeout_s: float) -> None:
        received = await self._reader.read(timeout_s)
        if isinstance(received, Err):
            self._error = runner_errors.from_client_error(received.err_value)
            return
        if not received.ok_value:
            detail = "the stream ended without its mark of the end"
            reason = runner_errors.RunnerErrorReason.LOST
            self._error = runner_errors.RunnerError(reason, None, detail)
            return
        await self._parse(received.ok_value)

    async def _parse(self, received: bytes) -> None:
        """Parse received bytes, and let others have their turn in between."""
        for start in range(0, len(received), PARSED_BYTES):
            self._parse_piece(received[start : start + PARSED_BYTES])
            if self._done or self._error is not None:
                return
            await self._reader.count_events(PIECE_EVENTS)

    def _parse_piece(self, piece: bytes) -> None:
        try:
            for data in self._parser.feed(piece):
                if data == runner_api.DONE_DATA:
                    self._done = True
                    return
                part = decoding.decode(_part_decoder, data)
                if isinstance(part, Err):
                    self._error = runner_errors.malformed(part.err_value).err_value
                    return
                self._parts.append(part.ok_value)
        except sse.SseError as error:
            self._error = runner_errors.malformed(str(error)).err_value
