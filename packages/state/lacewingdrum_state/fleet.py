"""Facts about VMs and runners, as the platform and the runners report them."""

import dataclasses

from lacewingdrum_state import ids, states


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One entry VM and the daemon on it.

    ``incarnation`` grows with each start of the daemon, so that a leaving
    mark is undone only by a later start.
    """

    vm_id: ids.VmId
    data_centre: ids.DataCentre
    peer_address: Address
    operator_address: Address
    incarnation: ids.Incarnation
    state: states.MemberState = states.MemberState.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class Runner:
    """One back-end process; an engine where its service is a model."""

    runner_id: ids.RunnerId
    service: ids.ServiceName
    data_centre: ids.DataCentre
    address: Address
    incarnation: ids.Incarnation
    state: states.MemberState = states.MemberState.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """The platform's membership list, as read at one moment."""

    vms: tuple[Vm, ...] = ()
    runners: tuple[Runner, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HeldMemory:
    """KV cache memory that an engine holds for one attempt."""

    attempt_id: ids.AttemptId
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerLoad:
    """The load that a runner reports, true at ``as_of_s``.

    Queued tokens are prompt tokens not yet prefilled, by the priority they
    wait at. Rates are the runner's own measurements. ``as_of_s`` is on the
    reader's monotonic clock, with the age the runner stated taken off.
    """

    runner_id: ids.RunnerId
    as_of_s: float
    queued_short_tokens: int
    queued_mid_tokens: int
    queued_long_tokens: int
    running_count: int
    kv_used_tokens: int
    kv_capacity_tokens: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    held: tuple[HeldMemory, ...] = ()
