"""Tests of answers without a length that end while the upload goes on."""

import contextlib

from result import Err

from lacewingdrum_state import fleet
from lacewingdrum_transport import http_client
from standins import early_answers

End = early_answers.End
HOST = "127.0.0.1"
TIMEOUT_S = 1.5
# More than the kernels hold of an upload, and so little that they hold all.
UPLOADS_BYTES = (8 * 1024 * 1024, 10_000)


@contextlib.asynccontextmanager
async def answering(end: End, part: bytes):
    """Yield the result of a request, by its body, at a server that ends so."""
    server = early_answers.EarlyAnswers(end, part)
    port = await server.start(HOST)
    client = http_client.HttpClient()

    async def send(body: bytes):
        return await client.request(
            fleet.Address(HOST, port),
            "POST",
            "/x",
            body=body,
            timeout_s=TIMEOUT_S,
            allow_close_delimited=True,
        )

    try:
        yield send
    finally:
        await client.close()
        await server.close()


async def check(end: End, is_complete: bool, uploads_bytes=UPLOADS_BYTES) -> None:
    """Check the answers to uploads, with small and large parts."""
    for part in (b"part", b"x" * 1_000_000):
        for size_bytes in uploads_bytes:
            async with answering(end, part) as send:
                found = await send(b"u" * size_bytes)
            is_answer = not isinstance(found, Err)
            assert is_answer == is_complete, (end, len(part), size_bytes, found)
            assert not is_answer or found.ok_value.body == part


async def test_early_answer_that_is_reset_is_not_complete():
    await check(End.RESET, False)


async def test_early_answer_whose_server_closes_with_unread_bytes_is_not_complete():
    await check(End.CLOSE, False)


async def test_early_answer_without_an_end_is_not_complete():
    await check(End.SILENCE, False)


async def test_early_answer_that_ends_within_the_upload_and_is_reset_is_not_complete():
    # The end of the server's stream alone was taken for the end of the answer.
    await check(End.END_THEN_RESET, False, UPLOADS_BYTES[:1])


async def test_early_answer_that_ends_and_whose_upload_is_not_read_is_not_complete():
    # The same, without a reset.
    await check(End.END_UNREAD, False, UPLOADS_BYTES[:1])


async def test_early_answer_whose_server_has_the_upload_is_complete():
    await check(End.END_THEN_READ, True)
    await check(End.END_UNREAD, True, UPLOADS_BYTES[1:])
