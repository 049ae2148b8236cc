"""Converts work on engines from and to the messages between daemons."""

from lacewingdrum_coordination import engine_load, engine_work_registry
from lacewingdrum_protocol import work_messages
from lacewingdrum_state import ids


def to_message(
    started: engine_work_registry.StartedWork,
) -> work_messages.WorkStarted:
    """Return the message for work that was sent to engines."""
    parts = tuple(_part_message(part) for part in started.parts)
    return work_messages.WorkStarted(
        started.work_id, parts, started.left_ms, started.rank, started.customer
    )


def _part_message(work: engine_load.Work) -> work_messages.WorkPart:
    return work_messages.WorkPart(
        runner_id=work.runner_id,
        read_ms=work.read_ms,
        writes=work.writes,
        pause_limit_ms=work.pause_limit_ms,
        first_due_ms=work.first_due_ms,
        loss=work.loss,
        context_tokens=work.context_tokens,
        memory_tokens=work.memory_tokens,
    )


def part_from_message(part: work_messages.WorkPart) -> engine_load.Work:
    """Return one engine's part of a request, as received from a peer."""
    return engine_load.Work(
        runner_id=ids.RunnerId(part.runner_id),
        read_ms=part.read_ms,
        writes=part.writes,
        pause_limit_ms=part.pause_limit_ms,
        first_due_ms=part.first_due_ms,
        loss=part.loss,
        context_tokens=part.context_tokens,
        memory_tokens=part.memory_tokens,
    )
