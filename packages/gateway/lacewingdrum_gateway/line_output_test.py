import json
import logging
import os

from lacewingdrum_gateway import line_output
from lacewingdrum_runtime import decision_log


class Pipe:
    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        os.set_blocking(self.writer, False)
        self.rest = b""

    def lines(self) -> list[dict[str, object]]:
        data = self.rest
        while True:
            try:
                part = os.read(self.reader, 65_536)
            except BlockingIOError:
                break
            data += part
        whole, _, self.rest = data.rpartition(b"\n")
        return [json.loads(line) for line in whole.splitlines()]


def output(now_s=lambda: 0.0) -> tuple[Pipe, line_output.LineOutput]:
    pipe = Pipe()
    handler = line_output.LineOutput(pipe.writer, now_s)
    handler.setFormatter(decision_log.json_formatter("vm-1", "north"))
    return pipe, handler


def emit(handler, text: str, level: int = logging.INFO) -> None:
    handler.emit(logging.LogRecord("lacewingdrum", level, "", 0, text, None, None))


def test_lines_are_written_together():
    pipe, handler = output()
    emit(handler, "one")
    emit(handler, "two")
    assert pipe.lines() == []
    handler.flush()
    assert [line["message"] for line in pipe.lines()] == ["one", "two"]


def test_lines_are_dropped_when_the_reader_does_not_read():
    pipe, handler = output()
    text = "x" * 10_000
    for _ in range(400):
        emit(handler, text, logging.WARNING)
        handler.flush()
    assert handler.dropped_count > 0
    dropped = handler.dropped_count
    while handler.has_unwritten:
        pipe.lines()
        handler.flush()
    pipe.lines()
    handler._report_dropped()
    handler.flush()
    (last,) = pipe.lines()
    assert last["event"] == "lines_dropped" and last["count"] == dropped


def test_lines_over_the_limit_per_second_are_dropped_except_warnings():
    second = [0.0]
    _, handler = output(lambda: second[0])
    for _ in range(line_output.LINES_PER_SECOND_MAX + 10):
        emit(handler, "many")
    emit(handler, "grave", logging.WARNING)
    assert handler.dropped_count == 10
    second[0] = 1.0
    emit(handler, "later")
    assert handler.dropped_count == 10
