"""Tests that builds read each other's messages and share out work alike."""

import pathlib
import subprocess
import sys

import msgspec

from lacewingdrum_protocol import peer_messages
from tests import collection
from tests.soak import build_samples, builds

VERSION = peer_messages.WIRE_VERSION
HEARTBEAT = ["hb", 1, "north", False, [], [], 1, [], {"topic": 5}, 0]
LATER = {
    "later kind": [VERSION, build_samples.SENDER, ["later", 1]],
    "later field": [VERSION, build_samples.SENDER, [*HEARTBEAT, "later"]],
    "later wire version": [VERSION + 1, build_samples.SENDER, HEARTBEAT],
}


def exchange(build: builds.Build, given: dict[str, str]) -> build_samples.Exchanged:
    """Give messages to a process of a build."""
    done = subprocess.run(
        (sys.executable, "-m", "tests.soak.build_samples"),
        input=msgspec.json.encode(given),
        env=build.environment(),
        cwd=collection.ROOT,
        capture_output=True,
        check=True,
    )
    return msgspec.json.decode(done.stdout, type=build_samples.Exchanged)


def values(message: str) -> object:
    return msgspec.msgpack.decode(bytes.fromhex(message))


def agrees(one: object, other: object) -> bool:
    """Return whether two values are the same but for fields at their ends."""
    if isinstance(one, list) and isinstance(other, list):
        return all(map(agrees, one, other))
    return one == other


def misread(samples: dict[str, str], read: dict[str, str], known: set[str]) -> set[str]:
    """Return the kinds that a build knows and reads as something else."""
    return {
        kind
        for kind in samples.keys() & known
        if not read[kind] or not agrees(values(samples[kind]), values(read[kind]))
    }


def moved(fields: dict[str, tuple[str, ...]]) -> set[str]:
    """Return the fields that have another place than in this build."""
    own = build_samples.made_fields
    return {
        f"{part}.{name}"
        for part in fields.keys() & own.keys()
        for name in set(fields[part]) & set(own[part])
        if fields[part].index(name) != own[part].index(name)
    }


def test_builds_read_messages_of_each_other_and_decide_alike(folder: pathlib.Path):
    own = build_samples.make_samples()
    later = {name: msgspec.msgpack.encode(value).hex() for name, value in LATER.items()}
    for commit in builds.EARLIER_COMMITS:
        earlier = exchange(builds.unpack(commit, folder), {**own, **later})
        known = set(earlier.samples)
        assert not misread(own, earlier.read, known), commit
        read = {
            kind: build_samples.read(message)
            for kind, message in earlier.samples.items()
        }
        assert not misread(earlier.samples, read, known & set(own)), commit
        assert not moved(earlier.fields), commit
        assert earlier.decisions == build_samples.make_decisions(), commit
        skipped = {name for name in later if not earlier.read[name]}
        assert skipped == {"later kind", "later wire version"}, commit
