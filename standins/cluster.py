"""Runs a deployment on one host, with stand-ins and daemons as processes.

``close`` ends every process that was started, also after a failure.
"""

import asyncio
import dataclasses
import hashlib
import json
import pathlib
import signal
import time
from typing import Any

import msgspec
from result import Ok

from lacewingdrum_protocol import members_api
from lacewingdrum_state import fleet, ids, states
from lacewingdrum_transport import http_client, http_messages
from standins import ports, processes, settings_text

OPERATOR_CREDENTIAL = "demo-operator"
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 5.0
PROBE_TIMEOUT_S = 1.0
POLL_S = 0.1
ROOT = pathlib.Path(__file__).resolve().parent.parent


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerPlan:
    """A runner to start; ``options`` go to its stand-in process."""

    runner_id: str
    service: str
    data_centre: str
    is_engine: bool = True
    options: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonPlan:
    """A daemon to start; ``limits`` go into its settings."""

    vm_id: str
    data_centre: str
    limits: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The daemons and runners of a deployment, and the seed of its faults."""

    daemons: tuple[DaemonPlan, ...]
    runners: tuple[RunnerPlan, ...]
    seed: int = 1


@dataclasses.dataclass(slots=True)
class StandInProcess:
    """A running stand-in and the addresses it listens on."""

    child: processes.Child
    address: fleet.Address
    control: fleet.Address


@dataclasses.dataclass(slots=True)
class DaemonProcess:
    """A running daemon and the addresses it listens on."""

    child: processes.Child
    plan: DaemonPlan
    incarnation: int
    callers: fleet.Address
    peers: fleet.Address
    operators: fleet.Address


class Cluster:
    """Starts a deployment, injects faults into it and ends it.

    ``platform`` has the keys table, objects and members. ``runners`` and
    ``daemons`` are keyed by runner id and VM id.
    """

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        self.plan = plan
        self.folder = folder
        self.platform: dict[str, StandInProcess] = {}
        self.runners: dict[str, StandInProcess] = {}
        self.daemons: dict[str, DaemonProcess] = {}
        self.http = http_client.HttpClient()
        self._ports = ports.PortPicker()
        self._children: list[processes.Child] = []
        self._states: dict[str, states.MemberState] = {}
        self._incarnations: dict[str, int] = {}

    async def __aenter__(self) -> "Cluster":
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def start(self) -> None:
        """Start all processes and wait until the daemons answer."""
        for name in ("table", "objects", "members"):
            self.platform[name] = await self._start_stand_in(name, name, ())
        runners = await asyncio.gather(*map(self._start_runner, self.plan.runners))
        for plan, process in zip(self.plan.runners, runners, strict=True):
            self.runners[plan.runner_id] = process
        for daemon in self.plan.daemons:
            await self.start_daemon(daemon)
        await self.wait_for("/healthz")

    async def close(self) -> None:
        """End every process that was started."""
        for child in self._children:
            child.send_signal(signal.SIGCONT)
            child.send_signal(signal.SIGTERM)
        await asyncio.gather(*(self._stop_child(child) for child in self._children))
        await self.http.close()
        self._ports.close()

    async def start_daemon(self, plan: DaemonPlan) -> DaemonProcess:
        """Start a daemon and add it to the membership list."""
        incarnation = self._incarnations.get(plan.vm_id, 0) + 1
        self._incarnations[plan.vm_id] = incarnation
        addresses = [fleet.Address(ports.HOST, self._ports.next()) for _ in range(3)]
        path = self.folder / f"{plan.vm_id}-{incarnation}.toml"
        path.write_text(self._settings(plan, addresses))
        arguments = ["-m", "lacewingdrum_daemon.start", "--settings", str(path)]
        child = await processes.start(plan.vm_id, arguments, self.folder, False)
        self._children.append(child)
        daemon = DaemonProcess(child, plan, incarnation, *addresses)
        self.daemons[plan.vm_id] = daemon
        self._states.pop(plan.vm_id, None)
        await self.publish_members()
        return daemon

    async def stop_daemon(self, vm_id: str) -> None:
        """Start a planned stop and mark the VM as leaving in the list."""
        self.daemons[vm_id].child.send_signal(signal.SIGTERM)
        await self.mark(vm_id, states.MemberState.LEAVING)

    async def kill_daemon(self, vm_id: str) -> None:
        """Kill a daemon without a change of the membership list."""
        await self.daemons[vm_id].child.kill()

    async def forget_daemon(self, vm_id: str) -> None:
        """Remove a VM from the membership list."""
        del self.daemons[vm_id]
        await self.publish_members()

    async def mark(self, member_id: str, state: states.MemberState) -> None:
        """Set the state of a VM or a runner in the membership list."""
        self._states[member_id] = state
        await self.publish_members()

    async def publish_members(self) -> None:
        """Send the current membership list to its stand-in."""
        body = msgspec.json.encode(self._members())
        await self._control(self.platform["members"], "POST", "/members", body)

    async def fault(self, process: StandInProcess, **faults: object) -> None:
        """Set faults of a stand-in; see ``serving.Faults``."""
        body = msgspec.json.encode(faults)
        await self._control(process, "POST", "/control", body)

    async def silence(self, process: StandInProcess) -> None:
        """Make the open connections of a stand-in silent from now on."""
        await self._control(process, "POST", "/silence", b"")

    async def record(self, process: StandInProcess) -> dict[str, Any]:
        """Return the record of what a stand-in did."""
        found: dict[str, Any] = json.loads(
            await self._control(process, "GET", "/record", b"")
        )
        return found

    async def wait_for(self, path: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until every running daemon answers ``path`` with 200.

        Raises:
            TimeoutError: if some daemons do not; the message names them.
        """
        timeout_at_s = time.monotonic() + timeout_s
        while missing := await self.not_answering(path):
            if time.monotonic() > timeout_at_s:
                raise TimeoutError(
                    f"{path} is not answered by {missing}; logs are in {self.folder}"
                )
            await asyncio.sleep(POLL_S)

    async def not_answering(self, path: str) -> list[str]:
        """Return the running daemons that do not answer ``path`` with 200."""
        running = [d for d in self.daemons.values() if d.child.is_running]
        answers = await asyncio.gather(
            *(
                self.http.request(d.callers, "GET", path, timeout_s=PROBE_TIMEOUT_S)
                for d in running
            )
        )
        missing = []
        for daemon, answer in zip(running, answers, strict=True):
            match answer:
                case Ok(response) if response.status == http_messages.STATUS_OK:
                    continue
            missing.append(daemon.plan.vm_id)
        return missing

    async def _control(
        self, process: StandInProcess, method: str, path: str, body: bytes
    ) -> bytes:
        answer = await self.http.request(
            process.control, method, path, (), body, CALL_TIMEOUT_S
        )
        response = answer.unwrap()
        if response.status != http_messages.STATUS_OK:
            raise RuntimeError(f"{process.child.name}: {response.body!r}")
        return response.body

    async def _start_runner(self, plan: RunnerPlan) -> StandInProcess:
        if plan.is_engine:
            options = ("--runner-id", plan.runner_id, *plan.options)
            return await self._start_stand_in("runner", plan.runner_id, options)
        return await self._start_stand_in("plain_service", plan.runner_id, plan.options)

    async def _start_stand_in(
        self, module: str, name: str, options: tuple[str, ...]
    ) -> StandInProcess:
        seed = str(self.plan.seed + len(self._children))
        arguments = ["-m", f"standins.{module}", "--seed", seed, *options]
        child = await processes.start(name, arguments, self.folder, True)
        self._children.append(child)
        bound = await child.first_line()
        return StandInProcess(
            child,
            fleet.Address(ports.HOST, bound["port"]),
            fleet.Address(ports.HOST, bound["control_port"]),
        )

    async def _stop_child(self, child: processes.Child) -> None:
        if await child.wait(STOP_TIMEOUT_S) is None:
            # The second signal ends a daemon that is still draining.
            child.send_signal(signal.SIGTERM)
        if await child.wait(STOP_TIMEOUT_S) is None:
            await child.kill()

    def _members(self) -> members_api.MembersAnswer:
        live = states.MemberState.LIVE
        vms = tuple(
            members_api.VmEntry(
                vm_id=vm_id,
                data_centre=daemon.plan.data_centre,
                host=ports.HOST,
                peer_port=daemon.peers.port,
                operator_port=daemon.operators.port,
                incarnation=daemon.incarnation,
                state=self._states.get(vm_id, live),
            )
            for vm_id, daemon in self.daemons.items()
        )
        runners = tuple(
            members_api.RunnerEntry(
                runner_id=plan.runner_id,
                service=plan.service,
                data_centre=plan.data_centre,
                host=ports.HOST,
                port=self.runners[plan.runner_id].address.port,
                state=self._states.get(plan.runner_id, live),
            )
            for plan in self.plan.runners
        )
        return members_api.MembersAnswer(vms, runners)

    def _settings(self, plan: DaemonPlan, addresses: list[fleet.Address]) -> str:
        digest = hashlib.sha256(OPERATOR_CREDENTIAL.encode()).hexdigest()
        platform = {name: str(self.platform[name].address) for name in self.platform}
        sections: dict[str, dict[str, str | int]] = {
            "vm": {
                "vm_id": ids.VmId(plan.vm_id),
                "data_centre": plan.data_centre,
                "host": ports.HOST,
                "caller_port": addresses[0].port,
                "peer_port": addresses[1].port,
                "operator_port": addresses[2].port,
            },
            "platform": dict(platform),
            "operators": {"credential_sha256": digest},
            "limits": dict(plan.limits),
        }
        return settings_text.toml_text(sections)
