"""Rules for values of TOML keys, as data, and how a value is held to one."""

import dataclasses
import datetime
import enum
import ipaddress
import math
import re

from lacewingdrum_state import fleet

SHOWN_CHARACTERS_MAX = 60
PORT_MAX = 65_535


@dataclasses.dataclass(frozen=True, slots=True)
class Integer:
    """A whole number from ``low`` to ``high``, both allowed."""

    low: int
    high: int


@dataclasses.dataclass(frozen=True, slots=True)
class Number:
    """A number from ``low`` to ``high``, both allowed."""

    low: float
    high: float


@dataclasses.dataclass(frozen=True, slots=True)
class Flag:
    """True or false."""


@dataclasses.dataclass(frozen=True, slots=True)
class Text:
    """A text that matches ``pattern`` whole; ``words`` says it in words.

    A ``secret`` text is never shown in a fault.
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
    """A list of texts, each of which holds to ``item``."""

    item: Text


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """An IP address as a number, not a name."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostPort:
    """An IP address and a port as ``ip:port``."""


Rule = Integer | Number | Flag | Text | Choice | TextList | Host | HostPort


def describe(rule: Rule) -> str:
    """Args: rule: a key's rule. Returns: in words, what it allows."""
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
    """Args: value: a TOML value. Returns: it, shortened, as TOML has it."""
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
    """Turn a TOML value into the value that the code uses.

    Args:
        rule: what the value is held to.
        value: as read from TOML.

    Returns:
        The value, or None where the rule does not allow it.
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
            return value if isinstance(value, str) and _is_ip(value) else None
        case HostPort():
            return parse_address(value) if isinstance(value, str) else None


def parse_address(text: str) -> fleet.Address | None:
    """Args: text: ``ip:port``. Returns: the address, None if it is none."""
    host, colon, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not _is_ip(host):
        return None
    if not re.fullmatch(r"[0-9]{1,5}", port, re.ASCII):
        return None
    if not 1 <= int(port) <= PORT_MAX:
        return None
    return fleet.Address(host, int(port))


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


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def format_unless_secret(rule: Rule, value: object) -> str:
    """Returns: a value as ``format_value`` does, but none of a secret text."""
    item = rule.item if isinstance(rule, TextList) else rule
    if isinstance(item, Text) and item.secret:
        size = f"{len(value)} characters" if isinstance(value, str) else "no text"
        return f"{size}, not shown"
    return format_value(value)
