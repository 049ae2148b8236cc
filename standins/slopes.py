"""Measures how the cost of each component grows: ``make slopes``.

Each cost is measured at several sizes, in rounds. The program prints the
line fitted to the measurements and the range of the rounds' slopes.
docs/CAPACITY.md is based on these figures.
"""

import importlib
import os
import platform
import sys

from standins import (
    slope_control,
    slope_decisions,
    slope_fit,
    slope_leases,
    slope_memory,
    slope_platform,
    slope_sockets,
    slope_streams,
    slope_table,
)

SECTIONS = (
    ("Decisions", slope_decisions.decisions),
    ("Peer messages", slope_control.messages),
    ("Membership", slope_control.membership_costs),
    ("Load rounds", slope_control.load_round_costs),
    ("Membership list and load reports", slope_platform.reads),
    ("Customers' budgets", slope_platform.budgets),
    ("Documents", slope_memory.parsing),
    ("Links between daemons", slope_sockets.links),
    ("Forwarded parts", slope_streams.forwarding),
    ("Table service", slope_table.table_costs),
    ("Placement leases", slope_leases.leases),
    ("Memory", slope_memory.memory_costs),
)


def main() -> int:
    """Run the measurements and return 0.

    With an argument, run only the sections whose title contains it.
    """
    wanted = sys.argv[1].lower() if len(sys.argv) > 1 else ""
    version = platform.python_version()
    print(f"Python {version}, {os.cpu_count()} processors, {platform.machine()}")
    importlib.import_module("lacewingdrum_daemon.daemon")
    resident_mb = slope_sockets.resident_bytes() / 1_000_000
    print(f"resident memory with the daemon's modules loaded: {resident_mb:.1f} MB")
    for title, section in SECTIONS:
        if wanted not in title.lower():
            continue
        print(f"\n## {title}\n\n{slope_fit.HEADER}", flush=True)
        for measured in section():
            print(measured.format_row(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
