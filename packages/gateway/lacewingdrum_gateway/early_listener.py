"""Listens for callers before the rest of the daemon is loaded.

Loading takes a noticeable part of a start. Connections that arrive meanwhile
wait in the kernel's queue instead of being refused. This module imports little
and leaves faults of the settings to the daemon, which reports them all.
"""

import socket
import tomllib
from collections.abc import Sequence

SETTINGS_FLAG = "--settings"
BACKLOG = 1024


def open_listener(arguments: Sequence[str]) -> socket.socket | None:
    """Listen on the callers' address that the settings name.

    Args:
        arguments: the command line's arguments.

    Returns:
        The listening socket, or None if the address is not known or cannot be
        bound.
    """
    address = _read_caller_address(arguments)
    if address is None:
        return None
    host, port = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except (OSError, OverflowError):
        listener.close()
        return None
    return listener


def _read_caller_address(arguments: Sequence[str]) -> tuple[str, int] | None:
    """Return host and port, or None if they cannot be read."""
    try:
        path = arguments[list(arguments).index(SETTINGS_FLAG) + 1]
        with open(path, "rb") as file:
            text = tomllib.load(file)["vm"]["caller_address"]
        host, _, port = text.rpartition(":")
        return host.strip("[]"), int(port)
    except (OSError, ValueError, LookupError, TypeError, AttributeError):
        return None
