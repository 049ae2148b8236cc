"""Finds a request's lines in log files of JSON lines."""

import pathlib

import msgspec

from lacewingdrum_protocol import operators_api

LEFT_OUT = ("level", "logger", "message", "vm_id", "data_centre")


def find(
    paths: list[pathlib.Path], request_id: str
) -> operators_api.ExplainAnswer | None:
    """Search log files.

    Args:
        paths: files with one JSON object a line; other lines are passed over.
        request_id: the request.

    Returns:
        Its lines, or None where there are none.

    Raises:
        OSError: a file cannot be read.
    """
    lines: list[dict[str, object]] = []
    vm_ids: dict[str, None] = {}
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                if request_id not in text:
                    continue
                line = _line(text)
                if line.get("request_id") != request_id:
                    continue
                vm_ids[str(line.get("vm_id", "?"))] = None
                lines.append({k: v for k, v in line.items() if k not in LEFT_OUT})
    if not lines:
        return None
    return operators_api.ExplainAnswer(request_id, ", ".join(vm_ids), tuple(lines))


def _line(text: str) -> dict[str, object]:
    try:
        return msgspec.json.decode(text, type=dict[str, object])
    except msgspec.MsgspecError:
        return {}
