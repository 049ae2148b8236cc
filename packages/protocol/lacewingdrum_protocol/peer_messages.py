"""Messages between daemons: msgpack, each with the wire version.

A message is ``Envelope`` followed by its body in one msgpack array, so that
a daemon of another version is told apart before its body is read.
"""

import msgspec
from result import Err, Ok, Result

from lacewingdrum_coordination import customer_limits

WIRE_VERSION = 1


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """The version of a service's document that a daemon has in force."""

    service: str
    version: int
    digest: str


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="hb"):
    """Says that a daemon lives, and which documents it has in force.

    ``peers`` are addresses of other daemons, so that daemons whose platform
    has no list of them find each other.
    """

    incarnation: int
    data_centre: str
    leaving: bool
    documents: tuple[Digest, ...]
    gone_runners: tuple[tuple[str, int], ...] = ()
    configuration_version: int = 0
    peers: tuple[str, ...] = ()


class DocumentPush(msgspec.Struct, frozen=True, array_like=True, tag="doc"):
    """An accepted document version."""

    service: str
    version: int
    submission_id: str
    digest: str
    text: str


class DocumentRequest(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Asks a peer for documents newer than the sender's."""

    documents: tuple[Digest, ...]


class LoadEntry(msgspec.Struct, frozen=True, array_like=True):
    """A runner's load, as its home knows it, ``age_ms`` ago."""

    runner_id: str
    age_ms: int
    queued_short_tokens: int
    queued_mid_tokens: int
    queued_long_tokens: int
    running_count: int
    kv_used_tokens: int
    kv_capacity_tokens: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float


class LoadSummary(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """Loads of the runners whose home the sender is."""

    loads: tuple[LoadEntry, ...]


class InFlightEntry(msgspec.Struct, frozen=True, array_like=True):
    """An attempt that the sender has at a runner."""

    attempt_id: str
    runner_id: str
    prompt_tokens: int
    total_tokens: int
    age_ms: int


class InFlightReport(msgspec.Struct, frozen=True, array_like=True, tag="fly"):
    """The sender's whole work at runners whose home the receiver is."""

    entries: tuple[InFlightEntry, ...]


class CacheSummary(msgspec.Struct, frozen=True, array_like=True, tag="cache"):
    """Blocks that entered (``stored``) or left a runner's prefix cache."""

    runner_id: str
    incarnation: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class ReservationRequest(msgspec.Struct, frozen=True, array_like=True, tag="rsv"):
    """Asks a runner's home to set memory aside until it lapses."""

    reservation_id: str
    runner_id: str
    tokens: int
    lapse_ms: int


class ReservationAnswer(msgspec.Struct, frozen=True, array_like=True, tag="rsa"):
    """Whether the memory was set aside."""

    reservation_id: str
    runner_id: str
    granted: bool


class ReservationRelease(msgspec.Struct, frozen=True, array_like=True, tag="rsr"):
    """Gives a reservation back."""

    reservation_id: str
    runner_id: str


class BudgetRequest(msgspec.Struct, frozen=True, array_like=True, tag="bga"):
    """Asks a customer's home for a slice of one of the customer's budgets.

    ``resource`` says what the budget counts; requests are in thousandths.
    """

    service: str
    customer: str
    wanted: int
    used: int
    resource: customer_limits.Resource = customer_limits.Resource.TOKENS


class BudgetGrant(msgspec.Struct, frozen=True, array_like=True, tag="bgg"):
    """A slice of a customer's budget, good for ``lapse_ms``."""

    service: str
    customer: str
    granted: int
    lapse_ms: int
    resource: customer_limits.Resource = customer_limits.Resource.TOKENS


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True, tag="cfa"):
    """Asks for the operators' configuration if newer than ``version``."""

    version: int


class ConfigurationPush(msgspec.Struct, frozen=True, array_like=True, tag="cfg"):
    """The operators' configuration as they wrote it."""

    version: int
    text: bytes


class RunnerListEntry(msgspec.Struct, frozen=True, array_like=True):
    """A runner's entry in the platform's table."""

    runner_id: str
    service: str
    data_centre: str
    address: str
    slots: int
    leaving: bool
    born_ms: int


class RunnerListPush(msgspec.Struct, frozen=True, array_like=True, tag="run"):
    """The runners as of a version of the platform's store, ``age_ms`` ago.

    ``digest`` is that of the whole list. ``changed`` and ``removed`` lead
    there from the list of the digest ``base``, which is 0 for no list.
    """

    version: int
    age_ms: int
    digest: int
    base: int
    changed: tuple[RunnerListEntry, ...] = ()
    removed: tuple[str, ...] = ()


class RunnerListRequest(msgspec.Struct, frozen=True, array_like=True, tag="rua"):
    """Asks for what the sender lacks; ``digest`` is that of its own list."""

    digest: int


class WorkPart(msgspec.Struct, frozen=True, array_like=True):
    """One engine's part of a request; times are in milliseconds."""

    runner_id: str
    read_ms: float
    writes: bool
    pause_limit_ms: float
    first_due_ms: float
    loss: float
    context_tokens: float
    memory_tokens: int


class WorkStarted(msgspec.Struct, frozen=True, array_like=True):
    """A request's work that the sender gave to engines."""

    work_id: str
    parts: tuple[WorkPart, ...]
    left_ms: float


class EngineSlowdown(msgspec.Struct, frozen=True, array_like=True):
    """How many times slower an engine is than stated, as just seen."""

    runner_id: str
    pace: float


class WorkUpdate(msgspec.Struct, frozen=True, array_like=True, tag="wrk"):
    """Work that began, whose first event came, and that ended, in order.

    ``paces`` tells of engines that are slow, or are so no more;
    ``help_refused`` names engines that would not read for another one,
    ``suspected`` runners that did not answer the sender.
    """

    started: tuple[WorkStarted, ...]
    first_events: tuple[str, ...]
    ended: tuple[str, ...]
    paces: tuple[EngineSlowdown, ...] = ()
    help_refused: tuple[str, ...] = ()
    suspected: tuple[str, ...] = ()


class WorkRequest(msgspec.Struct, frozen=True, array_like=True, tag="wra"):
    """Asks a peer for all of its work, as the sender just began to hear it."""


class WorkSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="wrs"):
    """All work of the sender; those named have made their first event."""

    started: tuple[WorkStarted, ...]
    first_events: tuple[str, ...]


