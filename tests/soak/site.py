"""Runs the gateway processes and stand-ins of one soak."""

import asyncio
import pathlib
import random
import signal

from standins import (
    fault_proxy,
    gateway_settings,
    listening_sockets,
    platform_runner,
    platform_site,
    platform_store,
    ports,
    runner_crashes,
    runner_paths,
)
from tests.soak import builds, checks, cut_gateway

ENGINES = 4
READ_PATH = "/read/x"
LEDGERS = 3
GATEWAYS = 3
DATA_CENTRES = ("north", "south", "west")
GRACE_S = 4.0
RESTART_S = 0.2


class SoakSite:
    """Gateway processes that reach store and runner stand-ins by proxies.

    Args:
        folder: the folder for settings and logs.
        rng: draws the steps between configuration versions.
        gateway_count: the number of gateways.
        known_builds: the builds that the gateways start with, in turn.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        rng: random.Random,
        gateway_count: int = GATEWAYS,
        known_builds: tuple[builds.Build, ...] = (builds.TODAY,),
    ) -> None:
        self.gateway_count = gateway_count
        self.known_builds = known_builds
        # The build that each gateway runs, or is started with next.
        self.builds = [
            known_builds[number % len(known_builds)] for number in range(gateway_count)
        ]
        self.store = platform_store.PlatformStore()
        self.runners: list[platform_runner.PlatformRunner] = []
        self.runner_proxies: list[fault_proxy.FaultProxy] = []
        self.store_proxies: list[fault_proxy.FaultProxy] = []
        self.processes: list[asyncio.subprocess.Process] = []
        # Those that have listened for callers.
        self._begun: set[asyncio.subprocess.Process] = set()
        self.disruptions: list[checks.Disruption] = []
        self.named_limits: list[checks.NamedLimit] = []
        self.cuts: list[checks.RunnerCut] = []
        self.faults: list[str] = []
        # What gateways of today had skipped of their peers' messages.
        self.unread: list[str] = []
        self.ended_by_settings: list[str] = []
        self.credentials = ["key-0"]
        self.version = 1
        # The part of prompts that crashes engines now, if any.
        self.crashing_part = ""
        self.crashing_read = b""
        self._configuration: dict[str, object] = {}
        self._states: dict[int, str] = {}
        self._restarts: list[asyncio.Future[None]] = []
        self._folder = folder
        self._rng = rng
        self._ports = ports.PortPicker()
        self._peer_port = self._ports.next()
        self.metrics_port = self._ports.next()
        self.caller_ports = [self._ports.next() for _ in range(gateway_count)]
        self._ready_ports = [self._ports.next() for _ in range(gateway_count)]

    async def start(self) -> None:
        """Start everything; the gateways may not be ready yet."""
        store_port = await self.store.start()
        self.write_configuration()
        for number in range(ENGINES + LEDGERS):
            service = platform_site.MODEL if number < ENGINES else platform_site.LEDGER
            await self._add_runner(f"r{number}", service)
        for number in range(self.gateway_count):
            path_proxy = fault_proxy.FaultProxy(store_port)
            await path_proxy.start()
            self.store_proxies.append(path_proxy)
            self._write_settings(number)
        for number in range(self.gateway_count):
            self.processes.append(await self._spawn(number))

    def host(self, number: int) -> str:
        """Return the gateway's own loopback address."""
        return f"127.0.1.{number + 1}"

    def peer_address(self, number: int) -> str:
        """Return where the gateway hears other daemons."""
        return f"{self.host(number)}:{self._peer_port}"

    def write_configuration(self) -> None:
        """Write a new configuration version with the current credentials."""
        self.version += self._rng.randint(1, 3)
        self._configuration = platform_site.make_configuration(
            self.version,
            tenants=[{"name": "alice", "api_keys": list(self.credentials)}],
        )
        self.store.put_json("op", "config", self._configuration)

    def register(self, number: int, state: str = "ready") -> None:
        """Write a runner's entry with the address of its proxy."""
        self._states[number] = state
        runner = self.runners[number]
        service = platform_site.MODEL if number < ENGINES else platform_site.LEDGER
        entry = runner.entry(service, state)
        entry["address"] = f"127.0.0.1:{self.runner_proxies[number].port}"
        self.store.put_json("servers", runner.runner_id, entry)

    def restart_runner(self, number: int) -> None:
        """Register a runner that was leaving as a new incarnation."""
        runner = self.runners[number]
        runner.is_leaving = False
        runner.born_ms += 1
        self.register(number)

    @property
    def engines(self) -> list[platform_runner.PlatformRunner]:
        """The runners of the model service."""
        return self.runners[:ENGINES]

    @property
    def ledgers(self) -> list[platform_runner.PlatformRunner]:
        """The runners of the plain service."""
        return self.runners[ENGINES:]

    def set_crashing_read(self, body: bytes) -> None:
        """Let all plain runners crash on one read; ``b""`` ends that."""
        self.crashing_read = body
        crashing = runner_crashes.CrashingRequest(READ_PATH, body)
        for ledger in self.ledgers:
            ledger.crashes.requests = {crashing} if body else set()

    def set_crashing_part(self, part: str) -> None:
        """Let all engines crash on a part of prompts; ``""`` ends that."""
        self.crashing_part = part
        for runner in self.engines:
            runner.crashes.parts = {part} if part else set()

    def cut_off(self, number: int, cut: runner_paths.Cut | None) -> None:
        """Cut a gateway off from all runners; None ends that."""
        text = cut.value if cut is not None else ""
        cut_gateway.cut_file(self._settings_path(number)).write_text(text)

    def return_store(self, copied: platform_store.StoreCopy) -> None:
        """Let the store return from a copy; others write their rows again."""
        self.store.restore(copied)
        self.store.put_json("op", "config", self._configuration)
        for number, state in tuple(self._states.items()):
            self.register(number, state)

    async def kill(
        self,
        number: int,
        stop_signal: signal.Signals,
        build: builds.Build | None = None,
    ) -> None:
        """Stop a gateway by a signal and restart it.

        Args:
            number: the gateway's number.
            stop_signal: SIGTERM or SIGKILL.
            build: what it runs from then on, if not what it ran.
        """
        self.builds[number] = build or self.builds[number]
        process = self.processes[number]
        from_s = asyncio.get_running_loop().time()
        process.send_signal(stop_signal)
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
        if process.returncode == -signal.SIGHUP:
            self.ended_by_settings.append(f"SIGHUP ended gateway {number} in a stop")
        await asyncio.sleep(RESTART_S)
        self.processes[number] = await self._spawn(number)
        await self.wait_until_ready(number)
        to_s = asyncio.get_running_loop().time()
        is_planned = stop_signal is signal.SIGTERM
        self.disruptions.append(checks.Disruption(number, from_s, to_s, is_planned))

    def signal_settings(self, number: int) -> None:
        """Tell a gateway of today that its settings may have changed.

        It may be starting or stopping, but it has listened before: what comes
        while its interpreter starts ends it.
        """
        process = self.processes[number]
        if self.builds[number] is not builds.TODAY or process.returncode is not None:
            return
        if process not in self._begun and not listening_sockets.is_listening(
            self.host(number), self.caller_ports[number]
        ):
            return
        self._begun.add(process)
        process.send_signal(signal.SIGHUP)

    async def pause(self, number: int, pause_s: float) -> None:
        """Suspend a gateway's process for ``pause_s``."""
        process = self.processes[number]
        from_s = asyncio.get_running_loop().time()
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(pause_s)
        finally:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
        to_s = asyncio.get_running_loop().time()
        self.disruptions.append(checks.Disruption(number, from_s, to_s))

    async def wait_until_ready(self, number: int, limit_s: float = 12.0) -> None:
        """Wait until a gateway reports that it is ready.

        Raises:
            TimeoutError: if it is not ready within ``limit_s``.
        """
        async with asyncio.timeout(limit_s):
            while not await self._is_ready(number):
                await asyncio.sleep(0.05)

    async def close(self) -> list[str]:
        """Stop all gateways, proxies and stand-ins.

        Returns:
            A line for each gateway that had already ended by itself.
        """
        faults = self.ended_by_settings + [
            f"gateway {number} ended by itself with {process.returncode}"
            for number, process in enumerate(self.processes)
            if process.returncode is not None
        ]
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for path_proxy in (*self.store_proxies, *self.runner_proxies):
            await path_proxy.close()
        for runner in self.runners:
            await runner.close()
        await self.store.close()
        self._ports.close()
        return faults

    async def _add_runner(self, name: str, service: str) -> None:
        runner = platform_runner.PlatformRunner(name, len(checks.EVENT_NUMBERS))
        runner.event_interval_s = 0.04
        await runner.start()
        path_proxy = fault_proxy.FaultProxy(runner.port)
        await path_proxy.start()
        number = len(self.runners)
        self.runners.append(runner)
        self.runner_proxies.append(path_proxy)
        self.register(number)

        def register_restart() -> None:
            runner.born_ms += 1
            self._restarts.append(asyncio.ensure_future(path_proxy.listen_again()))
            self.register(number, self._states[number])

        runner.crashes.on_crash = path_proxy.stop_listening
        runner.crashes.on_restart = register_restart

    async def _spawn(self, number: int) -> asyncio.subprocess.Process:
        log_path = self._folder / f"gateway-{number}.log"
        return await self.builds[number].spawn(self._settings_path(number), log_path)

    def _settings_path(self, number: int) -> str:
        return str(self._folder / f"gateway-{number}.toml")

    async def _is_ready(self, number: int) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                self.host(number), self._ready_ports[number]
            )
        except OSError:
            return False
        try:
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            async with asyncio.timeout(1.0):
                return b" 200 " in await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            writer.transport.abort()

    def _write_settings(self, number: int) -> None:
        addresses = gateway_settings.Addresses(
            self.host(number),
            self.caller_ports[number],
            self._ready_ports[number],
            self._peer_port,
            self.store_proxies[number].port,
            self.metrics_port,
        )
        text = gateway_settings.text(
            number,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            addresses,
            (f"{self.host(0)}:1", f"{self.host(1)}:1"),
            stop_grace_s=GRACE_S,
        )
        pathlib.Path(self._settings_path(number)).write_text(text)
