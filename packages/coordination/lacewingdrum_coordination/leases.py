"""A lease in the table, without synchronous clocks: a state machine.

The row holds the holder, a fencing number and a counter that each renewal
raises. Nobody reads another's clock:

- The holder counts its term from before it sent the renewal, and stops a
  margin early.
- A successor counts the whole term from when it first saw the row as it is,
  and then takes it by compare-and-set, which fails if the row moved on.

The holder's term has ended before a successor's count can: it began when the
renewal was sent, which is before anyone could see the renewed row. Writes
whose reply was lost need no more than that: each names the version it builds
on, and a holder's term only grows by a renewal that was confirmed.
"""

import dataclasses

from lacewingdrum_state import ids, leases

TERM_S = 10.0
MARGIN_S = 2.0
RENEW_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """One lease as one daemon sees it.

    ``row_version`` and ``row`` are what it saw last, unchanged since
    ``seen_s``. ``mine`` is the fencing number it took the lease with, and
    ``valid_until_s`` the end of its term. ``pending`` is a row that it
    writes, sent at ``pending_s``.
    """

    holder: ids.VmId
    row_version: int = 0
    row: leases.LeaseRow | None = None
    seen_s: float | None = None
    mine: ids.FencingNumber | None = None
    valid_until_s: float = float("-inf")
    renew_s: float = float("-inf")
    pending: leases.LeaseRow | None = None
    pending_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; ``wanted`` says whether this daemon shall hold it."""

    wanted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RowRead:
    """The row as the table has it; version 0 if absent.

    ``row`` is None as well where it cannot be read.
    """

    row_version: int
    row: leases.LeaseRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class RowWritten:
    """The table answered a write with the row as it now stands."""

    applied: bool
    row_version: int
    row: leases.LeaseRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailed:
    """A read or write brought no answer; the write may land yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """A runner has seen a higher fencing number."""


Event = Tick | RowRead | RowWritten | CallFailed | Fenced


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the lease's row."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRow:
    """Write the row, if it still is at ``if_version``."""

    row: leases.LeaseRow
    if_version: int


Action = ReadRow | WriteRow
Step = tuple[Lease, Action | None]


def may_order(lease: Lease, now_s: float) -> bool:
    """Find out whether an order may be sent now.

    Args:
        lease: the lease.
        now_s: the time, read right before the send.

    Returns:
        Whether this daemon surely is the only holder.
    """
    return lease.mine is not None and now_s < lease.valid_until_s


def step(lease: Lease, event: Event, now_s: float) -> Step:
    """Take a lease through one event.

    Args:
        lease: the state before.
        event: what happened; a ``Tick`` only while no call is under way.
        now_s: the time on the daemon's monotonic clock.

    Returns:
        The state after, and the call to make, if any.
    """
    match event:
        case Tick(True) if lease.mine is None:
            return lease, ReadRow()
        case Tick(True) if now_s >= lease.renew_s:
            return _renew(lease, now_s)
        case Tick(False):
            return _give_up(lease), None
        case RowRead(row_version, row):
            return _row_read(_saw(lease, row_version, row, now_s), now_s)
        case RowWritten():
            return _row_written(lease, event, now_s), None
        case Fenced():
            return _give_up(lease), None
    return lease, None


def _saw(
    lease: Lease, row_version: int, row: leases.LeaseRow | None, now_s: float
) -> Lease:
    if lease.seen_s is not None and row_version == lease.row_version:
        return lease
    return dataclasses.replace(lease, row_version=row_version, row=row, seen_s=now_s)


def _row_read(lease: Lease, now_s: float) -> Step:
    if lease.row_version == 0:
        return _take(lease, ids.FencingNumber(1), now_s)
    if lease.row is None or lease.seen_s is None:
        return lease, None
    if lease.row.holder == lease.holder:
        # A taking whose reply was lost, or which landed late. Its term is
        # not known, so nothing is ordered before the next renewal.
        return _renew(dataclasses.replace(lease, mine=lease.row.fencing_number), now_s)
    if now_s < lease.seen_s + TERM_S:
        return lease, None
    return _take(lease, ids.FencingNumber(lease.row.fencing_number + 1), now_s)


def _take(lease: Lease, number: ids.FencingNumber, now_s: float) -> Step:
    return _write(lease, leases.LeaseRow(lease.holder, number, 0), now_s)


def _renew(lease: Lease, now_s: float) -> Step:
    assert lease.mine is not None
    counter = 0 if lease.row is None else lease.row.counter + 1
    return _write(lease, leases.LeaseRow(lease.holder, lease.mine, counter), now_s)


def _write(lease: Lease, row: leases.LeaseRow, now_s: float) -> Step:
    lease = dataclasses.replace(lease, pending=row, pending_s=now_s)
    return lease, WriteRow(row, lease.row_version)


def _row_written(lease: Lease, written: RowWritten, now_s: float) -> Lease:
    pending = lease.pending
    lease = _saw(lease, written.row_version, written.row, now_s)
    lease = dataclasses.replace(lease, pending=None)
    if written.applied and pending is not None:
        return dataclasses.replace(
            lease,
            row=pending,
            mine=pending.fencing_number,
            valid_until_s=lease.pending_s + TERM_S - MARGIN_S,
            renew_s=lease.pending_s + RENEW_S,
        )
    if written.row is not None and written.row.holder == lease.holder:
        # An earlier write of this daemon has landed; the next renewal builds
        # on it.
        return dataclasses.replace(
            lease, mine=written.row.fencing_number, renew_s=float("-inf")
        )
    return _give_up(lease)


def _give_up(lease: Lease) -> Lease:
    return dataclasses.replace(
        lease,
        mine=None,
        valid_until_s=float("-inf"),
        renew_s=float("-inf"),
        pending=None,
    )