Body = (
    Heartbeat
    | ConfigurationRequest
    | ConfigurationPush
    | RunnerListPush
    | RunnerListRequest
    | WorkUpdate
    | WorkRequest
    | WorkSnapshot
    | DocumentPush
    | DocumentRequest
    | LoadSummary
    | InFlightReport
    | CacheSummary
    | ReservationRequest
    | ReservationAnswer
    | ReservationRelease
    | BudgetRequest
    | BudgetGrant
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """What travels between daemons; ``sender`` is a VM id."""

    wire_version: int
    sender: str
    body: msgspec.Raw


class PeerMessage(msgspec.Struct, frozen=True):
    """A decoded message and the VM that sent it."""

    sender: str
    body: Body


class PeerMessageError(msgspec.Struct, frozen=True):
    """Why bytes from a peer were not a message."""

    reason: str


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)
_body_decoder = msgspec.msgpack.Decoder(Body)


def encode(sender: str, body: Body) -> bytes:
    """Args: sender: own VM id; body: the message. Returns: its bytes."""
    raw = msgspec.Raw(_encoder.encode(body))
    return _encoder.encode(Envelope(WIRE_VERSION, sender, raw))


def decode(data: bytes) -> Result[PeerMessage, PeerMessageError]:
    """Read a message from a peer.

    Args:
        data: the bytes as received.

    Returns:
        The message, or why the bytes are none.
    """
    try:
        envelope = _envelope_decoder.decode(data)
        if envelope.wire_version != WIRE_VERSION:
            return Err(PeerMessageError(f"wire version {envelope.wire_version}"))
        return Ok(PeerMessage(envelope.sender, _body_decoder.decode(envelope.body)))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Err(PeerMessageError(str(error)))
