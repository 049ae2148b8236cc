"""Measures what each part costs against its size: ``make slopes``.

Each cost is measured at three sizes or more, in rounds; the line through
them and its spread are printed. docs/CAPACITY.md works from these figures.
"""

import os
import platform
import sys

from standins import (
    slope_control,
    slope_fit,
    slope_memory,
    slope_platform,
    slope_sockets,
    slope_streams,
    slope_table,
)

SECTIONS = (
    ("Decisions", slope_control.decisions),
    ("Peer messages", slope_control.messages),
    ("Membership", slope_control.membership_costs),
    ("Load rounds", slope_control.rounds),
    ("Membership list and load reports", slope_platform.reads),
    ("Customers' budgets", slope_platform.budgets),
    ("Documents", slope_memory.parsing),
    ("Links between daemons", slope_sockets.links),
    ("Forwarded parts", slope_streams.forwarding),
    ("Table service", slope_table.work),
    ("Memory", slope_memory.held),
)


def main() -> int:
    """Returns: 0 once everything was measured.

    An argument measures only the sections whose title contains it.
    """
    wanted = sys.argv[1].lower() if len(sys.argv) > 1 else ""
    version = platform.python_version()
    print(f"Python {version}, {os.cpu_count()} processors, {platform.machine()}")
    for title, section in SECTIONS:
        if wanted not in title.lower():
            continue
        print(f"\n## {title}\n\n{slope_fit.HEADER}", flush=True)
        for measured in section():
            print(measured.text(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
