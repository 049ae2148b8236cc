"""Reads the settings file of a running daemon again and logs what it holds."""

from collections.abc import Callable
from typing import TypeVar

from lacewingdrum_runtime import decision_log, settings_file

Settings = TypeVar("Settings")
Load = Callable[[str], tuple[Settings | None, tuple[settings_file.SettingsError, ...]]]


def record_reload(
    load: Load[Settings],
    path: str,
    in_force: Settings,
    decisions: decision_log.DecisionLog,
) -> None:
    """Log whether the file differs from the settings in force, and its faults.

    Changes take effect only after a restart.

    Args:
        load: reads and checks a file.
        path: the settings file.
        in_force: the settings that the daemon was started with.
        decisions: where the result is logged.
    """
    found, errors = load(path)
    decisions.record(
        decision_log.DecisionEvent.RELOADED,
        None,
        changed=found != in_force,
        errors=[str(error) for error in errors],
    )
