"""Measures the costs of messages, membership and load rounds of daemons."""

import asyncio
import functools
import time
from collections.abc import Callable
from typing import Any

from result import Ok, Result

from lacewingdrum_coordination import coordinators, membership
from lacewingdrum_daemon import load_monitor, membership_sync
from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import fleet, ids, requests
from lacewingdrum_transport import runner_client
from standins import slope_documents, slope_fit, slope_fleet

NOW_S = 100.0
RUNNER_SIZES = (20, 92, 275, 1_100)
VM_SIZES = (30, 90, 180, 360)
ENTRY_SIZES = (1, 8, 32, 128)
CUSTOMER_SIZES = (50, 500, 2_000)
CALLS_IN_FLIGHT = 80
ROUND_DAEMONS = 8
WARM_UP_ROUNDS = 10
ROUNDS = 3

Measured = slope_fit.Measured
MakeBody = Callable[[int], peer_messages.Body]


def messages() -> list[Measured]:
    """Return the bytes and processor time of peer messages."""
    made: list[Measured] = []
    for name, sizes, body in (
        ("load summary, against runners", RUNNER_SIZES, _summary),
        ("heartbeat, against documents", ENTRY_SIZES, slope_fleet.heartbeat),
        ("in-flight report, against attempts", ENTRY_SIZES, _report),
    ):
        for suffix, unit, cost in (
            ("", "bytes", _size_bytes),
            (", encode", "us", _encode_us),
            (", decode", "us", _decode_us),
        ):
            repeats = 1 if unit == "bytes" else slope_fit.REPEATS
            work = functools.partial(cost, body)
            made.append(slope_fit.measure(name + suffix, unit, sizes, work, repeats))
    made.append(
        slope_fit.measure(
            "document push, against customers",
            "bytes",
            CUSTOMER_SIZES,
            functools.partial(_size_bytes, _push),
            1,
        )
    )
    return made


def membership_costs() -> list[Measured]:
    """Return costs that grow with the number of VMs."""
    return [
        slope_fit.measure(
            "home of a runner or customer, against VMs", "us", VM_SIZES, _coordinator_us
        ),
        slope_fit.measure(
            "heartbeat of 16 documents taken into the view, against VMs",
            "us",
            VM_SIZES,
            _on_heartbeat_us,
        ),
        slope_fit.measure(
            "the same taken in by documents and status, against VMs",
            "us",
            VM_SIZES,
            slope_documents.heartbeat_us,
        ),
    ]


def load_round_costs() -> list[Measured]:
    """Return the costs of one round of load reports, against VMs.

    The ratio of runners to VMs is that of the planned size (1,100 to 360).
    """
    runs = [{size: _round(size) for size in VM_SIZES} for _ in range(ROUNDS)]
    made = []
    for index, (name, unit) in enumerate(
        (
            ("load round, processor time, against VMs", "us"),
            ("load round, messages sent a round, against VMs", "messages"),
            ("load round, bytes sent a round, against VMs", "bytes"),
        )
    ):
        made.append(
            Measured(
                name,
                unit,
                tuple(
                    tuple(slope_fit.Point(size, run[size][index]) for size in VM_SIZES)
                    for run in runs
                ),
            )
        )
    return made


def _summary(size: int) -> peer_messages.LoadSummary:
    runners = slope_fleet.runners(size)
    return peer_messages.LoadSummary(tuple(map(slope_fleet.load_entry, runners)))


def _push(size: int) -> peer_messages.DocumentPush:
    text = slope_fleet.document(size)
    return peer_messages.DocumentPush("model-00", 1_000, "s" * 24, "0" * 64, text)


def _report(size: int) -> peer_messages.InFlightReport:
    in_flight_attempts = slope_fleet.in_flight(size, slope_fleet.runners(100))
    return peer_messages.InFlightReport(
        tuple(
            peer_messages.InFlightEntry(
                item.attempt_id,
                item.runner_id,
                item.prompt_tokens,
                item.total_tokens,
                900,
            )
            for item in in_flight_attempts
        )
    )


def _size_bytes(body: MakeBody, size: int) -> float:
    return len(peer_messages.encode("entry-vm-0001", body(size)))


def _encode_us(body: MakeBody, size: int) -> float:
    made = body(size)
    return slope_fit.call_us(lambda: peer_messages.encode("entry-vm-0001", made))


