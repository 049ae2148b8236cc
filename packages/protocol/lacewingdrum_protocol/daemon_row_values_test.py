from lacewingdrum_protocol import daemon_row_values

UNSTATED_S = daemon_row_values.UNSTATED_TERM_S


def test_row_states_its_term():
    assert daemon_row_values.term_s(daemon_row_values.encode(7, 240.0)) == 240.0


def test_row_of_another_build_or_writer_has_a_usual_term():
    for value in (b"1700000000000", b"", b"\xff", b'{"incarnation":1}', b"[[[["):
        assert daemon_row_values.term_s(value) == UNSTATED_S
    for term in (b"0", b"-5", b"1e400", b'"a"', b"9" * 400, b"86401"):
        value = b'{"incarnation":1,"term_s":' + term + b"}"
        assert daemon_row_values.term_s(value) == UNSTATED_S
    value = daemon_row_values.encode(1, 1e12)
    assert daemon_row_values.term_s(value) == daemon_row_values.TERM_MAX_S
