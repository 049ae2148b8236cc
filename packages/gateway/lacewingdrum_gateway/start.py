"""Starts a gateway: ``python -m lacewingdrum_gateway.start --settings FILE``.

Callers' connections are taken into the queue before anything else is imported.
The garbage collector finds nothing to free while modules are imported, and
their objects stay alive, so it is kept from both. This shortens the start and
later collections.
"""

import gc
import sys

from lacewingdrum_gateway import early_listener


def start() -> int:
    """Import the gateway, run it and return its exit code."""
    listener = early_listener.open_listener(sys.argv)
    gc.disable()
    from lacewingdrum_gateway import main

    gc.freeze()
    gc.enable()
    return main.main(listener)


if __name__ == "__main__":
    sys.exit(start())