def _decode_us(body: MakeBody, size: int) -> float:
    data = peer_messages.encode("entry-vm-0001", body(size))
    return slope_fit.call_us(lambda: peer_messages.decode(data))


def _coordinator_us(size: int) -> float:
    vm_ids = [vm.vm_id for vm in slope_fleet.vms(size)]
    runner_id = ids.RunnerId("runner-00001")
    return slope_fit.call_us(
        lambda: coordinators.coordinator_of_runner(runner_id, vm_ids)
    )


def _view(size: int) -> membership.View:
    vms = slope_fleet.vms(size)
    runners = slope_fleet.runners(round(size * 1_100 / 360))
    view = membership.merge(membership.View(), fleet.Members(vms, runners), NOW_S)
    for vm in vms:
        view = membership.heartbeat_received(
            view, vm.vm_id, ids.Incarnation(1), False, NOW_S
        )
    return view


class _UnusedMemberList:
    async def read(self) -> Any:
        """Raise an error, since the measurement reads no list."""
        raise AssertionError


def _on_heartbeat_us(size: int) -> float:
    component = membership_sync.MembershipSync(_UnusedMemberList(), 1.0, lambda: NOW_S)
    component.view = _view(size)
    vm_id = slope_fleet.vms(size)[-1].vm_id
    heartbeat = slope_fleet.heartbeat(16)
    return slope_fit.call_us(lambda: component.on_heartbeat(vm_id, heartbeat))


class _CountingPeers:
    """Encodes each message as the peer socket does, and counts it."""

    def __init__(self) -> None:
        self.message_count = 0
        self.byte_count = 0

    def on_message(self, body_type: type, handler: Callable[..., None]) -> None:
        """Ignore the handler, which is never called."""

    def send(self, vm_id: ids.VmId, body: peer_messages.Body) -> bool:
        """Count a message."""
        self.message_count += 1
        self.byte_count += len(peer_messages.encode("entry-vm-0001", body))
        return True


class _Runners:
    """Runners that return their load without delay."""

    async def load(
        self, runner: fleet.Runner, timeout_s: float
    ) -> Result[fleet.RunnerLoad, runner_client.RunnerError]:
        """Return a busy runner's load."""
        return Ok(slope_fleet.load(runner, NOW_S))


class _Members:
    def __init__(self, view: membership.View) -> None:
        self.view = view


def _round(size: int) -> tuple[float, ...]:
    """Return the mean us, messages and bytes of a daemon's load round."""
    view = _view(size)
    local_data_centre = view.vms[0].data_centre
    local_runners = tuple(
        runner for runner in view.runners if runner.data_centre == local_data_centre
    )
    in_flight_attempts = slope_fleet.in_flight(CALLS_IN_FLIGHT, local_runners)
    daemons = [vm.vm_id for vm in view.vms if vm.data_centre == local_data_centre]
    daemons = daemons[:ROUND_DAEMONS]
    costs = [
        _rounds_of(vm_id, local_data_centre, view, in_flight_attempts)
        for vm_id in daemons
    ]
    return tuple(sum(column) / len(costs) for column in zip(*costs, strict=True))


def _rounds_of(
    vm_id: ids.VmId,
    local_data_centre: ids.DataCentre,
    view: membership.View,
    in_flight_attempts: tuple[requests.InFlightAttempt, ...],
) -> tuple[float, float, float]:
    peers = _CountingPeers()
    component = load_monitor.LoadMonitor(
        _Runners(),  # type: ignore[arg-type]
        peers,
        _Members(view),
        (vm_id, local_data_centre),
        lambda: in_flight_attempts,
        lambda load: None,
        lambda: NOW_S,
    )

    async def run() -> float:
        # A daemon that has just started sends reports to more of the fleet.
        for _ in range(WARM_UP_ROUNDS):
            await component.run_round()
        peers.message_count = peers.byte_count = 0
        start_s = time.process_time()
        for _ in range(load_monitor.REMOTE_INTERVAL_ROUNDS):
            await component.run_round()
        return time.process_time() - start_s

    elapsed_s = asyncio.run(run())
    count = load_monitor.REMOTE_INTERVAL_ROUNDS
    return (
        elapsed_s / count * slope_fit.US_PER_S,
        peers.message_count / count,
        peers.byte_count / count,
    )
