"""Formats the answers of daemons as text for operators."""

import difflib

from lacewingdrum_cli import causes
from lacewingdrum_protocol import document_text, operators_api
from lacewingdrum_state import units

NO_CONTACT = "no contact yet"
DIGEST_CHARACTERS = 12


def format_faults(
    name: str,
    faults: tuple[document_text.DocumentError | operators_api.FaultEntry, ...],
) -> str:
    """Return one line for each fault in the file ``name``."""
    lines = []
    for fault in faults:
        key = f" {fault.key}:" if fault.key else ""
        lines.append(
            f"{name}:{fault.line}:{key} found {fault.found}; allowed: {fault.allowed}"
        )
    return "\n".join(lines)


def format_diff(old: str, new: str, old_name: str, new_name: str) -> str:
    """Return a unified diff of two texts, empty if they are equal."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), old_name, new_name, lineterm=""
    )
    return "\n".join(lines)


def format_status(answer: operators_api.StatusAnswer) -> str:
    """Return lines on the documents, then lines on the VMs."""
    ready = "ready" if answer.ready else "not ready"
    admission_text = "admits" if answer.may_admit else "admits no requests"
    lines = [
        f"seen from {answer.vm_id} in {answer.data_centre}: {ready}, {admission_text}"
    ]
    for service in answer.services:
        lines.extend(_service_lines(service))
    lines.append("VMs:")
    for vm in answer.vms:
        contact_text = f"last contact {vm.heard_age_ms / units.MS_PER_S:.1f} s ago"
        if vm.heard_age_ms < 0:
            contact_text = NO_CONTACT
        versions = ", ".join(f"{item.service} {item.version}" for item in vm.documents)
        lines.append(
            f"  {vm.vm_id} {vm.data_centre} {vm.state.value}, {contact_text}: "
            f"{versions or '-'}"
        )
    return "\n".join(lines)


def format_explanation(answer: operators_api.ExplainAnswer) -> str:
    """Return a heading, the log lines and, if known, the outcome's cause."""
    lines = [f"request {answer.request_id}, handled by {answer.vm_id}:"]
    for entry in answer.lines:
        fields = [
            f"{name}={_format_value(value)}"
            for name, value in entry.items()
            if name not in ("event", "request_id", "monotonic_s", "at")
        ]
        at = entry.get("at") or entry.get("monotonic_s", "")
        lines.append(f"  {at} {entry.get('event', '')} " + " ".join(fields))
    cause = causes.describe_cause(
        [line for line in answer.lines if "request_id" in line]
    )
    if cause:
        lines.append(f"cause: {cause}")
    return "\n".join(lines)


def _service_lines(service: operators_api.ServiceStatus) -> list[str]:
    rollout = "in force everywhere" if service.in_force_everywhere else "spreading"
    digest = service.digest[:DIGEST_CHARACTERS]
    lines = [f"{service.service}: version {service.version} ({digest}), {rollout}"]
    for centre in service.data_centres:
        count = len(centre.confirmed)
        line = f"  {centre.data_centre}: {count} of {count + len(centre.missing)}"
        if centre.missing:
            line += ", not confirmed by " + ", ".join(centre.missing)
        lines.append(line)
    if service.conflicting_digests:
        lines.append("  FAULT: different texts have this version number")
    return lines


def _format_value(value: object) -> str:
    match value:
        case dict():
            inner = ", ".join(
                f"{name}={_format_value(item)}" for name, item in value.items()
            )
            return "{" + inner + "}"
        case list():
            return "[" + ", ".join(_format_value(item) for item in value) + "]"
        case _:
            return str(value)
