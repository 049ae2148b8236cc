"""Which document versions a daemon holds and how fresh they are.

A daemon *holds* the highest version that it heard of, as text, and passes it
on. It *serves* the highest one that it could parse. A version written in a
newer daemon's syntax is held and passed on but not served, and the digests
go on naming the version that is served, so that ``status`` lists this daemon
as one that has not confirmed. Refusing the service's requests instead would
turn a document in new syntax into an outage while VMs are replaced.
"""

import dataclasses
import enum

from lacewingdrum_coordination import documents as submissions
from lacewingdrum_state import documents

POLL_INTERVAL_S = 1.0
QUIET_POLL_S = 2.0
MAX_POLL_INTERVAL_S = 30.0
MAX_POLL_JITTER_S = 1.0
# A heartbeat tells what its sender had when it was sent. One that is late
# adds its delay to this bound, and both have to stay below 5 s.
STALE_AFTER_S = 4.0
PEERS_WAIT_S = 2.5


class Change(enum.Enum):
    """What a version heard of did to what a daemon holds."""

    IGNORED = "ignored"
    ADOPTED = "adopted"
    HELD_UNPARSED = "held_unparsed"
    CORRUPT = "corrupt"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One service's versions at a daemon."""

    held: documents.StoredDocument
    served: documents.StoredDocument | None = None
    parsed: documents.ServiceDocument | None = None


def apply_version(
    entry: Entry | None,
    stored: documents.StoredDocument,
    parsed: documents.ServiceDocument | None,
) -> tuple[Entry | None, Change]:
    """Take in a version that the table or a peer names as accepted.

    Args:
        entry: what the daemon holds of the service.
        stored: the version.
        parsed: the same parsed; None where this daemon cannot.

    Returns:
        What it holds now, and what changed.
    """
    if stored.digest != submissions.digest_of(stored.text):
        return entry, Change.CORRUPT
    if entry is not None and stored.version <= entry.held.version:
        return entry, Change.IGNORED
    if parsed is not None and parsed.service == stored.service:
        return Entry(stored, stored, parsed), Change.ADOPTED
    if entry is None:
        return Entry(stored), Change.HELD_UNPARSED
    return dataclasses.replace(entry, held=stored), Change.HELD_UNPARSED


@dataclasses.dataclass(frozen=True, slots=True)
class Freshness:
    """When a daemon last heard of versions, on its monotonic clock.

    ``since_s`` is when it started, or was reached again after it had heard
    nothing for ``STALE_AFTER_S``. ``table_read_s`` is when the last whole answer of the
    table was asked for. ``peer_heartbeat_s`` is when a listed peer was last heard.
    ``versions_named`` says that a peer which is ready itself has named its versions
    since ``since_s``, and ``caught_up`` that nothing newer can be known.
    """

    since_s: float
    table_read_s: float | None = None
    peer_heartbeat_s: float | None = None
    versions_named: bool = False
    caught_up: bool = False
    was_ready: bool = False
    last_poll_s: float | None = None
    jitter_s: float = 0.0


def on_table_read(state: Freshness, asked_s: float) -> Freshness:
    """Args: asked_s: when the table was asked. Returns: the state after."""
    return dataclasses.replace(
        state, table_read_s=asked_s, caught_up=True, was_ready=True
    )


def on_peer_heartbeat(
    state: Freshness, now_s: float, names_versions: bool
) -> Freshness:
    """Note a heartbeat of a listed peer.

    Args:
        state: the state before.
        now_s: when it came.
        names_versions: whether it named any; a daemon names none before it
            is ready.

    Returns:
        The state after.
    """
    had_contact = _last_contact_s(state) > float("-inf")
    if had_contact and is_stale(state, now_s):
        # What was accepted meanwhile is not known, as after a start.
        state = dataclasses.replace(
            state, since_s=now_s, versions_named=False, caught_up=False
        )
    versions_named = state.versions_named or names_versions
    return dataclasses.replace(
        state, peer_heartbeat_s=now_s, versions_named=versions_named
    )


def check_ready(state: Freshness, now_s: float, missing: bool) -> Freshness:
    """Find out whether peers alone have made this daemon ready.

    Any one peer may lag behind, so a daemon that has no answer of the table
    first hears all of them for more than a heartbeat's interval.

    Args:
        state: the state before.
        now_s: the time.
        missing: whether a peer named a version that is not held yet.

    Returns:
        The state after; once ready, a daemon stays so.
    """
    waited = now_s >= state.since_s + PEERS_WAIT_S
    if state.caught_up or missing or not (state.versions_named and waited):
        return state
    return dataclasses.replace(state, caught_up=True, was_ready=True)


def is_stale(state: Freshness, now_s: float) -> bool:
    """Returns: whether neither table nor listed peer was reached lately."""
    return now_s - _last_contact_s(state) >= STALE_AFTER_S


def may_admit(state: Freshness, now_s: float) -> bool:
    """Returns: whether the versions held are fresh enough to act on."""
    return state.caught_up and not is_stale(state, now_s)


def poll_due(state: Freshness, now_s: float, is_poller: bool) -> bool:
    """Find out whether the table is to be asked now.

    Args:
        state: the state before.
        now_s: the time.
        is_poller: whether this daemon polls for its data centre.

    Returns:
        For the poller, and before the first answer, once each ``POLL_INTERVAL_S``;
        for others when they heard nothing for a while, and rarely otherwise.
    """
    if state.last_poll_s is None:
        return True
    since_poll_s = now_s - state.last_poll_s
    if is_poller or not state.caught_up:
        return since_poll_s >= POLL_INTERVAL_S
    quiet_s = min(since_poll_s, now_s - _last_contact_s(state))
    if quiet_s >= QUIET_POLL_S + state.jitter_s:
        return True
    return since_poll_s >= MAX_POLL_INTERVAL_S + state.jitter_s


def on_poll_started(state: Freshness, now_s: float, jitter: float) -> Freshness:
    """Note that the table is being asked.

    Args:
        state: the state before.
        now_s: the time.
        jitter: random, in 0 to 1, for the next time.

    Returns:
        The state after.
    """
    return dataclasses.replace(
        state, last_poll_s=now_s, jitter_s=jitter * MAX_POLL_JITTER_S
    )


def _last_contact_s(state: Freshness) -> float:
    contact_times = [
        time_s
        for time_s in (state.table_read_s, state.peer_heartbeat_s)
        if time_s is not None
    ]
    return max(contact_times, default=float("-inf"))
