"""Converts the list of runners to and from the messages between daemons."""

import math

from lacewingdrum_coordination import runner_list_history
from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import (
    addresses,
    bounds,
    cold_reports,
    ids,
    runner_entries,
    states,
)


def change_from_push(
    push: peer_messages.RunnerListPush,
) -> runner_list_history.ListChange:
    """Return the change of the list that a peer sent."""
    entries = (entry_from_message(message) for message in push.changed)
    return runner_list_history.ListChange(
        base=push.base,
        digest=push.digest,
        changed=tuple(entry for entry in entries if entry is not None),
        removed=tuple(ids.RunnerId(name) for name in push.removed),
    )


def message_from_entry(
    entry: runner_entries.RunnerEntry,
) -> peer_messages.RunnerListEntry:
    """Return the message for an entry."""
    return peer_messages.RunnerListEntry(
        runner_id=entry.runner_id,
        service=entry.service,
        data_centre=entry.data_centre,
        address=str(entry.address),
        slots=entry.slots,
        leaving=entry.state is states.MemberState.LEAVING,
        born_ms=entry.born_ms,
    )


def entry_from_message(
    message: peer_messages.RunnerListEntry,
) -> runner_entries.RunnerEntry | None:
    """Return the entry that a peer sent, or None if it names no runner."""
    address = addresses.parse_address(message.address)
    if address is None:
        return None
    leaving = states.MemberState.LEAVING
    entry = runner_entries.RunnerEntry(
        runner_id=ids.RunnerId(message.runner_id),
        service=ids.ServiceName(message.service),
        data_centre=ids.DataCentre(message.data_centre),
        address=address,
        slots=message.slots,
        state=leaving if message.leaving else states.MemberState.LIVE,
        born_ms=message.born_ms,
    )
    # A peer of an older version may pass on entries that this one refuses.
    return entry if runner_entries.find_fault(entry) is None else None


def message_from_cold(report: cold_reports.ColdReport) -> peer_messages.ColdReport:
    """Return the message for a report of a cold runner."""
    left_ms = min(max(math.ceil(report.left_ms), 0), bounds.AGE_MAX_MS)
    return peer_messages.ColdReport(
        report.runner_id, report.born_ms, left_ms, report.seq
    )


def cold_from_push(
    push: peer_messages.RunnerListPush,
) -> tuple[cold_reports.ColdReport, ...]:
    """Return what a peer has reported of cold runners."""
    return tuple(
        cold_reports.ColdReport(
            ids.RunnerId(message.runner_id),
            message.born_ms,
            message.left_ms,
            message.seq,
        )
        for message in push.cold
    )
