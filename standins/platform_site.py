"""Runs a small platform site in one process: store, runners, gateways."""

import asyncio
import contextlib
import dataclasses
import logging

import zmq
from result import Ok

from lacewingdrum_gateway import gateway, settings
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import http_client, http_messages
from standins import (
    fault_proxy,
    platform_runner,
    platform_store,
    ports,
    runner_paths,
)

HOST = "127.0.0.1"
MODEL = "model"
LEDGER = "ledger"
CREDENTIAL = "key-of-alice"
CUSTOMER = "alice"
WAIT_TIMEOUT_S = 5.0
STOP_GRACE_S = 4.0
POLL_S = 0.02
ENGINE = {
    "slots": 8,
    "kv_capacity_tokens": 450_000,
    "kv_token_bytes": 327_680,
    "stride": 46,
    "models": [{"name": "m"}],
    "step_ms": 0.925,
    "per_seq_ms": 0.00966,
    "context_per_k": 0.00254,
    "read_per_s": 256_000.0,
    "pairs_per_m": 0.0917,
    "chunk": 2_048,
    "hop_ms": 0.1,
}


def make_route(
    name: str, kind: str, service: str, **changes: object
) -> dict[str, object]:
    """Return a route of the operators' configuration, as JSON data."""
    is_stream = kind == "stream"
    return {
        "name": name,
        "host": "site.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 4_000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 1 if kind == "non_idempotent" else 2,
        "public": False,
        "resumable": is_stream,
        "gap_target_ms": 200 if is_stream else 0,
        **changes,
    }


