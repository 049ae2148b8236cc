"""Defines keys of TOML tables as data and checks tables against them.

A check of settings or of a service document reports all faults at once. Each
fault states the key, what was found and what is allowed.
"""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any

from lacewingdrum_protocol import toml_rules


class _Required(enum.Enum):
    REQUIRED = "required"


REQUIRED = _Required.REQUIRED


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """One key of a table: its rule, its default and its meaning."""

    name: str
    rule: toml_rules.Rule
    default: object
    meaning: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault at a path below the root, such as a value out of range."""

    path: tuple[str | int, ...]
    found: str
    allowed: str

    @property
    def key(self) -> str:
        """The path as text, such as ``kinds[2].patience_ms``."""
        return path_text(self.path)


def path_text(path: tuple[str | int, ...]) -> str:
    """Return a path of names and indexes as text; indexes count from 1."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part + 1}]"
        else:
            text += f".{part}" if text else part
    return text


def default_text(key: Key) -> str:
    """Return a key's default as written in the operations manual."""
    match key.default:
        case _Required():
            return "required"
        case () | "":
            return "empty"
        case _:
            return f"`{toml_rules.format_value(key.default)}`"


def check_table(
    keys: tuple[Key, ...],
    found: object,
    table_path: tuple[str | int, ...] = (),
    sub_table_names: tuple[str, ...] = (),
) -> tuple[dict[str, object], list[Fault]]:
    """Check one table against its keys.

    Args:
        keys: The keys that the table may have.
        found: The parsed table, or the value found in its place.
        table_path: The table's path, for the faults.
        tables: The allowed sub-tables, which are checked separately.

    Returns:
        The values by key, including defaults, and all faults.
    """
    if not isinstance(found, Mapping):
        return {}, [Fault(table_path, toml_rules.format_value(found), "a table")]
    values: dict[str, object] = {}
    faults: list[Fault] = []
    for key in keys:
        if key.name not in found:
            if key.default is REQUIRED:
                allowed_text = toml_rules.describe(key.rule)
                faults.append(Fault((*table_path, key.name), "nothing", allowed_text))
            else:
                values[key.name] = key.default
            continue
        value = toml_rules.parse_value(key.rule, found[key.name])
        if value is None:
            found_text = toml_rules.format_unless_secret(key.rule, found[key.name])
            faults.append(
                Fault(
                    (*table_path, key.name), found_text, toml_rules.describe(key.rule)
                )
            )
        else:
            values[key.name] = value
    names = [key.name for key in keys] + list(sub_table_names)
    for name in found:
        if name not in names:
            allowed_text = "one of the keys " + ", ".join(names)
            faults.append(
                Fault((*table_path, str(name)), "a key not known here", allowed_text)
            )
    return values, faults


def field(rule: toml_rules.Rule, default: object, meaning: str) -> Any:
    """Declare a dataclass field together with its key.

    Args:
        rule: The rule for the key's value.
        default: The key's default, or ``REQUIRED``.
        meaning: One line that explains the key to operators.

    Returns:
        A dataclass field that ``keys_of`` can read the key from.
    """
    metadata = {"rule": rule, "default": default, "meaning": meaning}
    if default is REQUIRED:
        return dataclasses.field(metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


def keys_of(section: type) -> tuple[Key, ...]:
    """Return the keys of a dataclass whose fields are made with ``field``."""
    found = []
    for item in dataclasses.fields(section):
        rule, default = item.metadata["rule"], item.metadata["default"]
        found.append(Key(item.name, rule, default, item.metadata["meaning"]))
    return tuple(found)
