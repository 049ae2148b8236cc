"""Tests of the log search and of the described causes."""

import json
import pathlib

from lacewingdrum_cli import causes, log_search, rendering

REQUEST = "9c41d07b"


def line(at: str, event: str, vm_id: str = "vm-1", **fields: object) -> str:
    return json.dumps({"at": at, "event": event, "vm_id": vm_id, **fields}) + "\n"


def write_logs(folder: pathlib.Path, *texts: str) -> list[pathlib.Path]:
    paths = []
    for number, text in enumerate(texts):
        path = folder / f"{number}.log"
        path.write_text(text)
        paths.append(path)
    return paths


def test_find_request_orders_its_lines_and_adds_state_changes_between_them(folder):
    first_log = line("3", "failed", request_id=REQUEST, outcome="lost")
    first_log += " 12.3 vm-1 " + line("1", "routed", request_id=REQUEST, runner_id="r1")
    first_log += line("2", "runner_suspected", runner_id="r1")
    first_log += line("2", "runner_suspected", runner_id="r2")
    first_log += line("9", "runner_cleared", runner_id="r1") + "no object\n{torn\n"
    second_log = line("2", "runner_suspected", "vm-2", runner_id="r1")
    found = log_search.find_request(write_logs(folder, first_log, second_log), REQUEST)
    assert [entry["event"] for entry in found.lines] == [
        "routed",
        "runner_suspected",
        "failed",
    ]
    assert found.vm_id == "vm-1"
    assert log_search.find_request(write_logs(folder, first_log), "unknown") is None


def test_cause_names_the_attempts_that_failed(folder):
    text = line("1", "routed", request_id=REQUEST, runner_id="r1", attempt=1)
    text += line(
        "2",
        "attempt_ended",
        request_id=REQUEST,
        runner_id="r1",
        attempt=1,
        reason="lost",
        detail="connection reset",
    )
    text += line("3", "failed", request_id=REQUEST, outcome="lost")
    found = log_search.find_request(write_logs(folder, text), REQUEST)
    shown = rendering.format_explanation(found)
    assert "cause: the runner's answer was lost" in shown
    assert (
        "attempt 1: runner r1 did not complete its answer before the connection "
        "ended (connection reset)" in shown
    )


def test_cause_for_each_final_event():
    assert "no route" in causes.describe_cause(
        [{"event": "refused", "reason": "no_route"}]
    )
    finished_line = {
        "event": "finished",
        "first_event_ms": 90.0,
        "longest_pause_ms": 245.0,
    }
    assert causes.describe_cause([finished_line]).endswith("longest pause 245.0 ms")
    assert causes.describe_cause([{"event": "routed"}]) == ""
    refused_lines = [
        {"event": "refused", "reason": "costs_others_more", "prompt_tokens": 188_270},
        {"event": "failed", "outcome": "refused"},
    ]
    assert "cost other requests more" in causes.describe_cause(refused_lines)
    failed_lines = [
        {"event": "repeat_refused"},
        {"event": "failed", "outcome": "time_over"},
    ]
    assert "allowance" in causes.describe_cause(failed_lines)
    relayed = {"event": "relayed", "peer": "10.0.0.1:7"}
    assert "passed on to 10.0.0.1:7" in causes.describe_cause([relayed, *failed_lines])
