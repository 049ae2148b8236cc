"""Finds a request's lines, and what was believed of its runners, in logs."""

import dataclasses
import pathlib
import sys
from collections.abc import Iterable

import msgspec

from lacewingdrum_protocol import operators_api

OMITTED_FIELDS = ("level", "logger", "message", "data_centre")
STANDARD_INPUT = pathlib.Path("-")
# Lines on a runner, a peer or a dependency that a request may have met.
STATE_EVENTS = frozenset(
    (
        "runner_changed",
        "runner_suspected",
        "runner_cleared",
        "help_refused",
        "dependency_lost",
        "dependency_regained",
        "configuration_taken",
        "suspended",
        "leaving",
        "started",
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Line:
    at: str
    fields: dict[str, object]


def find_request(
    paths: list[pathlib.Path], request_id: str
) -> operators_api.ExplainAnswer | None:
    """Search log files of one or more daemons.

    Args:
        paths: files with one JSON object a line, ``-`` for standard input;
            what stands before an object is passed over, and other lines too.
        request_id: the request.

    Returns:
        Its lines in order of time, with those lines between them that tell
        what the same daemons believed of its runners; None if it has none.

    Raises:
        OSError: a file cannot be read.
    """
    request_lines: list[_Line] = []
    state_lines: list[_Line] = []
    for path in paths:
        for text in _read_lines(path):
            parsed = _parse_line(text)
            if parsed is None:
                continue
            if parsed.fields.get("request_id") == request_id:
                request_lines.append(parsed)
            elif parsed.fields.get("event") in STATE_EVENTS:
                state_lines.append(parsed)
    if not request_lines:
        return None
    request_lines.sort(key=lambda line: line.at)
    lines = sorted(
        [*request_lines, *_concerning_request(request_lines, state_lines)],
        key=lambda line: line.at,
    )
    vm_ids = dict.fromkeys(str(line.fields.get("vm_id", "?")) for line in request_lines)
    entries = tuple(
        {
            name: value
            for name, value in line.fields.items()
            if name not in OMITTED_FIELDS
        }
        for line in lines
    )
    return operators_api.ExplainAnswer(request_id, ", ".join(vm_ids), entries)


def _concerning_request(
    request_lines: list[_Line], state_lines: list[_Line]
) -> list[_Line]:
    """Returns: the beliefs that were formed while the request was there."""
    vm_ids = {line.fields.get("vm_id") for line in request_lines}
    runners = {line.fields.get("runner_id") for line in request_lines} - {None}
    first, last = request_lines[0].at, request_lines[-1].at
    return [
        line
        for line in state_lines
        if line.fields.get("vm_id") in vm_ids
        and first <= line.at <= last
        and line.fields.get("runner_id") in (None, *runners)
    ]


def _read_lines(path: pathlib.Path) -> Iterable[str]:
    if path == STANDARD_INPUT:
        yield from sys.stdin
        return
    with path.open(encoding="utf-8", errors="replace") as file:
        yield from file


def _parse_line(text: str) -> _Line | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:], type=dict[str, object])
    except msgspec.MsgspecError:
        return None
    return _Line(str(fields.get("at", "")), fields)
