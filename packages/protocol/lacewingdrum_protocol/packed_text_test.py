import os
import unittest.mock

from result import Ok

from lacewingdrum_protocol import packed_text


def test_text_is_what_it_was():
    for text in (b"", b"x", b'{"name": "r1"},' * 20_000, os.urandom(1_000)):
        assert packed_text.unpack(packed_text.pack(text)) == Ok(text)


def test_damaged_incomplete_or_endless_texts_are_not_read():
    packed = packed_text.pack(b"route" * 1_000)
    for bad in (b"", b"text", packed[:-1], packed[:10] + b"x" + packed[11:]):
        assert packed_text.unpack(bad).is_err()
    with unittest.mock.patch.object(packed_text, "UNPACKED_MAX_BYTES", 100):
        assert packed_text.unpack(packed).is_err()
