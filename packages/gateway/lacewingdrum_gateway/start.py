"""Starts a gateway: ``python -m lacewingdrum_gateway.start --settings FILE``.

Signals are held back, and callers' connections are taken into the queue,
before anything else is imported. The garbage collector finds nothing to free
while modules are imported, and their objects stay alive, so it is kept from
both. This shortens the start and later collections.
"""

import gc
import sys

from lacewingdrum_runtime import held_signals


def start() -> int:
    """Import the gateway, run it and return its exit code."""
    held_signals.hold()
    from lacewingdrum_gateway import early_listener

    listener = early_listener.open_listener(sys.argv)
    gc.disable()
    from lacewingdrum_gateway import main

    gc.freeze()
    gc.enable()
    return main.main(listener)


if __name__ == "__main__":
    sys.exit(start())
