"""Tests of runners that stop inside the head of an answer and close."""

from lacewingdrum_gateway import settings
from lacewingdrum_gateway.gateway_test import ASK, EVENTS, run_ids
from standins import platform_site, raw_caller
from standins.odd_answers import RawAnswer

BOUNDS = settings.BoundsSettings(repeat_slack=100_000.0)
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
TYPE = b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# The answers up to where they break off, from the header lines in common.
BREAKS = {
    "status": lambda lines: b"HTTP/1.1 20",
    "status line": lambda lines: STATUS_LINE,
    "header name": lambda lines: STATUS_LINE + lines + TYPE + b"Content-Le",
    "half a length": lambda lines: STATUS_LINE + lines + TYPE + b"Content-Length: 1",
    "empty length": lambda lines: STATUS_LINE + lines + TYPE + b"Content-Length: 0\r",
    "before blank line": lambda lines: (
        STATUS_LINE + lines + TYPE + b"Content-Length: 0\r\n"
    ),
    "after 103": lambda lines: EARLY_HINTS,
    "inside 103": lambda lines: EARLY_HINTS[:-2],
    "status after 103": lambda lines: EARLY_HINTS + STATUS_LINE + lines,
    "chunk size": lambda lines: STATUS_LINE + lines + TYPE + CHUNKED + b"2",
    "end of chunk size": lambda lines: STATUS_LINE + lines + TYPE + CHUNKED + b"0\r",
    "HTTP/1.0": lambda lines: b"HTTP/1.0 200 OK\r\n" + lines + TYPE,
}
KINDS = ("order", "read", "ask")


async def check_break(site, place: str, kind: str, first_only: bool) -> None:
    """Check the answer to one request whose runner breaks off."""
    faults = [RawAnswer(BREAKS[place])] * (1 if first_only else 2)
    for runner in (*site.engines, *site.ledgers):
        runner.faults = faults
    attempt_id = f"{kind}-{first_only}"
    headers = ASK if kind == "ask" else ()
    answer = await raw_caller.call(site, f"/{kind}/x", attempt_id, headers)
    assert answer.is_whole, (place, kind, answer)
    if kind == "order" or not first_only:
        assert answer.status == 502, (place, kind, answer)
    else:
        assert answer.status == 200, (place, kind, answer)
        assert answer.body == EVENTS or answer.body.endswith(attempt_id.encode())
    count = run_ids(site).count(attempt_id)
    assert count == (1 if kind == "order" else 2), (place, kind, count)


async def test_answer_that_breaks_off_inside_its_head_is_no_success():
    for place in BREAKS:
        async with platform_site.running_site(bounds=BOUNDS) as site:
            for kind in KINDS:
                await check_break(site, place, kind, True)
                await check_break(site, place, kind, False)
