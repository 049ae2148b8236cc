"""Parses the settings file, which the platform renders from a template."""

import dataclasses
import pathlib
from typing import Any

from lacewingdrum_protocol import toml_keys, toml_rules
from lacewingdrum_runtime import settings_file
from lacewingdrum_state import fleet, ids

NAME = toml_rules.Text(
    r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}",
    "a name of letters, digits, dots, dashes and underscores",
)
IP_PORT = toml_rules.Text(r"[0-9a-fA-F.:\[\]]{3,64}", "an address, ip:port")
REQUIRED = toml_keys.REQUIRED
SettingsError = settings_file.SettingsError


def _number(default: object, low: float, high: float, meaning: str) -> Any:
    return toml_keys.field(toml_rules.Number(low, high), default, meaning)


@dataclasses.dataclass(frozen=True, slots=True)
class VmSettings:
    """The identity and the addresses of this daemon."""

    vm_id: ids.VmId = toml_keys.field(NAME, REQUIRED, "this VM's name, for logs")
    data_centre: ids.DataCentre = toml_keys.field(
        NAME, REQUIRED, "the data centre that this VM is in"
    )
    host: str = toml_keys.field(
        toml_rules.Host(), REQUIRED, "the address of this VM, for peers and metrics"
    )
    caller_address: fleet.Address = toml_keys.field(
        toml_rules.HostPort(), REQUIRED, "where callers are served"
    )
    ready_address: fleet.Address = toml_keys.field(
        toml_rules.HostPort(), REQUIRED, "where readiness checks are served"
    )
    peer_port: int = toml_keys.field(
        toml_rules.Integer(1, toml_rules.PORT_MAX),
        REQUIRED,
        "port for other daemons, the same on all VMs",
    )
    relay_port: int = toml_keys.field(
        toml_rules.Integer(0, toml_rules.PORT_MAX),
        0,
        "port for requests that other daemons pass on; 0: the one after peer_port",
    )
    metrics_port: int = toml_keys.field(
        toml_rules.Integer(0, toml_rules.PORT_MAX), 9464, "port for metrics; 0: none"
    )
    seeds: tuple[str, ...] = toml_keys.field(
        toml_rules.TextList(IP_PORT),
        (),
        "addresses of daemons on other VMs to contact first",
    )

    @property
    def bound_relay_port(self) -> int:
        """The port on which other daemons pass on requests."""
        return self.relay_port or self.peer_port + 1


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsSettings:
    """Resource limits of this process."""

    descriptors: int = toml_keys.field(
        toml_rules.Integer(64, 1_000_000), 4_096, "sockets open at once"
    )
    memory_mb: int = toml_keys.field(
        toml_rules.Integer(32, 1_000_000), 256, "memory of this process"
    )


@dataclasses.dataclass(frozen=True, slots=True)
class BoundsSettings:
    """Time limits and retry limits that the platform sets for its daemons."""

    stop_grace_s: float = _number(8.0, 0.5, 600.0, "from SIGTERM to SIGKILL")
    repeat_ratio: float = _number(
        0.2, 0.0, 10.0, "retries at a service, as a share of its requests"
    )
    repeat_slack: float = _number(
        100.0, 0.0, 1e6, "retries at a service beyond that share"
    )
    repeat_window_s: float = _number(
        10.0, 0.1, 3_600.0, "window for repeat_ratio and repeat_slack, in seconds"
    )
    lease_max_ms: float = _number(
        20_000.0, 100.0, 600_000.0, "longest lease of memory on an engine"
    )
    memory_unused_max_ms: float = _number(
        9_000.0,
        1_000.0,
        600_000.0,
        "longest time that memory is held on an engine before it is used",
    )
    configuration_max_ms: float = _number(
        2_000.0,
        500.0,
        600_000.0,
        "from an acknowledged change of the configuration until it is in force",
    )
    evacuation_max_ms: float = _number(
        5_000.0,
        500.0,
        600_000.0,
        "from an acknowledged evacuation until no request goes to its data centre",
    )
    cold_overage: float = _number(
        1.0, 1.0, 100.0, "how many times its stated rate a cold runner may get"
    )
    cold_slack: float = _number(
        0.0, 0.0, 1e6, "requests in one second that a cold runner may get beyond that"
    )


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """The connection to the platform's store."""

    address: fleet.Address = toml_keys.field(
        toml_rules.HostPort(), REQUIRED, "where the store is"
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ServingSettings:
    """How requests are served when a service is short of room."""

    waits_for_room: bool = toml_keys.field(
        toml_rules.Flag(),
        False,
        "whether less urgent requests wait, or are refused, while room is short",
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The whole file, with one field for each section."""

    vm: VmSettings
    store: StoreSettings
    limits: LimitsSettings = LimitsSettings()
    bounds: BoundsSettings = BoundsSettings()
    serving: ServingSettings = ServingSettings()


SECTIONS: dict[str, type] = {
    "vm": VmSettings,
    "store": StoreSettings,
    "limits": LimitsSettings,
    "bounds": BoundsSettings,
    "serving": ServingSettings,
}


def load(path: str | pathlib.Path) -> tuple[Settings | None, tuple[SettingsError, ...]]:
    """Read and check a TOML settings file; see ``parse``."""
    text, errors = settings_file.read_text(path)
    return (None, errors) if errors else parse(text)


def parse(text: str) -> tuple[Settings | None, tuple[SettingsError, ...]]:
    """Parse and check the text of a settings file.

    Args:
        text: the text in TOML.

    Returns:
        The settings without errors, or None and all errors.
    """
    sections, errors = settings_file.check_sections(text, SECTIONS)
    return (None, errors) if errors else (Settings(**sections), ())
