"""Starts the daemon, the command ``lacewingdrumd``.

Signals are held back before anything else is imported.
"""

import sys

from lacewingdrum_runtime import held_signals


def start() -> int:
    """Import the daemon, run it and return its exit code."""
    held_signals.hold()
    from lacewingdrum_daemon import main

    return main.main()


if __name__ == "__main__":
    sys.exit(start())
