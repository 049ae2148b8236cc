import hypothesis
import msgspec
from hypothesis import strategies

from lacewingdrum_protocol import peer_messages, received_messages
from lacewingdrum_protocol.received_messages import Unread

VERSION = peer_messages.WIRE_VERSION
VALUES = strategies.recursive(
    strategies.none() | strategies.integers(-(2**63), 2**64 - 1) | strategies.text(),
    lambda inner: strategies.lists(inner, max_size=4),
    max_leaves=8,
)


def decode(value) -> received_messages.Received:
    return received_messages.decode([b"", msgspec.msgpack.encode(value)])


def test_earlier_message_without_the_newest_fields_is_read_whole():
    received = decode([VERSION, "a", ["hb", 1, "north", False, []]])
    assert received.message is not None and received.unread is None


def test_unknown_fields_inside_an_entry_are_noticed():
    entry = ["r", "s", "north", "127.0.0.1:1", 4, False, 1, "later field"]
    received = decode([VERSION, "a", ["run", 1, 0, 5, 0, [entry]]])
    assert received.message is not None
    assert received.unread is Unread.UNKNOWN_FIELDS


@hypothesis.settings(derandomize=True, deadline=None, database=None, max_examples=200)
@hypothesis.given(VALUES, VALUES)
def check_arbitrary_values(sender, body):
    for value in ([VERSION, sender, body], [VERSION, "a", ["hb", body]], body):
        received = decode(value)
        assert received.message is not None or received.unread is not None


def test_arbitrary_values_never_raise():
    check_arbitrary_values()
    deep = b"\x93\x01\xa1a" + b"\x91" * 100_000
    for frames in ([], [b"a"], [b"a", b"\xc1"], [b"a", b"b", b"c"], [b"", deep]):
        assert received_messages.decode(frames).unread is Unread.MALFORMED
