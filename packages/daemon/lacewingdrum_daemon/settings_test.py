"""Tests of the daemon's settings file."""

from lacewingdrum_daemon import settings
from lacewingdrum_protocol import toml_keys, toml_rules
from lacewingdrum_state import fleet
from tests import pages

GOOD = f"""
[vm]
vm_id = "entry-1"
data_centre = "almaty-north"
host = "127.0.0.1"
caller_port = 8080
peer_port = 8081
operator_port = 8082

[platform]
table = "127.0.0.1:9001"
objects = "127.0.0.1:9002"
members = "[::1]:9003"

[operators]
credential_sha256 = "{"a" * 64}"
"""


def keys_of(text: str) -> list[str]:
    found, errors = settings.parse(text)
    assert (found is None) == bool(errors)
    return [error.key for error in errors]


def test_complete_file_is_loaded(folder):
    path = folder / "settings.toml"
    path.write_text(GOOD + "[limits]\nconnections = 7\n")
    found, errors = settings.load(path)
    assert not errors and found is not None
    assert found.platform.members == fleet.Address("::1", 9003)
    assert found.limits.connections == 7
    assert found.limits.body_bytes == 16 * settings.MIB


def test_all_faults_are_reported():
    text = GOOD.replace("8080", "80800").replace("127.0.0.1:9001", "table:9001")
    text = text.replace('vm_id = "entry-1"\n', "")
    _, errors = settings.parse(text)
    assert [str(error) for error in errors] == [
        "vm.vm_id: found nothing; allowed: a name of 1 to 63 letters, digits, dots, "
        "dashes and underscores",
        "vm.caller_port: found 80800; allowed: a whole number, 0 to 65535",
        'platform.table: found "table:9001"; allowed: an IP address and a port, '
        "ip:port, port 1 to 65535",
    ]


def test_unknown_keys_and_sections_are_faults():
    assert keys_of(GOOD + "[limits]\nspeed = 1\n[extra]\n") == ["limits.speed", "extra"]


def test_secrets_are_never_shown():
    text = GOOD.replace("a" * 64, "hunter2") + '[peers]\ncurve_secret_key = "hunter3"\n'
    _, errors = settings.parse(text)
    assert len(errors) == 2
    assert "hunter" not in " ".join(str(error) for error in errors)


def test_one_curve_key_alone_is_a_fault():
    key = "x" * 40
    assert keys_of(GOOD + f'[peers]\ncurve_public_key = "{key}"\n') == ["peers"]


def test_unreadable_files_are_errors(folder):
    assert settings.load(folder / "absent.toml")[1]
    (folder / "bytes.toml").write_bytes(b"\xff")
    assert settings.load(folder / "bytes.toml")[1]
    assert keys_of("vm = ") == ["(file)"]


def test_page_lists_the_settings_of_the_code():
    expected = set()
    for section, made in settings.SECTIONS.items():
        for key in toml_keys.keys_of(made):
            allowed_text = toml_rules.describe(key.rule)
            name = f"{section}.{key.name}"
            expected.add((name, toml_keys.default_text(key), allowed_text))
    assert pages.rows("Settings") == expected
