"""Tests of runners whose answers have a status that HTTP does not define."""

from lacewingdrum_gateway import settings
from lacewingdrum_gateway.gateway_test import ASK, EVENTS
from standins import platform_site, raw_caller
from standins.odd_answers import RawAnswer

BOUNDS = settings.BoundsSettings(repeat_slack=100_000.0)
BODY = b"Content-Length: 4\r\n\r\npart"
# The first digit is of no class of statuses, or there are not three digits.
STATUSES = (
    *("000", "001", "020", "099", "600", "666", "700", "999"),
    *("", "0", "20", "2000", "-20", "+20", "2e2", "0x2", "abc", "2 0"),
)
KINDS = ("order", "read", "ask")


def with_status(status: str) -> RawAnswer:
    start = f"HTTP/1.1 {status} Odd\r\n".encode()
    return RawAnswer(lambda lines: start + lines + BODY)


async def check_status(site, status: str, kind: str) -> None:
    shared = [with_status(status)]
    for runner in (*site.engines, *site.ledgers):
        runner.faults = shared
    headers = ASK if kind == "ask" else ()
    answer = await raw_caller.call(site, f"/{kind}/x", f"{kind}-{status}", headers)
    assert not shared and answer.is_whole, (status, kind, answer)
    if kind == "order":
        assert answer.status == 502, (status, kind, answer)
    else:
        assert answer.status == 200, (status, kind, answer)
        assert answer.body == EVENTS or b"part" not in answer.body


async def test_answer_with_an_undefined_status_is_no_answer():
    # Callers got such an answer as that of their request.
    for kind in KINDS:
        async with platform_site.running_site(bounds=BOUNDS) as site:
            for status in STATUSES:
                await check_status(site, status, kind)
