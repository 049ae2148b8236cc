"""Logs decisions as JSON on stderr and keeps recent lines for ``/explain/``.

A line contains names, numbers and reasons. No part of a body that a caller or
a runner sent may be passed to ``record``. As a safeguard, ``record`` replaces
bytes by their length.
"""

import collections
import enum
import logging
import sys
import time
from collections.abc import Callable

import msgspec
from pythonjsonlogger import json as json_logging

from lacewingdrum_state import ids

ROOT_LOGGER = "lacewingdrum"
LINE_FIELDS = "%(levelname)s %(name)s %(message)s"
LINES_PER_REQUEST_MAX = 200
KEPT_BYTES_MAX = 24 * 1024 * 1024


_PLAIN_TYPES = frozenset((str, int, bool, type(None)))
_encoder = msgspec.json.Encoder(enc_hook=str)
_decoder = msgspec.json.Decoder(dict[str, object])


class DecisionEvent(enum.Enum):
    """The kinds of decision lines; the value is the line's ``event``."""

    ROUTED = "routed"
    ADMITTED = "admitted"
    PUT_OFF = "put_off"
    REFUSED = "refused"
    FINISHED = "finished"
    FAILED = "failed"
    ORDER_ANSWERED = "order_answered"
    PLACEMENT_ORDERED = "placement_ordered"
    PLACEMENT_REPAIRED = "placement_repaired"
    LEASE_TAKEN = "lease_taken"
    LEASE_LOST = "lease_lost"
    DOCUMENT_SUBMITTED = "document_submitted"
    DOCUMENT_ACCEPTED = "document_accepted"
    DOCUMENT_CONFLICT = "document_conflict"
    DOCUMENT_UNSETTLED = "document_unsettled"
    STARTED = "started"
    LEAVING = "leaving"
    STOPPED = "stopped"
    CUT = "cut"
    RELOADED = "reloaded"
    DEPENDENCY_LOST = "dependency_lost"
    DEPENDENCY_REGAINED = "dependency_regained"
    STORE_RETURNED = "store_returned"
    CONFIGURATION_TAKEN = "configuration_taken"
    CONFIGURATION_SENT = "configuration_sent"
    RUNNER_CHANGED = "runner_changed"
    RUNNER_SUSPECTED = "runner_suspected"
    RUNNER_PAUSED = "runner_paused"
    RUNNER_LIMITED = "runner_limited"
    RUNNER_COLD = "runner_cold"
    EVACUATION_CHANGED = "evacuation_changed"
    EVACUATIONS_UNKNOWN = "evacuations_unknown"
    EVACUATIONS_FULL = "evacuations_full"
    RUNNER_CRASHED = "runner_crashed"
    PROMPT_PART_CHANGED = "prompt_part_changed"
    CRASHING_REQUEST_CHANGED = "crashing_request_changed"
    REACH_CHANGED = "reach_changed"
    RELAYED = "relayed"
    HELP_REFUSED = "help_refused"
    RUNNER_CLEARED = "runner_cleared"
    PEER_JOINED = "peer_joined"
    PEER_LOST = "peer_lost"
    ATTEMPT_SILENT = "attempt_silent"
    EVENT_LATE = "event_late"
    ATTEMPT_ENDED = "attempt_ended"
    MEMORY_RESERVED = "memory_reserved"
    MEMORY_LAPSES = "memory_lapses"
    REPEAT_REFUSED = "repeat_refused"
    SUSPENDED = "suspended"
    LOOP_LATE = "loop_late"
    LINES_DROPPED = "lines_dropped"


class DecisionLog:
    """Writes decision lines and keeps the most recent ones in memory.

    ``explain_lines`` and ``KEPT_BYTES_MAX`` limit the lines kept for all
    requests together; the lines of the oldest request are dropped first.
    """

    def __init__(
        self,
        logger: logging.Logger,
        clock: Callable[[], float],
        explain_lines: int = 20_000,
    ) -> None:
        self._logger = logger
        self._clock = clock
        self._explain_lines = explain_lines
        self._kept: collections.OrderedDict[str, list[bytes]]
        self._kept = collections.OrderedDict()
        self._kept_count = 0
        self._kept_bytes = 0

    @property
    def kept_bytes(self) -> int:
        """Total size of the lines that are kept."""
        return self._kept_bytes

    def record(
        self, event: DecisionEvent, request_id: ids.RequestId | None, **fields: object
    ) -> None:
        """Write one line.

        Args:
            event: the kind of decision.
            request_id: the request concerned; None for the daemon itself.
            fields: names, numbers, enums, and lists or maps of them. A field
                name ends in its unit.
        """
        line: dict[str, object] = {"event": event.value}
        if request_id is not None:
            line["request_id"] = request_id
        line["monotonic_s"] = round(self._clock(), 6)
        for name, value in fields.items():
            line[name] = _to_plain_value(value)
        self._logger.info(event.value, extra=line)
        if request_id is not None:
            self._store(request_id, _encoder.encode(line))

    def lines(self, request_id: ids.RequestId) -> tuple[dict[str, object], ...]:
        """Return the lines of a request that are still kept."""
        return tuple(_decoder.decode(line) for line in self._kept.get(request_id, ()))

    def _store(self, request_id: str, line: bytes) -> None:
        lines = self._kept.setdefault(request_id, [])
        if len(lines) >= LINES_PER_REQUEST_MAX:
            return
        lines.append(line)
        self._kept_count += 1
        self._kept_bytes += len(line)
        while self._is_over_limit() and len(self._kept) > 1:
            _, oldest = self._kept.popitem(last=False)
            self._kept_count -= len(oldest)
            self._kept_bytes -= sum(len(kept) for kept in oldest)

    def _is_over_limit(self) -> bool:
        if self._kept_count > self._explain_lines:
            return True
        return self._kept_bytes > KEPT_BYTES_MAX


def json_formatter(vm_id: str, data_centre: str) -> logging.Formatter:
    """Return a formatter of JSON lines with the VM and the data centre."""
    formatter = json_logging.JsonFormatter(
        LINE_FIELDS,
        static_fields={"vm_id": vm_id, "data_centre": data_centre},
        rename_fields={"levelname": "level", "name": "logger"},
        timestamp="at",
        json_serializer=_serialize,
    )
    formatter.converter = time.gmtime
    return formatter


def set_up_logging(vm_id: str, data_centre: str) -> logging.Logger:
    """Write the log of this process to stderr as JSON lines.

    Args:
        vm_id: included in each line.
        data_centre: included in each line.

    Returns:
        The logger for decision lines.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(json_formatter(vm_id, data_centre))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    return logging.getLogger(ROOT_LOGGER)


def _serialize(line: object, **_options: object) -> str:
    return _encoder.encode(line).decode()


def _to_plain_value(value: object) -> object:
    # A routing line has hundreds of values, so the cheap checks of the exact
    # type come first.
    if type(value) in _PLAIN_TYPES:
        return value
    if type(value) is float:
        return round(value, 6)
    match value:
        case enum.Enum():
            return value.value
        case bytes() | bytearray() | memoryview():
            return f"({len(value)} bytes)"
        case dict():
            return {str(name): _to_plain_value(item) for name, item in value.items()}
        case list() | tuple() | set() | frozenset():
            return [_to_plain_value(item) for item in value]
        case _:
            return str(value)
