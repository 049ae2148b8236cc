"""The memory that a stand-in for an engine has reserved."""

import asyncio
import dataclasses
import json


@dataclasses.dataclass(slots=True)
class MemoryReservation:
    """Memory that is reserved under an id, until ``until_s``."""

    tokens: int
    until_s: float
    reserved_s: float = 0.0
    is_used: bool = False


def apply_command(
    reserved: dict[str, MemoryReservation], command: dict[str, object]
) -> None:
    """Reserve, renew or release memory as a command says."""
    reservation_id = str(command["id"])
    if command["op"] != "reserve":
        reserved.pop(reservation_id, None)
        return
    now_s = asyncio.get_running_loop().time()
    expires_s = now_s + int(str(command["hold_ms"])) / 1_000
    held = reserved.get(reservation_id)
    if held is not None and held.until_s > now_s:
        held.until_s = expires_s
        return
    tokens = int(str(command["tokens"]))
    reserved[reservation_id] = MemoryReservation(tokens, expires_s, now_s)


def format_report(
    reserved: dict[str, MemoryReservation], born: dict[str, int]
) -> bytes:
    """Return the report of the reservations that have not expired.

    Args:
        reserved: the reservations by id.
        born: what the engine says of its start.
    """
    now_s = asyncio.get_running_loop().time()
    tickets = [
        {"id": name, "state": "used" if item.is_used else "held"}
        for name, item in reserved.items()
        if item.until_s > now_s
    ]
    return json.dumps({"phase": "colocated", "tickets": tickets, **born}).encode()
