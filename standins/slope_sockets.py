"""Measures the cost of links between daemons that exchange heartbeats.

A hub has one link for each peer, and a single sink acts as all the peers. The
process thus does the work of one daemon in a fleet of that size: it sends,
receives and acknowledges one heartbeat per link and second.
"""

import asyncio
import contextlib
import time

from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import peer_socket
from standins import slope_fit, slope_fleet

LINK_SIZES = (30, 90, 180, 359)
RELAYED_LINKS = (2, 4, 8)
DOCUMENT_SIZES = (1, 4, 16)
DOCUMENTS = 16
HEARTBEAT_INTERVAL_S = 1.0
WARM_UP_S = 2.0
MEASURED_S = 4.0
ROUNDS = 3
PAGE_BYTES = 4096
LOOPBACK = "127.0.0.1"

Measured = slope_fit.Measured


def links() -> list[Measured]:
    """Return the processor time, memory and bytes of links between daemons."""
    direct_runs = [
        {
            size: asyncio.run(_measure_heartbeats(size, DOCUMENTS, False))
            for size in LINK_SIZES
        }
        for _ in range(ROUNDS)
    ]
    relayed = [
        {
            size: asyncio.run(_measure_heartbeats(size, DOCUMENTS, True))
            for size in RELAYED_LINKS
        }
        for _ in range(ROUNDS)
    ]
    document_runs = [
        {
            size: asyncio.run(_measure_heartbeats(1, size, True))
            for size in DOCUMENT_SIZES
        }
        for _ in range(ROUNDS)
    ]
    busy = "processor time a second, all-to-all heartbeats, against links"
    bytes_per_link = "payload bytes a second both ways, 16 documents, against links"
    bytes_per_document = "payload bytes a second both ways, one link, against documents"
    return [
        _measured(busy, "us/s", direct_runs, 0),
        _measured("resident memory of links, against links", "bytes", direct_runs, 1),
        _measured(bytes_per_link, "bytes/s", relayed, 2),
        _measured(bytes_per_document, "bytes/s", document_runs, 2),
        _measured("segments a second both ways, against links", "1/s", relayed, 3),
    ]


def _measured(
    name: str, unit: str, runs: list[dict[int, tuple[float, ...]]], index: int
) -> Measured:
    rounds = tuple(
        tuple(slope_fit.Point(size, run[size][index]) for size in run) for run in runs
    )
    return Measured(name, unit, rounds)


class _Relay:
    """Forwards TCP connections and counts payload bytes and reads."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.byte_count = 0
        self.read_count = 0
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> int:
        """Start the relay and return its port."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Close the server and all connections."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            target = await asyncio.open_connection(LOOPBACK, self._port)
            self._writers += [writer, target[1]]
            await asyncio.gather(
                self._pump(reader, target[1]), self._pump(target[0], writer)
            )

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            self.byte_count += len(data)
            self.read_count += 1
            writer.write(data)


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


async def _measure_heartbeats(
    link_count: int, document_count: int, relayed: bool
) -> tuple[float, ...]:
    """Return us per second, bytes held, and bytes and reads per second."""
    before_bytes = resident_bytes()
    hub = peer_socket.PeerSocket(ids.VmId("entry-vm-0000"))
    sink = peer_socket.PeerSocket(ids.VmId("entry-vm-0001"))
    await hub.start(LOOPBACK, 0)
    port = await sink.start(LOOPBACK, 0)
    relay = _Relay(port)
    if relayed:
        port = await relay.start()
    peers = [ids.VmId(f"entry-vm-{index:04d}") for index in range(link_count)]
    for peer in peers:
        hub.connect(peer, fleet.Address(LOOPBACK, port))
    receiving = asyncio.get_running_loop().create_task(_receive(sink))
    sending = asyncio.get_running_loop().create_task(_send(hub, peers, document_count))
    await asyncio.sleep(WARM_UP_S)
    start_s, used_s = time.monotonic(), time.process_time()
    bytes_before, reads_before = relay.byte_count, relay.read_count
    await asyncio.sleep(MEASURED_S)
    elapsed_s = time.monotonic() - start_s
    busy_us = (time.process_time() - used_s) / elapsed_s * slope_fit.US_PER_S
    held_bytes = resident_bytes() - before_bytes
    byte_rate = (relay.byte_count - bytes_before) / elapsed_s
    read_rate = (relay.read_count - reads_before) / elapsed_s
    sending.cancel()
    receiving.cancel()
    await asyncio.gather(sending, receiving, return_exceptions=True)
    await hub.close()
    await sink.close()
    if relayed:
        await relay.close()
    return busy_us, float(max(0, held_bytes)), byte_rate, read_rate


async def _send(
    hub: peer_socket.PeerSocket, peers: list[ids.VmId], document_count: int
) -> None:
    while True:
        hub.send_many(peers, slope_fleet.heartbeat(document_count))
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


async def _receive(sink: peer_socket.PeerSocket) -> None:
    while True:
        await sink.receive()
