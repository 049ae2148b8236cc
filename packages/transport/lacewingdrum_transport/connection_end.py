"""Ends callers' connections so that each gets its last answer."""

import asyncio
import logging

import h11

from lacewingdrum_state import states
from lacewingdrum_transport import (
    byte_channel,
    http_messages,
    request_reader,
    responder as responders,
)

# How long a request that is interrupted has for its last answer.
LAST_ANSWER_MAX_S = 0.25
LEAVING_RETRY_AFTER_S = 0.1
OVERLOAD_RETRY_AFTER_S = 1
LINGER_MAX_S = 1.0
LINGER_BYTES_MAX = 64 * 1024 * 1024

# Its lines keep the name of the server.
_logger = logging.getLogger("lacewingdrum_transport.http_server")


async def answer_interrupted(responder: responders.Responder) -> None:
    """End a request whose handler has been interrupted.

    A whole answer is written to its end. Where there is none, nothing is
    promised of the request.

    Args:
        responder: the responder of the handler, which sends no more.
    """
    if responder.finished:
        await responder.flush()
        return
    if responder.started:
        return
    responder.close_after_response()
    message = "the server ended while the request was in progress"
    await responder.send(
        http_messages.error_response(502, "stopped", message, states.Ran.MAYBE)
    )


async def refuse(
    channel: byte_channel.ByteChannel,
    connection: h11.Connection,
    error: request_reader.RequestError,
    write_timeout_s: float,
) -> None:
    """Answer a request that the server does not read or cannot.

    Args:
        channel: its connection.
        connection: the state of the protocol there.
        error: why.
        write_timeout_s: how long the caller may take to read the answer.
    """
    if error.reason is request_reader.RequestErrorReason.CLOSED:
        return
    if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        channel.abort()
        return
    is_overloaded = error.reason is request_reader.RequestErrorReason.OVERLOADED
    response = http_messages.error_response(
        request_reader.STATUS_OF_REASON[error.reason],
        error.reason.value,
        error.detail,
        states.Ran.NO,
        OVERLOAD_RETRY_AFTER_S if is_overloaded else 0,
    )
    _logger.info(
        "request refused: %s from %s", error.reason.value, channel.remote_address
    )
    responder = responders.Responder(channel, connection, write_timeout_s, True)
    responder.close_after_response()
    await responder.send(response)


async def refuse_unread(
    channel: byte_channel.ByteChannel, connection: h11.Connection
) -> None:
    """Refuse a request that has not been read completely.

    Args:
        channel: its connection.
        connection: the state of the protocol there.
    """
    await _answer_unread(
        channel,
        connection,
        http_messages.error_response(
            503, "leaving", "not run: leaving", states.Ran.NO, LEAVING_RETRY_AFTER_S
        ),
    )


async def fail_unread(
    channel: byte_channel.ByteChannel, connection: h11.Connection
) -> None:
    """Answer a request that could not be read for a fault of the server.

    Args:
        channel: its connection.
        connection: the state of the protocol there.
    """
    message = "not run: the server failed to read the request"
    await _answer_unread(
        channel,
        connection,
        http_messages.error_response(500, "internal", message, states.Ran.NO),
    )


async def _answer_unread(
    channel: byte_channel.ByteChannel,
    connection: h11.Connection,
    answer: http_messages.HttpResponse,
) -> None:
    if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    responder = responders.Responder(channel, connection, LAST_ANSWER_MAX_S, True)
    responder.close_after_response()
    await responder.send(answer)


async def linger(channel: byte_channel.ByteChannel) -> None:
    """Discard further data of the caller for a limited time.

    If the server closed the connection while the caller is still sending, the
    response could be lost.
    """
    channel.write_eof()
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + LINGER_MAX_S
    discarded_bytes = 0
    while discarded_bytes < LINGER_BYTES_MAX and loop.time() < deadline_s:
        data = await channel.read(deadline_s - loop.time())
        if not data:
            return
        discarded_bytes += len(data)
