"""Tests of the decision log."""

import json
import logging

from lacewingdrum_runtime import decision_log
from lacewingdrum_state import ids, states
from tests import pages

ROUTED = decision_log.DecisionEvent.ROUTED


class Sink(logging.Handler):
    """Stores the records that it handles."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


def sink():
    handler = Sink()
    logger = logging.Logger("test")
    logger.addHandler(handler)
    yield handler, logger


def test_lines_are_kept_by_request_and_bounded(sink):
    log = decision_log.DecisionLog(sink[1], lambda: 1.5, explain_lines=3)
    for number in range(4):
        log.record(ROUTED, ids.RequestId(f"req-{number}"), runner=number)
    assert log.lines(ids.RequestId("req-0")) == ()
    (line,) = log.lines(ids.RequestId("req-3"))
    assert line["event"] == "routed" and line["runner"] == 3
    assert line["monotonic_s"] == 1.5
    assert len(sink[0].records) == 4


def test_lines_of_one_request_are_bounded(sink):
    log = decision_log.DecisionLog(sink[1], lambda: 0.0, explain_lines=10_000)
    for _ in range(decision_log.LINES_PER_REQUEST_MAX + 50):
        log.record(ROUTED, ids.RequestId("req"))
    kept = log.lines(ids.RequestId("req"))
    assert len(kept) == decision_log.LINES_PER_REQUEST_MAX


def test_bytes_are_never_written(sink):
    log = decision_log.DecisionLog(sink[1], lambda: 0.0)
    log.record(ROUTED, ids.RequestId("req"), body=b"secret", nested=({"a": b"secret"},))
    assert "secret" not in json.dumps(log.lines(ids.RequestId("req")))
    assert sink[0].records[0].body == "(6 bytes)"


def test_enums_are_written_by_their_value(sink):
    log = decision_log.DecisionLog(sink[1], lambda: 0.0)
    log.record(ROUTED, ids.RequestId("req"), ran=states.Ran.MAYBE)
    assert log.lines(ids.RequestId("req"))[0]["ran"] == "maybe"


def test_kept_lines_are_bounded_in_bytes(sink):
    log = decision_log.DecisionLog(sink[1], lambda: 0.0, explain_lines=1_000_000)
    for number in range(30):
        log.record(ROUTED, ids.RequestId(f"req-{number}"), estimates=["x" * 10**6])
    assert log.kept_bytes <= decision_log.KEPT_BYTES_MAX
    assert log.lines(ids.RequestId("req-29")) and not log.lines(ids.RequestId("req-0"))


def test_lines_on_stderr_are_json_with_the_vm():
    formatter = decision_log.json_formatter("vm-1", "north")
    record = logging.LogRecord("lacewingdrum", 20, "", 0, "routed", None, None)
    record.event = "routed"
    line = json.loads(formatter.format(record))
    assert line["vm_id"] == "vm-1" and line["event"] == "routed"
    assert line["level"] == "INFO" and line["at"].endswith("Z")


def test_page_lists_the_events():
    expected = {event.value for event in decision_log.DecisionEvent}
    assert {row[0] for row in pages.rows("Log lines")} == expected
