"""Starts a gateway: ``python -m lacewingdrum_gateway.start --settings FILE``.

The garbage collector finds nothing to free while modules are imported, and
their objects stay alive, so it is kept from both. This shortens the start and
later collections.
"""

import gc
import sys


def start() -> int:
    """Import the gateway, run it and return its exit code."""
    gc.disable()
    from lacewingdrum_gateway import main

    gc.freeze()
    gc.enable()
    return main.main()


if __name__ == "__main__":
    sys.exit(start())
