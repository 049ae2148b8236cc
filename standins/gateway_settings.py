"""Formats the settings files of gateways that run as processes."""

import dataclasses
import json


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """Where a gateway listens, and the port of its store at 127.0.0.1."""

    host: str
    caller_port: int
    ready_port: int
    peer_port: int
    store_port: int
    metrics_port: int = 0


def text(
    number: int,
    data_centre: str,
    addresses: Addresses,
    seeds: tuple[str, ...] = (),
    **bounds: float,
) -> str:
    """Return the text of a gateway's settings.

    Args:
        number: the number of the gateway, for its name.
        data_centre: the data centre that it is in.
        addresses: where it listens, and where its store is.
        seeds: addresses of gateways to contact first.
        bounds: the settings of that section.
    """
    host = addresses.host
    lines = "\n".join(f"{name} = {value}" for name, value in bounds.items())
    return f"""
[vm]
vm_id = "vm-{number}"
data_centre = "{data_centre}"
host = "{host}"
caller_address = "{host}:{addresses.caller_port}"
ready_address = "{host}:{addresses.ready_port}"
peer_port = {addresses.peer_port}
metrics_port = {addresses.metrics_port}
seeds = {json.dumps(seeds)}
[store]
address = "127.0.0.1:{addresses.store_port}"
[bounds]
{lines}
"""
