"""Defines rules for values of TOML keys and checks values against them."""

import dataclasses
import datetime
import enum
import math
import re

from lacewingdrum_state import addresses

SHOWN_CHARACTERS_MAX = 60
PORT_MAX = addresses.PORT_MAX


@dataclasses.dataclass(frozen=True, slots=True)
class Integer:
    """An integer from ``low`` to ``high``, inclusive."""

    low: int
    high: int


@dataclasses.dataclass(frozen=True, slots=True)
class Number:
    """A number from ``low`` to ``high``, inclusive."""

    low: float
    high: float


@dataclasses.dataclass(frozen=True, slots=True)
class Flag:
    """True or false."""


@dataclasses.dataclass(frozen=True, slots=True)
class Text:
    """A string that fully matches ``pattern``.

    ``words`` describes the pattern. A ``secret`` value is never shown in a
    fault.
    """

    pattern: str
    words: str
    secret: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The value of one member of an enumeration."""

    members: type[enum.Enum]


@dataclasses.dataclass(frozen=True, slots=True)
class TextList:
    """A list of strings that each match ``item``."""

    item: Text


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """A numeric IP address, not a host name."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostPort:
    """An IP address and a port as ``ip:port``."""


Rule = Integer | Number | Flag | Text | Choice | TextList | Host | HostPort


def describe(rule: Rule) -> str:
    """Return a description of the values that a rule allows."""
    match rule:
        case Integer(low, high):
            return f"a whole number, {low} to {high}"
        case Number(low, high):
            return f"a number, {low:g} to {high:g}"
        case Flag():
            return "true or false"
        case Text(_, words):
            return words
        case Choice(members):
            return "one of " + ", ".join(f'"{member.value}"' for member in members)
        case TextList(item):
            return f"a list, each of it {item.words}"
        case Host():
            return "an IP address as a number"
        case HostPort():
            return f"an IP address and a port, ip:port, port 1 to {PORT_MAX}"


def format_value(value: object) -> str:
    """Return a value for an error message, in TOML syntax and shortened."""
    match value:
        case bool():
            text = "true" if value else "false"
        case str():
            text = f'"{value[:SHOWN_CHARACTERS_MAX]}"'.encode("unicode_escape").decode()
        case int():
            bits = value.bit_length()
            text = str(value) if bits <= 64 else f"a whole number of {bits} bits"
        case float():
            text = repr(value)
        case dict():
            text = f"a table of {len(value)} keys"
        case list():
            text = f"a list of {len(value)}"
        case datetime.date() | datetime.time():
            text = "a date or time"
        case _:
            text = f"a {type(value).__name__}"
    return (
        text
        if len(text) <= SHOWN_CHARACTERS_MAX
        else text[:SHOWN_CHARACTERS_MAX] + "..."
    )


def parse_value(rule: Rule, value: object) -> object | None:
    """Convert a TOML value to the value that the code uses.

    Args:
        rule: The rule for the value.
        value: The value as returned by the TOML parser.

    Returns:
        The converted value, or None if the rule does not allow it.
    """
    match rule:
        case Integer(low, high):
            is_integer = isinstance(value, int) and not isinstance(value, bool)
            return value if is_integer and low <= value <= high else None  # type: ignore[operator]
        case Number(low, high):
            return _number(low, high, value)
        case Flag():
            return value if isinstance(value, bool) else None
        case Text(pattern, _):
            return _text(pattern, value)
        case Choice(members):
            names = {member.value: member for member in members}
            return names.get(value) if isinstance(value, str) else None
        case TextList(item):
            return _texts(item, value)
        case Host():
            return value if isinstance(value, str) and addresses.is_ip(value) else None
        case HostPort():
            return addresses.parse_address(value) if isinstance(value, str) else None


def _number(low: float, high: float, value: object) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    if not math.isfinite(value) or not low <= value <= high:
        return None
    return float(value)


def _text(pattern: str, value: object) -> str | None:
    if not isinstance(value, str) or not re.fullmatch(pattern, value, re.ASCII):
        return None
    return value


def _texts(item: Text, value: object) -> tuple[str, ...] | None:
    if not isinstance(value, list):
        return None
    texts = [_text(item.pattern, entry) for entry in value]
    return None if None in texts else tuple(str(text) for text in texts)


def format_unless_secret(rule: Rule, value: object) -> str:
    """Return the value as ``format_value`` does, unless it is secret."""
    item = rule.item if isinstance(rule, TextList) else rule
    if isinstance(item, Text) and item.secret:
        size = f"{len(value)} characters" if isinstance(value, str) else "no text"
        return f"{size}, not shown"
    return format_value(value)
