"""Measures the cost of a heartbeat to document sync and document status."""

import asyncio
import collections
import random
import time
from collections.abc import Callable
from typing import Any

from lacewingdrum_coordination import documents as submissions, membership
from lacewingdrum_daemon import document_status, document_sync
from lacewingdrum_protocol import document_text, peer_messages
from lacewingdrum_state import fleet, ids
from standins import slope_fit, slope_fleet, slope_table

DOCUMENTS = 16


class _Peers:
    """Stores the message handlers, so that they can be called directly."""

    def __init__(self) -> None:
        self.handlers: dict[type, list[Callable[..., None]]]
        self.handlers = collections.defaultdict(list)

    def on_message(self, body_type: type, handler: Callable[..., None]) -> None:
        """Store a handler."""
        self.handlers[body_type].append(handler)

    def send(self, vm_id: ids.VmId, body: peer_messages.Body) -> bool:
        """Send nothing."""
        return True

    def broadcast(
        self, body: peer_messages.Body, data_centre: ids.DataCentre | None = None
    ) -> int:
        """Send nothing."""
        return 0


class _Members:
    def __init__(self, vms: tuple[fleet.Vm, ...]) -> None:
        self.view = membership.merge(
            membership.View(), fleet.Members(vms), time.monotonic()
        )


def heartbeat_us(size: int) -> float:
    """Return the processor us of one heartbeat with ``size`` VMs."""
    return asyncio.run(_heartbeat_us(size))


async def _heartbeat_us(size: int) -> float:
    peers, vms = _Peers(), slope_fleet.vms(size)
    own, sender = vms[0], vms[-1].vm_id
    links: Any = peers
    members: Any = _Members(vms)
    sync = document_sync.DocumentSync(
        slope_table.CountingTable().client(),
        links,
        document_text.parse,
        time.monotonic,
        vm_id=own.vm_id,
        members=members,
        rng=random.Random(1),
    )
    digests = []
    for index in range(DOCUMENTS):
        name = ids.ServiceName(f"model-{index:02d}")
        text = slope_fleet.document(10, name)
        first = ids.DocumentVersion(0)
        await sync.submit(name, first, ids.new_submission_id(), text)
        digests.append(
            peer_messages.DocumentVersionEntry(name, 1, submissions.digest_of(text))
        )
    sync.start()
    status = document_status.DocumentStatus(own.vm_id, own.data_centre)
    heartbeat = peer_messages.Heartbeat(1, own.data_centre, False, tuple(digests))
    (on_heartbeat,) = peers.handlers[peer_messages.Heartbeat]

    def receive_heartbeat() -> None:
        on_heartbeat(sender, heartbeat)
        status.record_heartbeat(sender, heartbeat, time.monotonic())

    elapsed_us = slope_fit.call_us(receive_heartbeat)
    await sync.close()
    return elapsed_us
