"""Tests of long requests to runners that read slowly."""

import socket

from standins import platform_site

BODY = bytes(8_000_000)
READ_BYTES = 64 * 1024
# A body takes 1.2 s, and the limit of silence is 0.45 s.
READ_INTERVAL_S = 0.01
HEADERS = (("Deadline-Ms", "8000"),)


def read_slowly(runner) -> None:
    """Let a runner read 6.5 MB/s, and its kernel hold little."""
    runner.read_interval_s = READ_INTERVAL_S
    (listener,) = runner._server.sockets
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)


async def test_runner_that_still_reads_a_long_request_is_not_silent():
    # Another attempt was made beside the first, which doubled what both held.
    async with platform_site.running_site(ledgers=3) as site:
        changed = platform_site.make_configuration(2)
        changed["limits"]["max_body_bytes"] = len(BODY)
        site.store.put_json("op", "config", changed)
        daemon = site.gateways[0].daemon
        await site.wait_until(lambda: daemon.configuration_version == 2)
        for runner in site.ledgers:
            read_slowly(runner)
        answer = await site.call("/read/x", "r1", headers=HEADERS, body=BODY)
        assert answer.status == 200
        assert sum(runner.connection_count for runner in site.ledgers) == 1
        (arrival,) = [item for one in site.ledgers for item in one.arrivals]
        assert arrival.body == BODY
