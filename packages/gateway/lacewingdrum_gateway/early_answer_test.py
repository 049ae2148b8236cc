"""Tests of runners that answer an upload early, and end within it."""

import contextlib

from standins import early_answers, odd_rows, platform_site

End = early_answers.End
HOST = "127.0.0.1"
PART = b"part of an answer"
BODY = b"u" * 900_000
# Without an end, the time of the request is over before it is tried elsewhere.
NOTICED_ENDS = (End.RESET, End.CLOSE, End.END_THEN_RESET, End.END_UNREAD)
BROKEN_ENDS = (*NOTICED_ENDS, End.SILENCE)


@contextlib.asynccontextmanager
async def site_of_early_answers(end: End, other_count: int = 0):
    """Yield a site with an early plain runner, and some that are sound."""
    early = early_answers.EarlyAnswers(end, PART)
    port = await early.start(HOST)
    try:
        async with platform_site.running_site(ledgers=other_count) as site:
            entry = {**odd_rows.ENTRY, "address": f"{HOST}:{port}"}
            site.store.put_json("servers", "early", entry)
            roster = site.gateways[0].daemon.components.roster
            await site.wait_until(lambda: roster.get("early") is not None)
            yield site
    finally:
        await early.close()


async def test_part_of_an_early_answer_is_no_success():
    # A caller got the part as the whole answer of a runner that broke off.
    for end in BROKEN_ENDS:
        async with site_of_early_answers(end) as site:
            answer = await site.call("/order/x", "o1", body=BODY)
            assert answer.status in (502, 504), (end, answer.status, answer.body)


async def test_read_whose_early_answer_breaks_off_is_served_elsewhere():
    for end in NOTICED_ENDS:
        async with site_of_early_answers(end, other_count=1) as site:
            for number in range(6):
                answer = await site.call("/read/x", f"r{number}", body=BODY)
                assert answer.status == 200, (end, answer.status, answer.body)
                assert answer.body != PART, end


async def test_early_answer_whose_runner_reads_the_upload_is_passed_on():
    async with site_of_early_answers(End.END_THEN_READ) as site:
        answer = await site.call("/order/x", "o1", body=BODY)
        assert answer.status == 200 and answer.body == PART
