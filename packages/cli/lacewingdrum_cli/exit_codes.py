"""Exit codes of the command line, for scripts."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of the commands.

    ``USAGE`` is 1 because the command-line library, cleo, exits with 1 on
    wrong usage.
    """

    OK = 0
    USAGE = 1
    FAULTY = 2  # The document has faults.
    CONFLICT = 3
    NO_DAEMON = 4
    CREDENTIAL = 5  # The daemon does not know the credential.
    NOT_FOUND = 6
    UNSETTLED = 7  # It is not known whether the document was accepted.
    NOT_IN_FORCE = 8
    STORE_DOWN = 9
    DIFFERS = 10  # The document differs from the one in force.
