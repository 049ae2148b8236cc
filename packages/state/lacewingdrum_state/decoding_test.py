"""Tests of decoding what other programs have written."""

import msgspec
from hypothesis import given, strategies
from result import Err, Ok

from lacewingdrum_state import decoding

DECODERS = (
    msgspec.json.Decoder(dict[str, int]),
    msgspec.json.Decoder(),
    msgspec.msgpack.Decoder(dict[str, int]),
    msgspec.msgpack.Decoder(),
)


@given(strategies.binary())
def test_no_input_makes_decoding_raise(data):
    for decoder in DECODERS:
        assert isinstance(decoding.decode(decoder, data), Ok | Err)


def test_input_that_is_nested_too_deeply_gives_an_error():
    for data in (b"[" * 100_000, b'{"a":' * 100_000, b"\x91" * 100_000):
        for decoder in DECODERS:
            assert isinstance(decoding.decode(decoder, data), Err)
