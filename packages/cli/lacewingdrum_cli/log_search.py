"""Searches logs for a request's lines and the state changes during it."""

import dataclasses
import pathlib
import sys
from collections.abc import Iterable

import msgspec
from result import Err

from lacewingdrum_protocol import operators_api
from lacewingdrum_state import decoding

OMITTED_FIELDS = ("level", "logger", "message", "data_centre")
STANDARD_INPUT = pathlib.Path("-")
# Events that can affect requests: changes of runners, of dependencies, of the
# configuration or of the daemon itself.
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

_line_decoder = msgspec.json.Decoder(dict[str, object])


@dataclasses.dataclass(frozen=True, slots=True)
class _Line:
    at: str
    fields: dict[str, object]


def find_request(
    paths: list[pathlib.Path], request_id: str
) -> operators_api.ExplainAnswer | None:
    """Search the log files of one or more daemons for a request.

    Args:
        paths: files with one JSON object per line, or ``-`` for standard
            input. Text before an object and lines without an object are
            ignored.
        request_id: the request to find.

    Returns:
        The request's lines in chronological order, together with the state
        changes that the same daemons logged meanwhile for its runners or for
        no runner in particular. None if the request has no line.

    Raises:
        OSError: If a file cannot be read.
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
        [*request_lines, *_select_relevant_changes(request_lines, state_lines)],
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


def _select_relevant_changes(
    request_lines: list[_Line], state_lines: list[_Line]
) -> list[_Line]:
    """Return the state changes between the request's first and last line.

    They are the changes on the VMs that logged the request, without changes
    of runners that the request's lines do not name.
    """
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
    decoded = decoding.decode(_line_decoder, text[start:])
    if isinstance(decoded, Err):
        return None
    fields = decoded.ok_value
    return _Line(str(fields.get("at", "")), fields)