def make_configuration(version: int = 1, **changes: object) -> dict[str, object]:
    """Return a configuration of the operators, as JSON data."""
    return {
        "version": version,
        "routes": [
            make_route("ask", "stream", MODEL),
            make_route(
                "digest",
                "stream",
                MODEL,
                target_latency_ms=3_000,
                gap_target_ms=800,
            ),
            make_route("read", "idempotent", LEDGER),
            make_route("order", "non_idempotent", LEDGER),
        ],
        "services": [
            {"name": MODEL, "max_conns": 400, "engine": ENGINE},
            {"name": LEDGER, "max_conns": 100},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": CUSTOMER, "api_keys": [CREDENTIAL], "priority": 1}],
        **changes,
    }


@dataclasses.dataclass(slots=True)
class RunningGateway:
    """A gateway, its settings and its paths to runners."""

    daemon: gateway.Gateway
    gateway_settings: settings.Settings
    paths: runner_paths.RunnerPaths


class PlatformSite:
    """A store, runners of two services, and gateways that know seeds.

    Gateways reach the store by ``store_path``.
    """

    def __init__(self, bounds: settings.BoundsSettings | None = None) -> None:
        self.bounds = bounds or settings.BoundsSettings()
        self.store = platform_store.PlatformStore()
        self.store_path = fault_proxy.FaultProxy(0)
        self.engines: list[platform_runner.PlatformRunner] = []
        self.ledgers: list[platform_runner.PlatformRunner] = []
        self.gateways: list[RunningGateway] = []
        self.client = http_client.HttpClient()
        self._ports = ports.PortPicker()
        self._gateway_count = 0

    async def start(self, engines: int = 2, ledgers: int = 2) -> None:
        """Start the store and the runners, and store the configuration."""
        store_port = self._ports.next()
        self.store_path.target_port = await self.store.start(port=store_port)
        await self.store_path.start()
        self.store.put_json("op", "config", make_configuration())
        for number in range(engines):
            self.engines.append(await self._start_runner(f"e{number}", MODEL))
        for number in range(ledgers):
            self.ledgers.append(await self._start_runner(f"l{number}", LEDGER))

    async def _start_runner(
        self, runner_id: str, service: str
    ) -> platform_runner.PlatformRunner:
        runner = platform_runner.PlatformRunner(runner_id)
        await runner.start(self._ports.next())

        def register_restart() -> None:
            runner.born_ms += 1
            self.store.put_json("servers", runner_id, runner.entry(service))

        runner.crashes.on_restart = register_restart
        self.store.put_json("servers", runner_id, runner.entry(service))
        return runner

    async def add_gateway(self, seeds: tuple[str, ...] = ()) -> RunningGateway:
        """Start one more gateway and wait until it is ready.

        Args:
            seeds: addresses of other gateways; their ports are ignored.

        Returns:
            The ready gateway.
        """
        running = await self.start_gateway(seeds)
        await self.wait_until(lambda: running.daemon.is_ready)
        return running

    async def start_gateway(self, seeds: tuple[str, ...] = ()) -> RunningGateway:
        """Start one more gateway, without waiting until it is ready.

        Args:
            seeds: addresses of other gateways; their ports are ignored.

        Returns:
            The gateway.
        """
        self._gateway_count += 1
        # All gateways have the same peer port, so each has its own address.
        host = f"127.0.0.{self._gateway_count}"
        if self._gateway_count == 1:
            self._peer_port = self._ports.next()
        gateway_settings = settings.Settings(
            vm=settings.VmSettings(
                vm_id=ids.VmId(f"vm-{self._gateway_count}"),
                data_centre=ids.DataCentre("north"),
                host=host,
                caller_address=fleet.Address(host, self._ports.next()),
                ready_address=fleet.Address(host, self._ports.next()),
                peer_port=self._peer_port,
                relay_port=self._ports.next(),
                metrics_port=self._ports.next(),
                seeds=seeds,
            ),
            store=settings.StoreSettings(fleet.Address(HOST, self.store_path.port)),
            bounds=dataclasses.replace(self.bounds, stop_grace_s=STOP_GRACE_S),
        )
        logger = logging.getLogger("lacewingdrum.site")
        paths = runner_paths.RunnerPaths()
        running = RunningGateway(
            gateway.Gateway(gateway_settings, "", logger, paths.connect),
            gateway_settings,
            paths,
        )
        self.gateways.append(running)
        await running.daemon.start()
        return running

    async def restart_gateway(self, running: RunningGateway) -> None:
        """End a gateway without notice and restart it with its settings."""
        await running.daemon.close()
        logger = logging.getLogger("lacewingdrum.site")
        running.daemon = gateway.Gateway(
            running.gateway_settings, "", logger, running.paths.connect
        )
        await running.daemon.start()

    def silence_store_connections(self) -> None:
        """Let open connections to the store go silent; new ones work."""
        self.store_path.silence(fault_proxy.PathFault.NONE)

    def silence_peer_connections(self) -> None:
        """Let open connections between gateways go silent; new ones work."""
        for running in self.gateways:
            for link in running.daemon.components.peers._socket._links.values():
                # A link that is silent already has no connection.
                with contextlib.suppress(zmq.ZMQError):
                    link._dealer.disconnect(f"tcp://{link.address}")

    async def close(self) -> None:
        """Close the gateways, the runners and the store."""
        await self.client.close()
        for running in self.gateways:
            await running.daemon.close()
        for runner in (*self.engines, *self.ledgers):
            await runner.close()
        await self.store_path.close()
        await self.store.close()
        self._ports.close()

    async def wait_until(self, condition, timeout_s: float = WAIT_TIMEOUT_S) -> None:  # type: ignore[no-untyped-def]
        """Wait until a condition holds.

        Args:
            condition: called every ``POLL_S`` seconds.
            timeout_s: the longest time to wait.

        Raises:
            TimeoutError: if the condition does not hold in time.
        """
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(POLL_S)

    async def call(
        self,
        path: str,
        attempt_id: str,
        method: str = "POST",
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"body",
        on: RunningGateway | None = None,
        credential: str = CREDENTIAL,
        timeout_s: float = 8.0,
    ) -> http_messages.HttpResponse:
        """Send one request to a gateway.

        Args:
            path: the path, with the query.
            attempt_id: the attempt id that the caller chose.
            method: the HTTP method.
            headers: headers in addition to the usual ones.
            body: the body of the request.
            on: the gateway to call; None means the first one.
            credential: the credential of the customer.
            timeout_s: the longest time until the answer is complete.

        Returns:
            The answer; its status is 0 if the connection ended without one.
        """
        running = on or self.gateways[0]
        sent = (
            ("Host", "site.example"),
            ("Attempt-Id", attempt_id),
            ("Key", credential),
            *headers,
        )
        answer = await self.client.request(
            running.gateway_settings.vm.caller_address,
            method,
            path,
            sent,
            body,
            timeout_s,
        )
        if isinstance(answer, Ok):
            return answer.ok_value
        return http_messages.HttpResponse(0, (), answer.err_value.detail.encode())


def prompt_headers(
    tokens: int, patience_ms: int = 4_000
) -> tuple[tuple[str, str], ...]:
    """Return the headers of a model request."""
    return (
        ("Token-Count", f"{tokens},100"),
        ("Model", "m"),
        ("Prompt-Prefix", f"ab:{tokens}"),
        ("Deadline-Ms", str(patience_ms)),
    )


@contextlib.asynccontextmanager
async def running_site(  # type: ignore[no-untyped-def]
    gateways: int = 1,
    engines: int = 2,
    ledgers: int = 2,
    bounds: settings.BoundsSettings | None = None,
):
    """Yield a site with ready gateways, and close it afterwards."""
    site = PlatformSite(bounds)
    try:
        await site.start(engines, ledgers)
        for _ in range(gateways):
            await site.add_gateway(("127.0.0.1:1",))
        yield site
    finally:
        await site.close()
