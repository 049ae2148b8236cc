"""Exit codes of the command line, for scripts."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of the commands.

    The command-line library itself exits with 1 on wrong usage.
    """

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
