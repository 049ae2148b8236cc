"""Messages between daemons, encoded as msgpack.

Each message is an ``Envelope`` that contains the wire version and the body.
The wire version is checked before the body is decoded.
"""

import msgspec
from result import Err, Ok, Result

from lacewingdrum_protocol import (
    crash_messages,
    evacuation_messages,
    limit_messages,
    work_messages,
)
from lacewingdrum_state import bounds, decoding, states

WIRE_VERSION = 1


class DocumentVersionEntry(msgspec.Struct, frozen=True, array_like=True):
    """The version of a service's document that a daemon has in force."""

    service: str
    version: int
    digest: str


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="hb"):
    """Reports that a daemon is alive and which documents it has in force.

    ``gone_runners`` lists ids and incarnations of leaving runners that the
    platform's list does not show as leaving yet. The incarnation of a runner
    on the users' platform is the millisecond of its start. ``peers`` contains
    addresses of other daemons, so that daemons discover each other if the
    platform has no list of them. ``digests`` has, for each topic of news that
    the sender knows, a number that is the same at daemons that know the same.
    ``relay_port`` is where the sender takes requests of daemons that reach no
    runner, and 0 if it takes none.
    """

    incarnation: int
    data_centre: str
    leaving: bool
    documents: tuple[DocumentVersionEntry, ...]
    gone_runners: tuple[tuple[str, int], ...] = ()
    configuration_version: int = 0
    peers: tuple[str, ...] = ()
    digests: dict[str, int] = {}
    relay_port: int = 0


class DocumentPush(msgspec.Struct, frozen=True, array_like=True, tag="doc"):
    """An accepted document version."""

    service: str
    version: int
    submission_id: str
    digest: str
    text: str


