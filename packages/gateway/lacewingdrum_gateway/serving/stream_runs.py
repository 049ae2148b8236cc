"""Decides whether an answer is a run of the stream that a caller receives."""

from lacewingdrum_gateway.serving import attempt_ends
from lacewingdrum_protocol import event_sequence, event_stream
from lacewingdrum_state import states
from lacewingdrum_transport import http_client, http_messages

EVENT_STREAM = "text/event-stream"
_ENDS_TOO_EARLY = frozenset(
    (
        event_sequence.StreamFault.ENDED_INSIDE_EVENT,
        event_sequence.StreamFault.ENDED_BEFORE_EVENTS,
    )
)


def head_failure(
    reader: http_client.ResponseReader, has_begun: bool
) -> attempt_ends.AttemptEnd | None:
    """Return the end of an attempt whose successful answer is no run.

    Args:
        reader: the answer.
        has_begun: whether the caller's answer has, so that this one has to be
            joined to it.
    """
    media_type = _media_type(reader)
    if media_type not in ("", EVENT_STREAM):
        return _malformed(f"no event stream, but {media_type}")
    if has_begun and reader.status != http_messages.STATUS_OK:
        return _malformed(f"status {reader.status} after the stream has begun")
    return None


def event_failure(events: event_stream.EventStream) -> attempt_ends.AttemptEnd | None:
    """Return the end of an attempt with an event that is not the next one."""
    if events.fault is None:
        return None
    return _malformed(f"{events.fault.value}, after event {events.last_event_id!r}")


def end_failure(
    events: event_stream.EventStream,
    reader: http_client.ResponseReader,
    has_begun: bool,
) -> attempt_ends.AttemptEnd | None:
    """Return the end of an attempt whose run has ended, but not the stream.

    Args:
        events: the events of the run.
        reader: the answer, which has ended without an error.
        has_begun: as for ``head_failure``.
    """
    is_end_stated = reader.answer_end is not http_client.AnswerEnd.CONNECTION_CLOSE
    if has_begun and _media_type(reader) != EVENT_STREAM:
        is_end_stated = False
    fault = events.find_end_fault(is_end_stated)
    if fault is None:
        return None
    if fault not in _ENDS_TOO_EARLY:
        return event_failure(events)
    return attempt_ends.AttemptEnd(
        states.AttemptState.UNKNOWN, attempt_ends.EndReason.LOST, fault.value
    )


def _media_type(reader: http_client.ResponseReader) -> str:
    content_type = http_messages.header_value(reader.headers, "content-type")
    return content_type.partition(";")[0].strip().lower()


def _malformed(detail: str) -> attempt_ends.AttemptEnd:
    return attempt_ends.AttemptEnd(
        states.AttemptState.UNKNOWN, attempt_ends.EndReason.MALFORMED, detail
    )
