"""Parses a settings file with sections and reports all faults at once."""

import dataclasses
import pathlib
import tomllib
from typing import Any

from lacewingdrum_protocol import toml_keys


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsError:
    """A fault: its key, the value that was found, and the allowed values."""

    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.key}: found {self.found}; allowed: {self.allowed}"


def read_text(path: str | pathlib.Path) -> tuple[str, tuple[SettingsError, ...]]:
    """Read a settings file.

    Args:
        path: the file.

    Returns:
        The text and no errors, or an empty text and the reason why the file
        cannot be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8"), ()
    except OSError as error:
        reason = error.strerror or type(error).__name__
        return "", (SettingsError(str(path), reason, "a readable file"),)
    except UnicodeDecodeError:
        return "", (SettingsError(str(path), "bytes that are not UTF-8", "UTF-8 text"),)


def check_sections(
    text: str, sections: dict[str, type]
) -> tuple[dict[str, Any], tuple[SettingsError, ...]]:
    """Validate the text of a settings file.

    Args:
        text: TOML.
        sections: the data class of each section, declared with
            ``toml_keys``.

    Returns:
        The sections without faults, and all faults.
    """
    try:
        root = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        return {}, (SettingsError("(file)", str(error), "TOML"),)
    checked: dict[str, Any] = {}
    faults: list[toml_keys.Fault] = []
    for name, section in sections.items():
        keys = toml_keys.keys_of(section)
        values, found = toml_keys.check_table(keys, root.get(name, {}), (name,))
        faults.extend(found)
        if not found:
            checked[name] = section(**values)
    allowed_text = "one of the sections " + ", ".join(sections)
    unknown = [name for name in root if name not in sections]
    faults.extend(
        toml_keys.Fault((name,), "an unknown section", allowed_text) for name in unknown
    )
    return checked, errors_of(faults)


def errors_of(faults: list[toml_keys.Fault]) -> tuple[SettingsError, ...]:
    """Convert faults of keys to settings errors."""
    return tuple(
        SettingsError(fault.key, fault.found, fault.allowed) for fault in faults
    )
