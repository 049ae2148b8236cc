"""Tests of messages between daemons; arbitrary bytes must not raise."""

import os

import hypothesis
import msgspec
from hypothesis import strategies
from result import Err, Ok

from lacewingdrum_protocol import peer_messages

EXAMPLES = int(os.environ.get("LACEWINGDRUM_FUZZ_EXAMPLES", "200"))
SETTINGS = hypothesis.settings(
    max_examples=EXAMPLES, derandomize=True, deadline=None, database=None
)
HEARTBEAT = peer_messages.Heartbeat(
    7,
    "bayern-a",
    True,
    (peer_messages.DocumentVersionEntry("meiler-llm", 3, "d"),),
    (("r", 1),),
)
VALUES = strategies.recursive(
    strategies.none()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8)
    | strategies.sampled_from(("hb", "doc", "load", "fly", "bga")),
    lambda inner: strategies.lists(inner, max_size=6),
    max_leaves=20,
)


def assert_typed_result(data):
    match peer_messages.decode(data):
        case Ok(message):
            assert isinstance(message.body, peer_messages.Body)
            again = peer_messages.encode(message.sender, message.body)
            assert peer_messages.decode(again).is_ok()
        case Err(error):
            assert isinstance(error, peer_messages.PeerMessageError)


@SETTINGS
@hypothesis.given(strategies.binary(max_size=200))
def check_arbitrary_bytes(data):
    assert_typed_result(data)


@SETTINGS
@hypothesis.given(VALUES, VALUES)
def check_arbitrary_values(sender, body):
    assert_typed_result(msgspec.msgpack.encode([1, sender, body]))
    assert_typed_result(msgspec.msgpack.encode([1, "vm-a", body]))
    assert_typed_result(msgspec.msgpack.encode([1, "vm-a", ["hb", body, body]]))


@SETTINGS
@hypothesis.given(strategies.integers(0, 200), strategies.integers(0, 255))
def check_corrupted_and_truncated_message(position, value):
    data = bytearray(peer_messages.encode("vm-a", HEARTBEAT))
    data[position % len(data)] = value
    assert_typed_result(bytes(data))
    assert_typed_result(bytes(data[: position % len(data)]))


def test_arbitrary_bytes_decode_to_a_typed_result():
    check_arbitrary_bytes()


def test_arbitrary_values_decode_to_a_typed_result():
    check_arbitrary_values()


def test_corrupted_or_truncated_message_decodes_to_a_typed_result():
    check_corrupted_and_truncated_message()


def test_deep_nesting_is_an_error():
    assert peer_messages.decode(b"\x93\x01\xa1a" + b"\x91" * 100_000).is_err()


def test_other_wire_version_is_an_error():
    data = msgspec.msgpack.encode([2, "vm-a", ["hb", "of another shape"]])
    assert "wire version 2" in peer_messages.decode(data).unwrap_err().reason


def test_message_round_trips():
    data = peer_messages.encode("vm-a", HEARTBEAT)
    assert peer_messages.decode(data).unwrap().body == HEARTBEAT
