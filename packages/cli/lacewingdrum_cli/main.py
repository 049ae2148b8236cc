"""The ``lacewingdrum`` binary: wires the commands."""

import os
import sys
from collections.abc import Mapping

from cleo.application import Application

from lacewingdrum_cli import document_commands, state_commands

VERSION = "0.1.0"


def application(environment: Mapping[str, str] = os.environ) -> Application:
    """Args: environment: variables. Returns: the application, wired."""
    made = Application("lacewingdrum", VERSION)
    made.auto_exits(False)
    for command in (
        document_commands.CheckCommand,
        document_commands.DiffCommand,
        document_commands.SubmitCommand,
        document_commands.ShowCommand,
        state_commands.StatusCommand,
        state_commands.ExplainCommand,
    ):
        made.add(command(environment))
    return made


def main() -> int:
    """Returns: the process's exit code."""
    return application().run()


if __name__ == "__main__":
    sys.exit(main())
