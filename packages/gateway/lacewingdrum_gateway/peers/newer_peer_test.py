"""Tests of what a daemon does with messages of a newer build."""

import asyncio
import contextlib

import msgspec
import zmq

from lacewingdrum_coordination import coordinators
from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import fleet
from standins import platform_site, runner_paths

NEWER = "127.0.0.9:7000"
HEARTBEAT = ["hb", 1, "north", False, [], [], 1, [], {"topic": 5}, 0]
LIMITS = ["lim", [["l0", 1, 50.0, 0, "a field of later builds"]]]


def newer_messages() -> list[list]:
    """Return messages of a build that knows more kinds and fields."""
    wire_version = peer_messages.WIRE_VERSION
    return [
        [wire_version + 1, NEWER, HEARTBEAT],
        [wire_version, NEWER, ["kind of later builds", 1, {"a": [2]}]],
        [wire_version, NEWER, ["lim", "a field that has become a text"]],
        [wire_version, NEWER, LIMITS],
        [wire_version, NEWER, [*HEARTBEAT, "a field of later builds"]],
    ]


async def test_messages_of_a_newer_build_are_read_as_far_as_known_and_counted():
    async with platform_site.running_site() as site:
        daemon = site.gateways[0].daemon
        with zmq.Context() as context, context.socket(zmq.DEALER) as dealer:
            dealer.setsockopt(zmq.LINGER, 0)
            dealer.connect(f"tcp://{daemon.peer_address}")
            for message in newer_messages():
                dealer.send(msgspec.msgpack.encode(message))
            await site.wait_until(lambda: daemon.peer_count == 1)
        limits = daemon.components.limit_sync.limits.all
        assert [(limit.runner_id, limit.per_s) for limit in limits] == [("l0", 50.0)]
        lines = daemon.components.counts.text().splitlines()
        prefix = "lacewingdrum_peer_messages_unread_total"
        assert [line for line in lines if line.startswith(prefix)] == [
            f'{prefix}{{reason="changed"}} 1',
            f'{prefix}{{reason="unknown_fields"}} 2',
            f'{prefix}{{reason="unknown_kind"}} 1',
            f'{prefix}{{reason="wire_version"}} 1',
        ]


async def test_header_of_a_newer_daemon_is_counted_and_not_sent_to_runners():
    found = "\x1f".join(("read", platform_site.LEDGER, platform_site.CUSTOMER))
    headers = (
        ("Host", "site.example"),
        ("Attempt-Id", "read-1"),
        ("Key", platform_site.CREDENTIAL),
        ("Lacewingdrum-Relayed-Route", f"{coordinators.stable_hash(found):x}"),
        ("Lacewingdrum-Later", "1"),
    )
    async with platform_site.running_site() as site:
        running = site.gateways[0]
        vm = running.gateway_settings.vm
        address = fleet.Address(vm.host, vm.relay_port)
        answer = await site.client.request(address, "POST", "/read/x", headers, b"", 3)
        assert answer.unwrap().status == 200
        received = [item for ledger in site.ledgers for item in ledger.arrivals]
        assert "lacewingdrum-later" not in received[0].headers
        counted = running.daemon.components.counts.text()
        assert "lacewingdrum_relayed_headers_unread_total 1" in counted


@contextlib.asynccontextmanager
async def newer_peer(daemon, answer: bytes):
    """Let a daemon hear a newer one that answers all requests passed on."""

    async def serve(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    async def send_heartbeats(dealer) -> None:
        heartbeat = [*HEARTBEAT[:-1], port]
        while True:
            frame = [peer_messages.WIRE_VERSION, NEWER, heartbeat]
            dealer.send(msgspec.msgpack.encode(frame))
            await asyncio.sleep(0.1)

    server = await asyncio.start_server(serve, NEWER.partition(":")[0], 0)
    port = server.sockets[0].getsockname()[1]
    with zmq.Context() as context, context.socket(zmq.DEALER) as dealer:
        dealer.setsockopt(zmq.LINGER, 0)
        dealer.connect(f"tcp://{daemon.peer_address}")
        sending = asyncio.ensure_future(send_heartbeats(dealer))
        yield
        sending.cancel()
    server.close()


async def test_caller_is_answered_if_a_newer_peer_says_what_is_not_known():
    answer = (
        b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n"
        b"Lacewingdrum-Ran: a word of later builds\r\n\r\n"
    )
    async with platform_site.running_site() as site:
        cut = site.gateways[0]
        async with newer_peer(cut.daemon, answer):
            await site.wait_until(lambda: cut.daemon.peer_count == 1)
            cut.paths.cut(runner_paths.Cut.RESET)
            reach = cut.daemon.components.reach
            await site.call("/read/x", "read-1", timeout_s=2.0)
            await site.wait_until(lambda: reach.is_cut_off)
            answers = [
                (await site.call(f"/{kind}/x", f"{kind}-2", timeout_s=2.0)).status
                for kind in ("read", "order")
            ]
        assert answers == [502, 502]
