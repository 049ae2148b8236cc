from lacewingdrum_gateway import settings

GOOD = """
[vm]
vm_id = "front-1"
data_centre = "north"
host = "10.1.0.40"
caller_address = "10.1.0.40:8227"
ready_address = "10.1.0.40:8220"
peer_port = 7340
seeds = ["10.1.0.40:8229"]
[store]
address = "10.200.1.7:8223"
"""


def test_settings_are_read_with_their_defaults():
    found, errors = settings.parse(GOOD)
    assert not errors and found.vm.peer_port == 7340
    assert found.bounds.repeat_window_s == 10.0 and found.vm.metrics_port == 9464


def test_every_error_is_reported_at_once():
    bad = GOOD.replace("7340", "0").replace("10.200.1.7:8223", "store")
    found, errors = settings.parse(bad + "[extra]\n")
    assert found is None
    assert {error.key for error in errors} == {
        "vm.peer_port",
        "store.address",
        "extra",
    }
    assert settings.parse("[vm")[0] is None


def test_unreadable_file_is_an_error(folder):
    found, errors = settings.load(folder / "none.toml")
    assert found is None and errors
