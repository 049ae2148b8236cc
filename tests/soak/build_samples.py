"""Shows how the build that runs this reads messages, and what it decides.

``python -m tests.soak.build_samples`` reads messages as JSON, hexadecimal
bytes by name, and prints ``Exchanged`` as JSON.
"""

import enum
import itertools
import sys
import types
import typing

import msgspec
from result import Ok

from lacewingdrum_coordination import (
    coordinators,
    runner_limits,
    runner_list_history,
    store_followers,
)
from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import (
    fleet,
    ids,
    named_limits,
    runner_entries,
    states,
)

DAEMONS = tuple(ids.VmId(f"10.0.0.{number}:7") for number in range(9))
ENTRY = runner_entries.RunnerEntry(
    ids.RunnerId("r1"),
    ids.ServiceName("model"),
    ids.DataCentre("north"),
    fleet.Address("10.0.1.1", 80),
    4,
    states.MemberState.LIVE,
    7,
)
SENDER = "127.0.0.1:7000"
_numbers = itertools.count(2)
# The fields of the parts of messages that were made so far, by class.
made_fields: dict[str, tuple[str, ...]] = {}


class Exchanged(msgspec.Struct):
    """Samples of this build, and what it read of those that it was given.

    ``read`` is a given message as this build writes it again, and empty if it
    does not read it. ``fields`` names the fields of each part of messages, and
    ``decisions`` has what all daemons decide alike without asking each other.
    """

    samples: dict[str, str]
    read: dict[str, str]
    fields: dict[str, tuple[str, ...]]
    decisions: dict[str, str]


def make_samples() -> dict[str, str]:
    """Return a message of each kind, with a value in each field."""
    return {
        str(body.__struct_config__.tag): _encode(_make(body))
        for body in typing.get_args(peer_messages.Body)
    }


def read(message: str) -> str:
    """Return what this build reads of a message, or ""."""
    match peer_messages.decode(bytes.fromhex(message)):
        case Ok(decoded):
            return _encode(decoded.body)
        case _:
            return ""


def make_decisions() -> dict[str, str]:
    """Return decisions that must not depend on the build."""
    return {
        "coordinator": str(
            coordinators.coordinator_of_runner(ENTRY.runner_id, DAEMONS)
        ),
        "trial": str(coordinators.pick_vm("part", DAEMONS)),
        "followers": str([store_followers.is_follower(o, DAEMONS) for o in DAEMONS]),
        "list": str(runner_list_history.digest_of((ENTRY,))),
        "limits": str([_limit_wait_s(daemon) for daemon in DAEMONS]),
    }


def _limit_wait_s(own: ids.VmId) -> float:
    """Return when a daemon may send to a runner that names a limit."""
    limits = runner_limits.RunnerLimits()
    limits.set_daemons(own, tuple((o, ENTRY.data_centre) for o in DAEMONS))
    limit = named_limits.RunnerLimit(ENTRY.runner_id, ENTRY.born_ms, 2.5, 1.0)
    limits.record(limit)
    return limits.wait_s(ENTRY, 2.0)


def _encode(body: peer_messages.Body) -> str:
    return peer_messages.encode(SENDER, body).hex()


def _make(wanted: typing.Any) -> typing.Any:
    """Return a value of a type that differs from all others where it can."""
    number = next(_numbers)
    origin, arguments = typing.get_origin(wanted), typing.get_args(wanted)
    if origin is tuple:
        found = [item for item in arguments if item is not Ellipsis]
        return tuple(_make(item) for item in found)
    if origin is dict:
        return {_make(arguments[0]): _make(arguments[1])}
    if origin in (types.UnionType, typing.Union):
        return _make(arguments[0])
    if issubclass(wanted, enum.Enum):
        return list(wanted)[-1]
    if issubclass(wanted, msgspec.Struct):
        made_fields[wanted.__name__] = wanted.__struct_fields__
        hints = typing.get_type_hints(wanted)
        return wanted(*(_make(hints[name]) for name in wanted.__struct_fields__))
    if wanted is bytes:
        return str(number).encode()
    return wanted(number)


def main() -> int:
    """Exchange messages by standard input and output."""
    given = msgspec.json.decode(sys.stdin.buffer.read(), type=dict[str, str])
    found = {name: read(message) for name, message in given.items()}
    samples = make_samples()
    exchanged = Exchanged(samples, found, made_fields, make_decisions())
    sys.stdout.buffer.write(msgspec.json.encode(exchanged))
    return 0


if __name__ == "__main__":
    sys.exit(main())
