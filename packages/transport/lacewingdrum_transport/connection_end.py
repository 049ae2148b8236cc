"""Ends callers' connections so that each gets its last answer."""

import asyncio

import h11

from lacewingdrum_state import states
from lacewingdrum_transport import byte_channel, http_messages, responder as responders

# How long a request that is interrupted has for its last answer.
LAST_ANSWER_MAX_S = 0.25
LEAVING_RETRY_AFTER_S = 0.1
LINGER_MAX_S = 1.0
LINGER_BYTES_MAX = 64 * 1024 * 1024


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
