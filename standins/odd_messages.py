"""Messages of peers with values of the right types and of any sense."""

import types
import typing

import msgspec
from hypothesis import strategies

# Ids that the receiver may know, of runners, work and daemons, and others.
TEXTS = strategies.sampled_from(
    ("l0", "l1", "e0", "w1", "w2", "ab", "=f1", "north", "127.0.0.1:9", "x", "")
)
INTEGERS = strategies.sampled_from(
    (0, 1, 2, 5, 80, 1_000, 70_000, 2**40, 2**63 - 1, 2**64 - 1, -1, -(2**63))
)
FLOATS = strategies.sampled_from(
    (0.0, 1.0, -1.0, 250.5, 1e15, 1e300, -1e300, float("inf"), float("nan"))
)
ITEMS_MAX = 3
_PLAIN = {
    int: INTEGERS,
    float: FLOATS,
    str: TEXTS,
    bool: strategies.booleans(),
    bytes: strategies.binary(max_size=8),
    types.NoneType: strategies.none(),
}


def of_type(kind: typing.Any) -> strategies.SearchStrategy[typing.Any]:
    """Return a strategy for values of a field's type, or for messages."""
    if kind in _PLAIN:
        return _PLAIN[kind]
    if typing.get_origin(kind) is typing.Annotated:
        return of_type(typing.get_args(kind)[0])
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        hints = typing.get_type_hints(kind, include_extras=True)
        fields = (of_type(hints[name]) for name in kind.__struct_fields__)
        return strategies.tuples(*fields).map(lambda values: kind(*values))
    inner = typing.get_args(kind)
    match typing.get_origin(kind):
        case typing.Union | types.UnionType:
            return strategies.one_of(*map(of_type, inner))
        case origin if origin is dict:
            return strategies.dictionaries(*map(of_type, inner), max_size=ITEMS_MAX)
    if inner[-1] is ...:
        return strategies.lists(of_type(inner[0]), max_size=ITEMS_MAX).map(tuple)
    return strategies.tuples(*map(of_type, inner))
