"""Kinds of prompts, requests and engines for plays of too much load."""

import asyncio
import dataclasses
import itertools

from lacewingdrum_coordination import engine_times
from lacewingdrum_gateway.serving import attempt, plans
from lacewingdrum_state import (
    configurations,
    fleet,
    ids,
    requests,
    runner_entries,
    states,
)
from standins import engine_model

MODEL = dataclasses.replace(
    engine_model.MODEL, slots=6, kv_capacity_tokens=232_000, step_ms=1.02
)
SERVICE = ids.ServiceName("model")
DEADLINE_S = 12.0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of prompt: its size, rate, rank and objectives."""

    name: str
    tokens: int
    events: int
    per_s: float
    rank: int
    objective_ms: float
    pause_ms: float


KINDS = (
    Kind("5k", 5_000, 31, 43.0, 0, 321.0, 250.0),
    Kind("45k", 45_000, 18, 5.0, 1, 1_532.0, 600.0),
    Kind("190k", 190_000, 15, 1.4, 2, 6_055.0, 1_000.0),
)


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A request, with what ``RoomControl`` reads of one that is served."""

    kind: Kind
    customer: str
    routed: plans.RoutedRequest
    outgoing: attempt.Outgoing
    number: int
    attempt_count: int = 0
    may_have_run: bool = False
    is_relayed: bool = False
    is_trial: bool = False
    has_returned: bool | None = None
    put_off_until_s: float | None = None
    put_off_s: float = 0.0

    @property
    def request_id(self) -> ids.RequestId:
        """The id in the log."""
        return ids.RequestId(str(self.number))

    def left_s(self, now_s: float) -> float:
        """Return the time until the deadline."""
        return self.routed.deadline_s - now_s


class Engine:
    """Prefills prompts in order, and holds a slot for each answer."""

    def __init__(self) -> None:
        self.free_s = 0.0
        self.read_ms = 0.0
        self.slots = asyncio.Semaphore(MODEL.slots)
        self.writers = 0

    def prefill(self, read_ms: float, now_s: float) -> float:
        """Add a prompt; return when it is prefilled."""
        slowed = 1.0 + 0.04 * self.writers
        self.free_s = max(self.free_s, now_s) + read_ms * slowed / 1_000
        self.read_ms += read_ms
        return self.free_s

    def pass_s(self) -> float:
        """Return the time of a pass, with the answers that are made now."""
        return engine_times.decode_pass_ms(MODEL, self.writers, 2e4) / 1_000


_numbers = itertools.count()


def make_entry(number: int) -> runner_entries.RunnerEntry:
    """Return the entry of an engine."""
    return runner_entries.RunnerEntry(
        ids.RunnerId(f"e{number}"),
        SERVICE,
        ids.DataCentre("north"),
        fleet.Address("10.0.1.1", 8_000 + number),
        MODEL.slots,
        states.MemberState.LIVE,
        1,
    )


def make_request(kind: Kind, customer: str, now_s: float, left_s: float) -> Request:
    """Return a request that arrives now.

    Args:
        kind: its kind.
        customer: the name of its customer.
        now_s: the current time.
        left_s: the time that its caller has left.
    """
    route = configurations.Route(
        name=kind.name,
        host="site.example",
        path_prefix=f"/{kind.name}/",
        kind=configurations.RouteKind.STREAM,
        objective_ms=kind.objective_ms,
        pause_objective_ms=kind.pause_ms,
        timeout_ms=DEADLINE_S * 1_000,
        priority=kind.rank,
        shares=(configurations.ServiceShare(SERVICE, 1.0),),
        max_attempts=1,
        is_public=True,
        is_resumable=True,
    )
    number = next(_numbers)
    headers = requests.CallerHeaders(
        str(number), int(left_s * 1_000), "", kind.tokens, kind.events * 48, ""
    )
    owner = configurations.Customer(ids.CustomerId(customer), None)
    routed = plans.RoutedRequest(
        configurations.Service(SERVICE, MODEL),
        route,
        owner,
        headers,
        now_s,
        now_s + left_s,
    )
    outgoing = attempt.Outgoing("POST", "/", {}, b"x" * 100, str(number))
    return Request(kind, customer, routed, outgoing, number)
