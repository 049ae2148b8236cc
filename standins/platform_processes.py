"""Runs gateways as processes that use the stand-in for the store."""

import asyncio
import pathlib
import sys

from standins import gateway_settings, ports

SEED_COUNT = 3
DATA_CENTRES = 3


class GatewayProcesses:
    """Gateway processes, each on a loopback address of its own.

    Args:
        folder: the folder for their settings.
        store_port: the port of the stand-in for the store.
        configuration_max_ms: the bound for a change of the configuration.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        store_port: int,
        configuration_max_ms: float = 2_000.0,
    ) -> None:
        self.processes: list[asyncio.subprocess.Process] = []
        self.caller_ports: list[int] = []
        self.ready_ports: list[int] = []
        self._folder = folder
        self._store_port = store_port
        self._configuration_max_ms = configuration_max_ms
        self._ports = ports.PortPicker()
        self.peer_port = self._ports.next()

    def host(self, number: int) -> str:
        """Return the loopback address of a gateway."""
        return f"127.0.2.{number + 1}"

    async def start(self, count: int) -> None:
        """Start ``count`` gateways, without waiting until they are ready."""
        for number in range(count):
            path = self._folder / f"{count}-{number}.toml"
            path.write_text(self._settings(number))
            self.processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "lacewingdrum_gateway.start",
                    "--settings",
                    str(path),
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=asyncio.subprocess.DEVNULL,
                )
            )

    async def close(self) -> None:
        """Kill the gateways that this object started."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        self._ports.close()

    def _settings(self, number: int) -> str:
        self.caller_ports.append(self._ports.next())
        self.ready_ports.append(self._ports.next())
        addresses = gateway_settings.Addresses(
            self.host(number),
            self.caller_ports[number],
            self.ready_ports[number],
            self.peer_port,
            self._store_port,
        )
        return gateway_settings.text(
            number,
            f"dc-{number % DATA_CENTRES}",
            addresses,
            tuple(f"{self.host(seed)}:1" for seed in range(SEED_COUNT)),
            configuration_max_ms=self._configuration_max_ms,
        )
