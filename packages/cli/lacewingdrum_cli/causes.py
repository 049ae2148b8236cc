"""Describes in a sentence how a request ended, from its log lines."""

from collections.abc import Sequence

_OUTCOME_TEXTS = {
    "runner_failure": "the runner answered with a failure, which was forwarded",
    "time_over": (
        "no complete answer came within the time limit, and the request may have run"
    ),
    "lost": "the runner's answer was lost, and the request may have run",
    "broken_off": "the stream was interrupted and could not continue on another runner",
    "caller_gone": "the caller disconnected before the answer was complete",
    "refused": "the request was refused before any runner ran it",
}
_ATTEMPT_FAILURE_TEXTS = {
    "not_connected": "could not be reached",
    "refused": "refused the request without running it",
    "other_runner": "had been replaced by another runner at its address",
    "helper_failed": "reported that a helper failed",
    "no_memory": "was not called, because an engine did not reserve memory",
    "failed_status": "answered with a failure",
    "lost": "did not complete its answer before the connection ended",
    "malformed": "sent an invalid answer",
    "too_large": "sent more than an answer may have",
    "silent": "sent nothing for too long",
    "foreign_answer": "sent the answer of another request",
    "no_receipt": "sent an answer without a required header or with a content encoding",
}
_REFUSAL_TEXTS = {
    "no_route": "no route of the configuration in force matches it",
    "no_customer": "no customer of the configuration in force has its credential",
    "not_ready": "the daemon had no configuration or no runner list yet",
    "no_service": "the route's service is not in the configuration",
    "other_configuration": "the peer it was passed on to has another configuration",
    "leaving": "the daemon was shutting down",
    "costs_others_more": "it would have cost other requests more than it is worth",
    "request_crashes_runners": "runners crashed on the same request before",
    "part_crashes_engines": "engines crashed under a part of its prompt",
}
_REPEAT_TEXTS = {
    "allowance": "the service's retry allowance was used up",
    "crashes_runners": "it was not sent once more, as runners crashed on it",
}


def describe_cause(lines: Sequence[dict[str, object]]) -> str:
    """Describe how a request ended and why.

    Args:
        lines: the request's log lines in chronological order.

    Returns:
        A sentence, or ``""`` if no line records the end of the request.
    """
    final_line = next(
        (line for line in reversed(lines) if line.get("event") in _FINAL_EVENTS), None
    )
    if final_line is None:
        return ""
    if final_line.get("event") == "finished":
        return "it was answered completely" + _describe_latency(final_line)
    refused_line = next(
        (line for line in lines if line.get("event") == "refused"), None
    )
    if refused_line is not None:
        reason = str(refused_line.get("reason", ""))
        return f"refused: {_REFUSAL_TEXTS.get(reason, reason)}"
    outcome = str(final_line.get("outcome", ""))
    text = _OUTCOME_TEXTS.get(outcome, outcome)
    attempt_texts = [
        _describe_attempt(line)
        for line in lines
        if line.get("event") in ("attempt_ended", "relayed")
    ]
    attempt_texts += [
        _REPEAT_TEXTS.get(str(line.get("reason")), _REPEAT_TEXTS["allowance"])
        for line in lines
        if line.get("event") == "repeat_refused"
    ]
    return f"{text}; {'; '.join(attempt_texts)}" if attempt_texts else text


_FINAL_EVENTS = frozenset(("finished", "failed", "refused"))


def _describe_attempt(line: dict[str, object]) -> str:
    if line.get("event") == "relayed":
        return f"passed on to {line.get('peer')}, as the daemon reached no runner"
    reason = str(line.get("reason", ""))
    reason_text = _ATTEMPT_FAILURE_TEXTS.get(reason, reason)
    detail = str(line.get("detail", ""))
    text = (
        f"attempt {line.get('attempt')}: runner {line.get('runner_id')} {reason_text}"
    )
    return f"{text} ({detail})" if detail else text


def _describe_latency(line: dict[str, object]) -> str:
    first, pause = line.get("first_event_ms"), line.get("longest_pause_ms")
    if first is None:
        return f", after {line.get('elapsed_ms')} ms"
    return f", first event after {first} ms, longest pause {pause} ms"
