"""Sends the answers of stand-ins for runners that fail from the start."""

import asyncio

import h11

from standins import platform_connection
from standins.platform_answers import Fault

Headers = platform_connection.Headers

NOT_RUN_FAULTS = frozenset((Fault.SHED, Fault.OTHER_RUNNER, Fault.HELPER_FAILED))


async def respond(
    connection: h11.Connection,
    writer: asyncio.StreamWriter,
    fault: Fault,
    id_headers: Headers,
    sealed_headers: Headers,
) -> bool | None:
    """Answer a request with a failure.

    Args:
        connection: the HTTP state of the connection.
        writer: the connection.
        fault: the fault of this request.
        id_headers: the headers that identify attempt and runner.
        sealed_headers: the same with the runner's receipt.

    Returns:
        Whether the connection is reusable, or None for a fault that shows
        only in a successful answer.
    """

    def send(status: int, headers: Headers, body: bytes) -> bool:
        return platform_connection.respond(connection, writer, status, headers, body)

    match fault:
        case Fault.SHED:
            send(503, (*id_headers, ("Not-Executed", "1")), b"full")
        case Fault.HELPER_FAILED:
            send(503, (*id_headers, ("Not-Executed", "1")), b"helper")
        case Fault.OTHER_RUNNER:
            send(421, id_headers, b"")
        case Fault.ERROR:
            send(500, sealed_headers, b"failed")
        case Fault.BUSY_WITHOUT_NOT_EXECUTED:
            send(503, id_headers, b"busy")
        case Fault.NO_RECEIPT:
            send(200, id_headers, b"unsealed")
        case Fault.OTHER_ATTEMPT_ANSWER:
            other_headers = (("Attempt-Id", "another"), ("Response-Seal", "s"))
            send(200, other_headers, b"of another request")
        case Fault.SILENT:
            await asyncio.Event().wait()
        case Fault.ABORT_BEFORE_ANSWER:
            writer.transport.abort()
            return False
        case Fault.GARBLED:
            writer.write(b"\x16\x03\x01 no answer at all\r\n\r\n")
            return False
        case _:
            return None
    return True
