"""Measures the costs of membership lists, load reports and budgets."""

import asyncio
import socket
import threading
import time

import msgspec
from result import Err

from lacewingdrum_coordination import limits, membership
from lacewingdrum_protocol import members_api, peer_messages, runner_api
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import http_client, runner_client
from standins import slope_fit, slope_fleet

VM_SIZES = (36, 120, 360)
RUNNERS_PER_VM = 1_100 / 360
READ_SIZES = (10, 40, 160)
HELD_ATTEMPTS = 25
HELD_SIZES = (0, 25, 100)
CUSTOMER_SIZES = (100, 1_000, 8_100)
LIMIT_TOKENS_PER_S = 20_000
NOW_S = 100.0
READ_BYTES = 65_536
LOOPBACK = "127.0.0.1"

Measured = slope_fit.Measured


def reads() -> list[Measured]:
    """Return the costs of the membership list and of load reports."""
    return [
        slope_fit.measure(
            "membership list, against VMs", "bytes", VM_SIZES, _list_bytes, 1
        ),
        slope_fit.measure(
            "reading and merging the list, against VMs", "us", VM_SIZES, _list_us
        ),
        slope_fit.measure(
            "load report, against attempts held", "bytes", HELD_SIZES, _load_bytes, 1
        ),
        slope_fit.measure(
            "load reports read over loopback, against reports",
            "us",
            READ_SIZES,
            _load_us,
        ),
    ]


def budgets() -> list[Measured]:
    """Return the costs of customers' limits."""
    return [
        slope_fit.measure(
            "looking for due asks, against customers seen",
            "us",
            CUSTOMER_SIZES,
            _due_requests_us,
        ),
        slope_fit.measure(
            "asks and grants of that many customers",
            "bytes",
            CUSTOMER_SIZES,
            _exchange_bytes,
            1,
        ),
    ]


def _list_body(vm_count: int) -> bytes:
    vms = tuple(
        members_api.VmEntry(vm.vm_id, vm.data_centre, "10.0.0.1", 8081, 8082)
        for vm in slope_fleet.vms(vm_count)
    )
    runners = tuple(
        members_api.RunnerEntry(
            runner.runner_id, runner.service, runner.data_centre, "10.0.0.2", 9000
        )
        for runner in slope_fleet.runners(round(vm_count * RUNNERS_PER_VM))
    )
    return msgspec.json.encode(members_api.MembersAnswer(vms, runners))


def _list_bytes(vm_count: int) -> float:
    return len(_list_body(vm_count))


def _list_us(vm_count: int) -> float:
    body = _list_body(vm_count)
    decoder = msgspec.json.Decoder(members_api.MembersAnswer)
    view = membership.View()

    def read() -> membership.View:
        members = members_api.members_from(decoder.decode(body))
        return membership.merge(view, members, NOW_S)

    view = read()
    return slope_fit.call_us(read)


def _load_body(runner_id: str, held_count: int) -> bytes:
    held = tuple(
        runner_api.HeldMemoryEntry(f"req-{index:020x}.1", 4_500)
        for index in range(held_count)
    )
    answer = runner_api.LoadAnswer(
        runner_id, 100, 2_000, 20_000, 300_000, 24, 310_000, 400_000, 1e4, 50.0, held
    )
    return msgspec.json.encode(answer)


def _load_bytes(held_count: int) -> float:
    return len(_load_body("runner-00000", held_count))


class _LoadServer:
    """Answers every request with the same load, in a separate thread."""

    def __init__(self, runner_id: str) -> None:
        body = _load_body(runner_id, HELD_ATTEMPTS)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self._answer = head + body
        self._listener = socket.create_server((LOOPBACK, 0))
        self.port = int(self._listener.getsockname()[1])
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _serve(self) -> None:
        try:
            found, _ = self._listener.accept()
            while found.recv(READ_BYTES):
                found.sendall(self._answer)
        except OSError:
            return


def _load_us(count: int) -> float:
    """Return the processor us of this thread for ``count`` reports."""
    runner = slope_fleet.runners(1)[0]
    server = _LoadServer(runner.runner_id)
    try:
        return asyncio.run(_read_loads(runner, server.port, count))
    finally:
        server.close()


async def _read_loads(runner: fleet.Runner, port: int, count: int) -> float:
    http = http_client.HttpClient()
    client = runner_client.RunnerClient(http)
    loopback_runner = fleet.Runner(
        runner.runner_id,
        runner.service,
        runner.data_centre,
        fleet.Address(LOOPBACK, port),
        runner.incarnation,
    )
    await client.load(loopback_runner, 5.0)
    start_s = time.thread_time()
    for _ in range(count):
        found = await client.load(loopback_runner, 5.0)
        assert not isinstance(found, Err), found
    elapsed_s = time.thread_time() - start_s
    await http.close()
    return elapsed_s * slope_fit.US_PER_S


def _budget(customer_count: int) -> limits.DaemonBudget:
    budget = limits.DaemonBudget()
    service = ids.ServiceName("model-00")
    for index in range(customer_count):
        customer = ids.CustomerId(f"customer-{index:05d}")
        budget.set_limit(service, customer, LIMIT_TOKENS_PER_S)
        budget.spend(service, customer, 1, NOW_S)
    return budget


def _due_requests_us(customer_count: int) -> float:
    budget = _budget(customer_count)
    for budget_request in budget.due_requests(NOW_S):
        grant = limits.Grant(
            budget_request.service,
            budget_request.customer,
            budget_request.wanted_units,
            10_000,
        )
        budget.granted(grant, NOW_S)
    assert not budget.due_requests(NOW_S)
    return slope_fit.call_us(lambda: budget.due_requests(NOW_S))


def _exchange_bytes(customer_count: int) -> float:
    total = 0
    for budget_request in _budget(customer_count).due_requests(NOW_S):
        for body in (
            peer_messages.BudgetRequest(
                budget_request.service,
                budget_request.customer,
                budget_request.wanted_units,
                budget_request.used_units,
            ),
            peer_messages.BudgetGrant(
                budget_request.service, budget_request.customer, 1_000, 2_000
            ),
        ):
            total += len(peer_messages.encode("entry-vm-0001", body))
    return total
