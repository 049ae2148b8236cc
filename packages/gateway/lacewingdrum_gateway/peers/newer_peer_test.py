"""Tests of what a daemon does with messages of a newer build."""

import msgspec
import zmq

from lacewingdrum_protocol import peer_messages
from standins import platform_site

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