class DocumentRequest(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Requests documents that are newer than the sender's."""

    documents: tuple[DocumentVersionEntry, ...]


class LoadEntry(msgspec.Struct, frozen=True, array_like=True):
    """A runner's load as its coordinator knew it ``age_ms`` ago."""

    runner_id: str
    age_ms: bounds.AgeMs
    queued_short_tokens: bounds.Count
    queued_mid_tokens: bounds.Count
    queued_long_tokens: bounds.Count
    running_count: bounds.Count
    kv_used_tokens: bounds.Count
    kv_capacity_tokens: bounds.Count
    prefill_tokens_per_s: bounds.NotNegative
    decode_tokens_per_s: bounds.NotNegative


class LoadSummary(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """Loads of the runners that the sender coordinates."""

    loads: tuple[LoadEntry, ...]


class InFlightEntry(msgspec.Struct, frozen=True, array_like=True):
    """An attempt of the sender that is in flight at a runner."""

    attempt_id: str
    runner_id: str
    prompt_tokens: bounds.Count
    total_tokens: bounds.Count
    age_ms: bounds.AgeMs


class InFlightReport(msgspec.Struct, frozen=True, array_like=True, tag="fly"):
    """All attempts of the sender at runners that the receiver coordinates."""

    entries: tuple[InFlightEntry, ...]


class CacheSummary(msgspec.Struct, frozen=True, array_like=True, tag="cache"):
    """Blocks that were stored in or evicted from a runner's prefix cache."""

    runner_id: str
    incarnation: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class ReservationRequest(msgspec.Struct, frozen=True, array_like=True, tag="rsv"):
    """Requests a memory reservation from a runner's coordinator.

    The reservation expires after ``lapse_ms``.
    """

    reservation_id: str
    runner_id: str
    tokens: bounds.Count
    lapse_ms: bounds.AgeMs


class ReservationAnswer(msgspec.Struct, frozen=True, array_like=True, tag="rsa"):
    """Whether the memory was reserved."""

    reservation_id: str
    runner_id: str
    granted: bool


class ReservationRelease(msgspec.Struct, frozen=True, array_like=True, tag="rsr"):
    """Releases a reservation."""

    reservation_id: str
    runner_id: str


class BudgetRequest(msgspec.Struct, frozen=True, array_like=True, tag="bga"):
    """Requests a part of a customer's budget from its coordinator.

    ``wanted`` includes what the sender has overspent. A negative ``used``
    returns the unspent rest of an earlier part. ``resource`` states what the
    budget counts. Requests are counted in thousandths.
    """

    service: str
    customer: str
    wanted: int
    used: int
    resource: states.Resource = states.Resource.TOKENS


class BudgetGrant(msgspec.Struct, frozen=True, array_like=True, tag="bgg"):
    """A part of a customer's budget that expires after ``lapse_ms``."""

    service: str
    customer: str
    granted: int
    lapse_ms: int
    resource: states.Resource = states.Resource.TOKENS


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True, tag="cfa"):
    """Requests the operators' configuration if newer than ``version``.

    ``accepts_packed`` is not set by daemons that cannot unpack it.
    """

    version: bounds.Count
    accepts_packed: bool = False


class ConfigurationPush(msgspec.Struct, frozen=True, array_like=True, tag="cfg"):
    """The operators' configuration in its original text, perhaps packed."""

    version: bounds.Count
    text: bytes
    is_packed: bool = False


class FeedTurn(msgspec.Struct, frozen=True, array_like=True, tag="fdt"):
    """Tells the other followers of the store that a feed begins.

    ``wait_ms`` is how long the store may wait for a change.
    """

    wait_ms: int


class RunnerListEntry(msgspec.Struct, frozen=True, array_like=True):
    """A runner's entry in the platform's table."""

    runner_id: str
    service: str
    data_centre: str
    address: str
    slots: int
    leaving: bool
    born_ms: int


class ColdReport(msgspec.Struct, frozen=True, array_like=True):
    """That an incarnation of a runner stays cold for ``left_ms``.

    ``seq`` counts its rows.
    """

    runner_id: str
    born_ms: int
    left_ms: bounds.AgeMs
    seq: int | None = None


class RunnerListPush(msgspec.Struct, frozen=True, array_like=True, tag="run"):
    """The runner list at a version of the store, as changes from another list.

    ``version`` counts within ``era``; see ``store_versions.StoreVersion``.

    The list was read from the platform's store ``age_ms`` ago and has the
    digest ``digest``. ``changed`` and ``removed`` are relative to the list
    with the digest ``base``. If ``base`` is 0, ``changed`` is the whole list.
    ``cold`` is what the sender knows of cold runners, as of when it sends.
    """

    version: bounds.Count
    age_ms: bounds.AgeMs
    digest: int
    base: int
    changed: tuple[RunnerListEntry, ...] = ()
    removed: tuple[str, ...] = ()
    era: bounds.Era = 0
    cold: tuple[ColdReport, ...] = ()


class SilentDaemon(msgspec.Struct, frozen=True, array_like=True):
    """A daemon, and the time since it was last heard, or else first named."""

    address: str
    age_ms: float
    was_heard: bool


class SilentDaemons(msgspec.Struct, frozen=True, array_like=True, tag="sil"):
    """Daemons that the sender knows and does not hear, for one that is new."""

    daemons: tuple[SilentDaemon, ...]


class RunnerListRequest(msgspec.Struct, frozen=True, array_like=True, tag="rua"):
    """Requests changes since the sender's list, which has ``digest``."""

    digest: int


Body = (
    Heartbeat
    | ConfigurationRequest
    | ConfigurationPush
    | FeedTurn
    | RunnerListPush
    | RunnerListRequest
    | SilentDaemons
    | work_messages.WorkUpdate
    | work_messages.WorkRequest
    | work_messages.WorkSnapshot
    | crash_messages.CrashNews
    | limit_messages.LimitNews
    | evacuation_messages.Body
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
    """The frame of a message between daemons.

    ``sender`` identifies the sending daemon. It is a VM id or, between
    gateways, a peer address.
    """

    wire_version: int
    sender: str
    body: msgspec.Raw


class PeerMessage(msgspec.Struct, frozen=True):
    """A decoded message and the daemon that sent it."""

    sender: str
    body: Body


class PeerMessageError(msgspec.Struct, frozen=True):
    """Why bytes from a peer could not be decoded."""

    reason: str


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)
_body_decoder = msgspec.msgpack.Decoder(Body)


def encode(sender: str, body: Body) -> bytes:
    """Return the bytes of a message.

    Args:
        sender: Identifies this daemon; see ``Envelope``.
        body: The message.
    """
    raw = msgspec.Raw(_encoder.encode(body))
    return _encoder.encode(Envelope(WIRE_VERSION, sender, raw))


def decode(data: bytes) -> Result[PeerMessage, PeerMessageError]:
    """Decode a message from a peer.

    Args:
        data: The bytes as received.

    Returns:
        The message, or why it could not be decoded.
    """
    decoded = decoding.decode(_envelope_decoder, data)
    if isinstance(decoded, Err):
        return Err(PeerMessageError(decoded.err_value))
    envelope = decoded.ok_value
    if envelope.wire_version != WIRE_VERSION:
        return Err(PeerMessageError(f"wire version {envelope.wire_version}"))
    body = decoding.decode(_body_decoder, envelope.body)
    if isinstance(body, Err):
        return Err(PeerMessageError(body.err_value))
    return Ok(PeerMessage(envelope.sender, body.ok_value))
