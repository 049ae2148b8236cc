"""What a request asks for, and an attempt that is planned for it."""

import dataclasses

from lacewingdrum_coordination import engine_load
from lacewingdrum_state import configurations, requests, runner_entries


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTarget:
    """What a request asks for, as far as routing needs it."""

    service: configurations.Service
    route: configurations.Route
    customer: configurations.Customer | None
    caller_headers: requests.CallerMarks
    begun_s: float
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One attempt to be made.

    ``work`` is empty for plain services. ``first_event_ms`` is when the first event
    or the answer is expected; ``cost`` the worth expected to be lost.
    """

    entry: runner_entries.RunnerEntry
    helpers: tuple[runner_entries.RunnerEntry, ...]
    work: tuple[engine_load.Work, ...]
    helper_memory_tokens: int
    priority: int | None
    first_event_ms: float
    cost: float
    candidate_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class TooCostly:
    """A request that would cost others more than it is worth."""

    lost_worth: float
    worth: float
    first_event_ms: float
