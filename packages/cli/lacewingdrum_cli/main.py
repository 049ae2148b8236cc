"""The ``lacewingdrum`` program: creates the application with its commands."""

import os
import sys
from collections.abc import Mapping

from cleo.application import Application

from lacewingdrum_cli import command_base, document_commands, state_commands
from lacewingdrum_transport import http_client

VERSION = "0.1.0"


def create_application(
    environment: Mapping[str, str] = os.environ,
    create_http_client: command_base.HttpClientFactory = http_client.HttpClient,
) -> Application:
    """Create the application with all commands.

    Args:
        environment: the environment variables.
        make_http: creates the HTTP client for calls to daemons.

    Returns:
        The application.
    """
    app = Application("lacewingdrum", VERSION)
    app.auto_exits(False)
    for command in (
        document_commands.CheckCommand,
        document_commands.DiffCommand,
        document_commands.SubmitCommand,
        document_commands.ShowCommand,
        state_commands.StatusCommand,
        state_commands.ExplainCommand,
    ):
        app.add(command(environment, create_http_client))
    return app


def main() -> int:
    """Run the command line and return the exit code."""
    return create_application().run()


if __name__ == "__main__":
    sys.exit(main())
