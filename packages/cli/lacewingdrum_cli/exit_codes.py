"""What the command line's exit code says, for scripts."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes; 1 is the command-line library's own, for wrong usage."""

    OK = 0
    USAGE = 1
    FAULTY = 2
    CONFLICT = 3
    NO_DAEMON = 4
    CREDENTIAL = 5
    NOT_FOUND = 6
    UNSETTLED = 7
    NOT_IN_FORCE = 8
    STORE_DOWN = 9
    DIFFERS = 10
