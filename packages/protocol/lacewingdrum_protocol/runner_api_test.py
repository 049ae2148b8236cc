"""Tests of the messages of model runners."""

import json

import msgspec
from result import Err, Ok

from lacewingdrum_protocol import runner_api
from lacewingdrum_state import decoding

_decoder = msgspec.json.Decoder(runner_api.LoadAnswer)
LOAD = {
    "runner_id": "r1",
    "age_ms": 5,
    "queued_short_tokens": 0,
    "queued_mid_tokens": 0,
    "queued_long_tokens": 0,
    "running_count": 1,
    "kv_used_tokens": 10,
    "kv_capacity_tokens": 100,
    "prefill_tokens_per_s": 1.0,
    "decode_tokens_per_s": 1.0,
    "held": [["a1", 10]],
}


def test_load_that_peers_cannot_be_sent_is_refused():
    assert isinstance(decoding.decode(_decoder, json.dumps(LOAD)), Ok)
    for name in LOAD.keys() - {"runner_id", "held"}:
        for number in (-1, 10**310):
            odd = json.dumps({**LOAD, name: number})
            assert isinstance(decoding.decode(_decoder, odd), Err), name
    for tokens in (-1, 2**70):
        odd = json.dumps({**LOAD, "held": [["a1", tokens]]})
        assert isinstance(decoding.decode(_decoder, odd), Err)
