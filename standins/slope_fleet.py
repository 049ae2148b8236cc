"""Generates fleets, documents and requests for the measurements."""

import hashlib

from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import fleet, ids, requests

DATA_CENTRES = 12
SERVICES = 16
PORT = 9000


def data_centre(index: int) -> ids.DataCentre:
    """Return the data centre of the VM or runner with this index."""
    return ids.DataCentre(f"region-{index % DATA_CENTRES:02d}-centre")


def vms(count: int) -> tuple[fleet.Vm, ...]:
    """Return VMs that are spread evenly over the data centres."""
    address = fleet.Address("10.0.0.1", PORT)
    return tuple(
        fleet.Vm(
            ids.VmId(f"entry-vm-{index:04d}"),
            data_centre(index),
            address,
            address,
            ids.Incarnation(1),
        )
        for index in range(count)
    )


def runners(count: int, services: int = SERVICES) -> tuple[fleet.Runner, ...]:
    """Return runners that are spread evenly over data centres and services."""
    return tuple(
        fleet.Runner(
            ids.RunnerId(f"runner-{index:05d}"),
            ids.ServiceName(f"model-{index // DATA_CENTRES % services:02d}"),
            data_centre(index),
            fleet.Address("10.0.0.2", PORT + index % 1000),
            ids.Incarnation(1),
        )
        for index in range(count)
    )


def load(runner: fleet.Runner, as_of_s: float) -> fleet.RunnerLoad:
    """Return the load report of a busy runner."""
    return fleet.RunnerLoad(
        runner.runner_id, as_of_s, 2_000, 20_000, 300_000, 24, 310_000, 400_000, 1e4, 50
    )


def load_entry(runner: fleet.Runner) -> peer_messages.LoadEntry:
    """Return the same load report as an entry of a peer message."""
    return peer_messages.LoadEntry(
        runner.runner_id, 250, 2_000, 20_000, 300_000, 24, 310_000, 400_000, 1e4, 50.0
    )


def digests(count: int) -> tuple[peer_messages.DocumentVersionEntry, ...]:
    """Return document versions and digests as heartbeats contain them."""
    return tuple(
        peer_messages.DocumentVersionEntry(
            f"model-{index:02d}", 1_000, hashlib.sha256(b"%d" % index).hexdigest()
        )
        for index in range(count)
    )


def heartbeat(
    document_count: int, centre: str = "region-00-centre"
) -> peer_messages.Heartbeat:
    """Return a heartbeat with the digests of some documents."""
    return peer_messages.Heartbeat(
        1_764_800_000_000, centre, False, digests(document_count)
    )


def request(prompt_tokens: int = 1_000) -> requests.Request:
    """Return a short request for the first service."""
    return requests.Request(
        request_id=ids.RequestId("req-0123456789abcdef0123"),
        service=ids.ServiceName("model-00"),
        customer=ids.CustomerId("customer-0001"),
        kind=ids.KindName("short"),
        prompt_tokens=prompt_tokens,
        max_tokens=500,
        received_s=100.0,
        deadline_s=130.0,
    )


def in_flight(
    count: int, all_runners: tuple[fleet.Runner, ...]
) -> tuple[requests.InFlightAttempt, ...]:
    """Return attempts that are spread over the runners."""
    return tuple(
        requests.InFlightAttempt(
            ids.AttemptId(f"req-{index:020x}.1"),
            all_runners[index * 7 % len(all_runners)].runner_id,
            4_000,
            4_500,
            99.0,
        )
        for index in range(count)
    )


def document(customers: int, service: str = "model-00", text_bytes: int = 0) -> str:
    """Return a document with ``customers`` customers.

    The text is padded to at least ``text_bytes``.
    """
    parts = [
        f'service = "{service}"\nservice_type = "model"\nmodel = "{service}"\n'
        'purpose = "Measured."\n'
        '[[kinds]]\nkind = "short"\nmax_prompt_tokens = 4000\npatience_ms = 1000\n'
        '[[kinds]]\nkind = "long"\nmax_prompt_tokens = 1000000\npatience_ms = 9000\n'
    ]
    for index in range(customers):
        digest = hashlib.sha256(b"%d" % index).hexdigest()
        parts.append(
            f'[[customers]]\ncustomer = "customer-{index:05d}"\n'
            f'credential_sha256 = "{digest}"\nlimit_tokens_per_s = 20000\n'
        )
    text = "".join(parts)
    return text + "#" * max(0, text_bytes - len(text)) + "\n"
