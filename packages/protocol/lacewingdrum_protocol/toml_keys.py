"""Keys of a TOML table, as data, and the check of a table against them.

Settings and service documents are both checked whole: every fault is found
in one go and named by its key, what was found and what is allowed.
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
    """A value that its rule does not allow, at a path below the root."""

    path: tuple[str | int, ...]
    found: str
    allowed: str

    @property
    def key(self) -> str:
        """The path as an operator reads it, ``kinds[2].patience_ms``."""
        return path_text(self.path)


def path_text(path: tuple[str | int, ...]) -> str:
    """Args: path: names and indexes. Returns: it as one text."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part + 1}]"
        else:
            text += f".{part}" if text else part
    return text


def default_text(key: Key) -> str:
    """Args: key: any. Returns: its default as the operators' page says it."""
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
    tables: tuple[str, ...] = (),
) -> tuple[dict[str, object], list[Fault]]:
    """Check one table against its keys.

    Args:
        keys: the keys that the table may have.
        found: the table as read, or whatever stands in its place.
        at: the table's path, for the faults.
        tables: names of tables below it, which are checked elsewhere.

    Returns:
        The values by key, defaults filled in, and every fault.
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
    names = [key.name for key in keys] + list(tables)
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
        rule: what the key's value is held to.
        default: its default, or ``REQUIRED``.
        meaning: one line for the operator.

    Returns:
        A dataclass field; ``keys_of`` finds the key again.
    """
    metadata = {"rule": rule, "default": default, "meaning": meaning}
    if default is REQUIRED:
        return dataclasses.field(metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


def keys_of(section: type) -> tuple[Key, ...]:
    """Args: section: a dataclass made with ``field``. Returns: its keys."""
    found = []
    for item in dataclasses.fields(section):
        rule, default = item.metadata["rule"], item.metadata["default"]
        found.append(Key(item.name, rule, default, item.metadata["meaning"]))
    return tuple(found)
