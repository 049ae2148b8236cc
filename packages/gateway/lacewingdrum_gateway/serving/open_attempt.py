"""An attempt of a request that has not ended."""

import dataclasses

from lacewingdrum_gateway.peers import peering
from lacewingdrum_gateway.serving import attempt_ends, plans
from lacewingdrum_protocol import event_stream
from lacewingdrum_state import ids, runner_entries
from lacewingdrum_transport import http_client

# The time of progress of an attempt from which nothing is awaited yet.
NOT_AWAITED_S = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerSource:
    """A runner that this daemon has sent the request to."""

    plan: plans.Plan
    work_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSource:
    """A daemon that this one has passed the request on to."""

    peer: peering.Peer


Source = RunnerSource | PeerSource


@dataclasses.dataclass(slots=True, eq=False)
class OpenAttempt:
    """An attempt, what it has brought so far, and since when it is silent.

    ``number`` counts the attempts of the request. ``events`` holds the events
    that this attempt has brought. ``progress_s`` is when it was sent or last
    brought a whole event; it is ``NOT_AWAITED_S`` until it is sent, and while
    the caller is slow to read. ``has_lost_path`` is set once it is known that
    the source cannot be reached. ``is_silent`` is set while another attempt
    may be made beside this one, and ``was_silent`` from then on. ``is_late``
    is set while another one may be made because the next event is late, though
    nothing speaks against the runner; ``is_beside_late`` is set for that one.
    ``cancelled_end`` says why the attempt was cancelled. ``is_sent`` is set
    before the first byte goes to the source.
    """

    number: int
    source: Source
    events: event_stream.EventStream
    started_s: float
    progress_s: float = NOT_AWAITED_S
    answer: http_client.ResponseReader | None = None
    has_lost_path: bool = False
    is_silent: bool = False
    was_silent: bool = False
    is_late: bool = False
    is_beside_late: bool = False
    cancelled_end: attempt_ends.AttemptEnd | None = None
    is_sent: bool = False
    shortest_pause_s: float = float("inf")
    pause_count: int = 0

    def is_at_runner(self) -> bool:
        """Return whether this daemon has sent the request to a runner."""
        return isinstance(self.source, RunnerSource)

    def is_planned_before(self, entry: runner_entries.RunnerEntry) -> bool:
        """Return whether it was planned by an earlier entry of a runner."""
        match self.source:
            case RunnerSource(plan):
                is_same_id = plan.entry.runner_id == entry.runner_id
                return is_same_id and 0 < plan.entry.born_ms < entry.born_ms
            case PeerSource():
                return False

    def is_at_peer(self, address: ids.VmId) -> bool:
        """Return whether it was passed on to the peer at an address."""
        match self.source:
            case PeerSource(peer):
                return peer.address == address
            case RunnerSource():
                return False

    def record_send(self) -> None:
        """Record that the request is being sent, so that it may run."""
        self.is_sent = True

    def record_progress(self, now_s: float) -> None:
        """Record that the attempt has been sent or has brought an event."""
        self.progress_s = now_s

    def describe_answer_end(self) -> dict[str, object]:
        """Return log fields that say how the answer of the source ended."""
        if self.answer is None:
            return {}
        return {
            "answer_end": self.answer.answer_end,
            "channel_end": self.answer.channel_end,
            "partial_event_bytes": self.events.partial_bytes,
        }
