"""State machine of a lease row in the table, without synchronised clocks.

The table is a service of the platform whose rows all daemons share. Each row
has a version, and a write by compare-and-set names the version that it must
have.

The row holds the holder, a fencing number and a counter that each renewal
increments. No daemon compares its clock with another daemon's:

- The holder measures its term from just before it sent the renewal, and
  treats the lease as expired a margin before the term ends.
- A successor measures a whole term from when it first saw the row in its
  present version. It then acquires the lease by compare-and-set, which fails
  if the row has changed.

The holder's term always ends before a successor's wait: it starts when the
renewal is sent, which is before any daemon can see the renewed row. Writes
whose reply was lost need no further handling, because each write names the
row version that it must match, and only a confirmed renewal extends the
holder's term.
"""

import dataclasses

from lacewingdrum_state import ids, leases

TERM_S = 10.0
EXPIRY_MARGIN_S = 2.0
RENEWAL_INTERVAL_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """One lease as seen by one daemon.

    ``row_version`` and ``row`` are what the daemon saw last, and
    ``unchanged_since_s`` is when it first saw that version. If the daemon
    holds the lease, ``own_fencing_number`` is the number that it acquired the
    lease with, and the lease is valid until ``valid_until_s``.
    ``pending_row`` is the row of the write in progress, which was sent at
    ``pending_sent_s``.
    """

    holder: ids.VmId
    row_version: int = 0
    row: leases.LeaseRow | None = None
    unchanged_since_s: float | None = None
    own_fencing_number: ids.FencingNumber | None = None
    valid_until_s: float = float("-inf")
    next_renewal_s: float = float("-inf")
    pending_row: leases.LeaseRow | None = None
    pending_sent_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; ``wanted`` is true if this daemon should hold the lease."""

    wanted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RowRead:
    """The row was read; version 0 means that it does not exist.

    ``row`` is None if the row does not exist or could not be decoded.
    """

    row_version: int
    row: leases.LeaseRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class WriteReply:
    """The table replied to a write with the current row."""

    applied: bool
    row_version: int
    row: leases.LeaseRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailed:
    """A read or write got no reply; the write may still be applied."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """A runner has seen a higher fencing number."""


Event = Tick | RowRead | WriteReply | CallFailed | Fenced


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the lease's row."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRow:
    """Write the row if its version is still ``if_version``."""

    row: leases.LeaseRow
    if_version: int


Action = ReadRow | WriteRow
Step = tuple[Lease, Action | None]


def is_valid(lease: Lease, now_s: float) -> bool:
    """Return whether this daemon is certain to be the only holder.

    Args:
        lease: the lease.
        now_s: the time on the daemon's monotonic clock, which must be read
            immediately before a placement order is sent.
    """
    return lease.own_fencing_number is not None and now_s < lease.valid_until_s


def step(lease: Lease, event: Event, now_s: float) -> Step:
    """Process one event of a lease.

    Args:
        lease: the state before the event.
        event: the event; a ``Tick`` only while no call is in progress.
        now_s: the time on the daemon's monotonic clock.

    Returns:
        The state after the event, and the call to make, if any.
    """
    match event:
        case Tick(True) if lease.own_fencing_number is None:
            return lease, ReadRow()
        case Tick(True) if now_s >= lease.next_renewal_s:
            return _renew(lease, now_s)
        case Tick(False):
            return _give_up(lease), None
        case RowRead(row_version, row):
            return _on_row_read(_observe_row(lease, row_version, row, now_s), now_s)
        case WriteReply():
            return _on_write_reply(lease, event, now_s), None
        case Fenced():
            return _give_up(lease), None
    return lease, None


def _observe_row(
    lease: Lease, row_version: int, row: leases.LeaseRow | None, now_s: float
) -> Lease:
    if lease.unchanged_since_s is not None and row_version == lease.row_version:
        return lease
    return dataclasses.replace(
        lease, row_version=row_version, row=row, unchanged_since_s=now_s
    )


def _on_row_read(lease: Lease, now_s: float) -> Step:
    if lease.row_version == 0:
        return _acquire(lease, ids.FencingNumber(1), now_s)
    if lease.row is None or lease.unchanged_since_s is None:
        return lease, None
    if lease.row.holder == lease.holder:
        # The reply to an acquisition was lost, or the write was applied late.
        # The start of its term is unknown, so the lease is not valid before
        # the next renewal is confirmed.
        return _renew(
            dataclasses.replace(lease, own_fencing_number=lease.row.fencing_number),
            now_s,
        )
    if now_s < lease.unchanged_since_s + TERM_S:
        return lease, None
    return _acquire(lease, ids.FencingNumber(lease.row.fencing_number + 1), now_s)


def _acquire(lease: Lease, number: ids.FencingNumber, now_s: float) -> Step:
    return _write(lease, leases.LeaseRow(lease.holder, number, 0), now_s)


def _renew(lease: Lease, now_s: float) -> Step:
    assert lease.own_fencing_number is not None
    counter = 0 if lease.row is None else lease.row.counter + 1
    return _write(
        lease, leases.LeaseRow(lease.holder, lease.own_fencing_number, counter), now_s
    )


def _write(lease: Lease, row: leases.LeaseRow, now_s: float) -> Step:
    lease = dataclasses.replace(lease, pending_row=row, pending_sent_s=now_s)
    return lease, WriteRow(row, lease.row_version)


def _on_write_reply(lease: Lease, reply: WriteReply, now_s: float) -> Lease:
    pending_row = lease.pending_row
    lease = _observe_row(lease, reply.row_version, reply.row, now_s)
    lease = dataclasses.replace(lease, pending_row=None)
    if reply.applied and pending_row is not None:
        return dataclasses.replace(
            lease,
            row=pending_row,
            own_fencing_number=pending_row.fencing_number,
            valid_until_s=lease.pending_sent_s + TERM_S - EXPIRY_MARGIN_S,
            next_renewal_s=lease.pending_sent_s + RENEWAL_INTERVAL_S,
        )
    if reply.row is not None and reply.row.holder == lease.holder:
        # An earlier write of this daemon has been applied. The next renewal
        # is based on its row version.
        return dataclasses.replace(
            lease,
            own_fencing_number=reply.row.fencing_number,
            next_renewal_s=float("-inf"),
        )
    return _give_up(lease)


def _give_up(lease: Lease) -> Lease:
    return dataclasses.replace(
        lease,
        own_fencing_number=None,
        valid_until_s=float("-inf"),
        next_renewal_s=float("-inf"),
        pending_row=None,
    )
