"""VMs, runners and loads, as reported by the platform and the runners."""

import dataclasses

from lacewingdrum_state import addresses, ids, states

Address = addresses.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One VM that accepts callers' requests, and the daemon on it.

    ``incarnation`` grows with each start of the daemon. Once a VM is leaving,
    only a higher incarnation makes it live again.
    """

    vm_id: ids.VmId
    data_centre: ids.DataCentre
    peer_address: Address
    operator_address: Address
    incarnation: ids.Incarnation
    state: states.MemberState = states.MemberState.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class Runner:
    """One runner; it is an engine if its service is a model."""

    runner_id: ids.RunnerId
    service: ids.ServiceName
    data_centre: ids.DataCentre
    address: Address
    incarnation: ids.Incarnation
    state: states.MemberState = states.MemberState.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """One snapshot of the platform's membership list."""

    vms: tuple[Vm, ...] = ()
    runners: tuple[Runner, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HeldMemory:
    """KV cache memory that an engine holds for one attempt."""

    attempt_id: ids.AttemptId
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerLoad:
    """The load that a runner reported, as it was at ``as_of_s``.

    Queued tokens are prompt tokens that are not prefilled yet, counted by the
    priority of their length class. Rates are the runner's own measurements.
    ``as_of_s`` is the time of the measurement, not of the report, on the
    monotonic clock of the process that read the report.
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
