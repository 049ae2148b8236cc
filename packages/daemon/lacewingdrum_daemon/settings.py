"""Loads the daemon's settings from a TOML file and validates them.

The whole file is validated before anything starts. Each field is declared
with its rule, default and meaning, so that the validation and
docs/OPERATIONS.md use the same source.
"""

import dataclasses
import pathlib
from typing import Any

from lacewingdrum_protocol import toml_keys, toml_rules
from lacewingdrum_runtime import settings_file
from lacewingdrum_state import fleet, ids

KIB = 1024
MIB = 1024 * KIB
SECOND_MS = 1_000
MINUTE_MS = 60 * SECOND_MS

NAME = toml_rules.Text(
    r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}",
    "a name of 1 to 63 letters, digits, dots, dashes and underscores",
)
SHA256_HEX = toml_rules.Text(
    r"[0-9a-f]{64}", "a SHA-256 digest, 64 hex digits in lower case", secret=True
)
CURVE_KEY = toml_rules.Text(
    r"[!-~]{40}|", "a CURVE key of 40 characters, or empty", secret=True
)
PORT = toml_rules.Integer(0, toml_rules.PORT_MAX)
REQUIRED = toml_keys.REQUIRED
SettingsError = settings_file.SettingsError


def _duration_ms(default: int, low: int, high: int, meaning: str) -> Any:
    return toml_keys.field(toml_rules.Integer(low, high), default, meaning)


@dataclasses.dataclass(frozen=True, slots=True)
class VmSettings:
    """The identity and the addresses of this daemon."""

    vm_id: ids.VmId = toml_keys.field(
        NAME, REQUIRED, "this VM's name in the membership list"
    )
    data_centre: ids.DataCentre = toml_keys.field(
        NAME, REQUIRED, "the data centre that this VM is in"
    )
    host: str = toml_keys.field(
        toml_rules.Host(), REQUIRED, "the address that all three ports listen on"
    )
    caller_port: int = toml_keys.field(
        PORT, REQUIRED, "port for callers, health and metrics; 0 picks one"
    )
    peer_port: int = toml_keys.field(
        PORT, REQUIRED, "port for other daemons; 0 picks one"
    )
    operator_port: int = toml_keys.field(
        PORT, REQUIRED, "port for operators; 0 picks one"
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The addresses of the platform's services."""

    table: fleet.Address = toml_keys.field(
        toml_rules.HostPort(), REQUIRED, "the table service"
    )
    objects: fleet.Address = toml_keys.field(
        toml_rules.HostPort(), REQUIRED, "the object store"
    )
    members: fleet.Address = toml_keys.field(
        toml_rules.HostPort(), REQUIRED, "the membership list"
    )


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorsSettings:
    """The credential of the operators."""

    credential_sha256: str = toml_keys.field(
        SHA256_HEX, REQUIRED, "digest of the operators' credential"
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PeersSettings:
    """Keys for traffic between daemons; all empty means no encryption."""

    curve_public_key: str = toml_keys.field(
        CURVE_KEY, "", "this daemon's public CURVE key"
    )
    curve_secret_key: str = toml_keys.field(
        CURVE_KEY, "", "this daemon's secret CURVE key"
    )
    allowed_public_keys: tuple[str, ...] = toml_keys.field(
        toml_rules.TextList(CURVE_KEY), (), "public CURVE keys accepted from peers"
    )


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsSettings:
    """Limits and intervals; names of durations and sizes end in the unit."""

    body_bytes: int = toml_keys.field(
        toml_rules.Integer(KIB, 1024 * MIB), 16 * MIB, "largest body of a request"
    )
    header_bytes: int = toml_keys.field(
        toml_rules.Integer(KIB, MIB), 16 * KIB, "largest header of a request"
    )
    connections: int = toml_keys.field(
        toml_rules.Integer(1, 65_536), 1_024, "callers' connections open at once"
    )
    operator_connections: int = toml_keys.field(
        toml_rules.Integer(1, 1_024), 32, "operators' connections open at once"
    )
    streams: int = toml_keys.field(
        toml_rules.Integer(1, 65_536), 512, "requests in flight at once"
    )
    header_timeout_ms: int = _duration_ms(
        10 * SECOND_MS, 100, 10 * MINUTE_MS, "longest wait for a request's header"
    )
    body_timeout_ms: int = _duration_ms(
        MINUTE_MS, 100, 60 * MINUTE_MS, "longest wait for a request's body"
    )
    idle_timeout_ms: int = _duration_ms(
        75 * SECOND_MS,
        100,
        60 * MINUTE_MS,
        "longest time that a connection may be idle",
    )
    write_timeout_ms: int = _duration_ms(
        30 * SECOND_MS, 100, 10 * MINUTE_MS, "longest wait for a slow caller"
    )
    drain_notice_ms: int = _duration_ms(
        5 * SECOND_MS,
        0,
        10 * MINUTE_MS,
        "time the balancer needs to see that this VM is leaving",
    )
    members_poll_ms: int = _duration_ms(
        SECOND_MS, 50, MINUTE_MS, "interval between reads of the membership list"
    )
    heartbeat_ms: int = _duration_ms(
        500,
        50,
        SECOND_MS,
        "interval between heartbeats; other data centres get every second one",
    )
    platform_timeout_ms: int = _duration_ms(
        2 * SECOND_MS, 50, MINUTE_MS, "longest wait for one call to the platform"
    )
    explain_lines: int = toml_keys.field(
        toml_rules.Integer(100, 1_000_000), 20_000, "log lines kept for explain"
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The settings file; one field per section."""

    vm: VmSettings
    platform: PlatformSettings
    operators: OperatorsSettings
    peers: PeersSettings = PeersSettings()
    limits: LimitsSettings = LimitsSettings()


SECTIONS: dict[str, type] = {
    "vm": VmSettings,
    "platform": PlatformSettings,
    "operators": OperatorsSettings,
    "peers": PeersSettings,
    "limits": LimitsSettings,
}


def load(path: str | pathlib.Path) -> tuple[Settings | None, tuple[SettingsError, ...]]:
    """Read and validate a settings file.

    Args:
        path: the TOML file.

    Returns:
        The settings and no errors, or None and all errors.
    """
    text, errors = settings_file.read_text(path)
    return (None, errors) if errors else parse(text)


def parse(text: str) -> tuple[Settings | None, tuple[SettingsError, ...]]:
    """Validate the text of a settings file.

    Args:
        text: TOML.

    Returns:
        The settings and no errors, or None and all errors.
    """
    sections, errors = settings_file.check_sections(text, SECTIONS)
    errors += settings_file.errors_of(_key_faults(sections.get("peers")))
    return (None, errors) if errors else (Settings(**sections), ())


def _key_faults(peers: PeersSettings | None) -> list[toml_keys.Fault]:
    if peers is None or bool(peers.curve_public_key) == bool(peers.curve_secret_key):
        return []
    allowed_text = "both CURVE keys or neither"
    return [toml_keys.Fault(("peers",), "only one CURVE key", allowed_text)]
