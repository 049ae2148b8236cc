"""Tracks which document versions a daemon holds and how fresh they are.

A daemon *holds* the highest version that it received, as text, and forwards
it. It *serves* the highest version that it could parse. A version in the
syntax of a newer daemon is held and forwarded but not served. The digests
then still name the served version, so that ``status`` lists this daemon as
one that has not confirmed the new version. Refusing the service's requests
instead would turn a document in new syntax into an outage while VMs are
replaced.
"""

import dataclasses
import enum

from lacewingdrum_coordination import documents as submissions
from lacewingdrum_state import documents

POLL_INTERVAL_S = 1.0
QUIET_POLL_S = 2.0
MAX_POLL_INTERVAL_S = 30.0
MAX_POLL_JITTER_S = 1.0
# A daemon without any contact for this long admits no requests. A heartbeat
# names the versions that its sender held when it was sent, so its delay adds
# to this bound. The sum must stay below 5 s.
STALE_AFTER_S = 4.0
PEERS_WAIT_S = 2.5


class Change(enum.Enum):
    """How a received version changed what a daemon holds."""

    IGNORED = "ignored"
    ADOPTED = "adopted"
    HELD_UNPARSED = "held_unparsed"
    CORRUPT = "corrupt"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The versions of one service at a daemon."""

    held: documents.StoredDocument
    served: documents.StoredDocument | None = None
    parsed: documents.ServiceDocument | None = None


def apply_version(
    entry: Entry | None,
    stored: documents.StoredDocument,
    parsed: documents.ServiceDocument | None,
) -> tuple[Entry | None, Change]:
    """Apply an accepted version that the table or a peer sent.

    Args:
        entry: the service's versions before, or None if there are none.
        stored: the received version.
        parsed: that version parsed, or None if this daemon cannot parse it.

    Returns:
        The service's versions after, and what changed.
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
    """When a daemon last received versions, on its monotonic clock.

    ``since_s`` is when it started, or when contact resumed after a gap of
    ``STALE_AFTER_S`` or more. ``table_read_s`` is when the last complete read
    of the table began, and ``peer_heartbeat_s`` when the last heartbeat of a
    listed peer arrived. ``versions_named`` is true if a peer that is ready
    has named its versions since ``since_s``. ``caught_up`` is true once the
    daemon holds every version that it can know of.
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
    """Record a complete read of the table that began at ``asked_s``."""
    return dataclasses.replace(
        state, table_read_s=asked_s, caught_up=True, was_ready=True
    )


def on_peer_heartbeat(
    state: Freshness, now_s: float, names_versions: bool
) -> Freshness:
    """Record a heartbeat of a listed peer.

    Args:
        state: the state before.
        now_s: when the heartbeat arrived.
        names_versions: whether it names any version. A daemon that is not
            ready names none.

    Returns:
        The state after.
    """
    had_contact = _last_contact_s(state) > float("-inf")
    if had_contact and is_stale(state, now_s):
        # Versions accepted in the meantime are unknown, as after a start.
        state = dataclasses.replace(
            state, since_s=now_s, versions_named=False, caught_up=False
        )
    versions_named = state.versions_named or names_versions
    return dataclasses.replace(
        state, peer_heartbeat_s=now_s, versions_named=versions_named
    )


def check_ready(state: Freshness, now_s: float, missing: bool) -> Freshness:
    """Mark this daemon as ready if heartbeats of peers are sufficient.

    A single peer may not have received the newest versions. A daemon that got
    no reply from the table therefore waits for ``PEERS_WAIT_S``, which is
    longer than the heartbeat interval, to receive heartbeats of all peers.

    Args:
        state: the state before.
        now_s: the time on the daemon's monotonic clock.
        missing: whether a peer named a version that is not held yet.

    Returns:
        The state after. ``was_ready`` is never reset.
    """
    waited = now_s >= state.since_s + PEERS_WAIT_S
    if state.caught_up or missing or not (state.versions_named and waited):
        return state
    return dataclasses.replace(state, caught_up=True, was_ready=True)


def is_stale(state: Freshness, now_s: float) -> bool:
    """Return whether the last contact is ``STALE_AFTER_S`` or more ago."""
    return now_s - _last_contact_s(state) >= STALE_AFTER_S


def may_admit(state: Freshness, now_s: float) -> bool:
    """Return whether the held versions are fresh enough to admit requests."""
    return state.caught_up and not is_stale(state, now_s)


def poll_due(state: Freshness, now_s: float, is_poller: bool) -> bool:
    """Return whether the table must be polled now.

    The first poll is due at once. After that the poller of a data centre, and
    a daemon that has not caught up, polls every ``POLL_INTERVAL_S``. Other
    daemons poll when they had no contact for ``QUIET_POLL_S`` and at least
    every ``MAX_POLL_INTERVAL_S``, each plus jitter.

    Args:
        state: the state before.
        now_s: the time on the daemon's monotonic clock.
        is_poller: whether this daemon polls for its data centre.
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
    """Record that a poll of the table starts.

    Args:
        state: the state before.
        now_s: the time on the daemon's monotonic clock.
        jitter: a random number from 0 to 1 that delays the next poll.

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
