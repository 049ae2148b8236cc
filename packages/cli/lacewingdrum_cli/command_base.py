"""The base class of all commands, and the exit code for each error code."""

import asyncio
import os
import pathlib
from collections.abc import Awaitable, Callable, Mapping

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from lacewingdrum_cli import daemon_client, exit_codes
from lacewingdrum_protocol import document_text, operators_api
from lacewingdrum_state import addresses, documents, fleet
from lacewingdrum_transport import http_client

DAEMONS_VARIABLE = "LACEWINGDRUM_DAEMONS"
CREDENTIAL_VARIABLE = "LACEWINGDRUM_CREDENTIAL"

ErrorCode = operators_api.ErrorCode
Exit = exit_codes.ExitCode
HttpClientFactory = Callable[[], http_client.HttpClient]
ClientAction = Callable[[daemon_client.DaemonClient], Awaitable[Exit]]

EXIT_CODE_BY_ERROR_CODE = {
    ErrorCode.MALFORMED: Exit.USAGE,
    ErrorCode.UNKNOWN_CREDENTIAL: Exit.CREDENTIAL,
    ErrorCode.NOT_FOUND: Exit.NOT_FOUND,
    ErrorCode.DOCUMENT_FAULTY: Exit.FAULTY,
    ErrorCode.CONFLICT: Exit.CONFLICT,
    ErrorCode.UNSETTLED: Exit.UNSETTLED,
    ErrorCode.STORE_DOWN: Exit.STORE_DOWN,
    ErrorCode.NOT_READY: Exit.STORE_DOWN,
}
DAEMON_OPTIONS = [
    option(
        "daemon",
        "d",
        f"operator port of a daemon, ip:port; can be repeated: the next daemon is "
        f"called if one does not answer; default: {DAEMONS_VARIABLE}, comma-separated",
        flag=False,
        multiple=True,
    ),
    option(
        "credential-file",
        "c",
        f"file with the operators' credential; default: {CREDENTIAL_VARIABLE}",
        flag=False,
    ),
]
JSON_OPTION = option("json", None, "print the daemon's answer as JSON")


class UsageError(Exception):
    """An option or a file is not usable."""


class OperatorCommand(Command):
    """A command that can call daemons.

    ``environment`` holds the environment variables, and
    ``create_http_client`` creates the HTTP client for the calls.
    """

    def __init__(
        self,
        environment: Mapping[str, str] = os.environ,
        create_http_client: HttpClientFactory = http_client.HttpClient,
    ) -> None:
        super().__init__()
        self._environment = environment
        self._create_http_client = create_http_client

    def print_text(self, text: str) -> None:
        """Print to standard output, without interpreting markup."""
        self.io.output.write(text, new_line=True, type=Type.RAW)

    def print_error(self, text: str) -> None:
        """Print to standard error, without interpreting markup."""
        self.io.error_output.write(text, new_line=True, type=Type.RAW)

    def print_json(self, answer: object) -> None:
        """Print a message as JSON."""
        self.print_text(operators_api.to_json(answer))

    def handle(self) -> int:
        """Run the command and return its exit code."""
        try:
            return int(self.run_command())
        except UsageError as error:
            self.print_error(f"error: {error}")
            return int(Exit.USAGE)

    def run_command(self) -> Exit:
        """Run the command and return its exit code.

        Raises:
            UsageError: If an option or a file is not usable.
        """
        raise NotImplementedError

    def run_with_client(self, action: ClientAction) -> Exit:
        """Run an action with a client of the daemons named by the options."""
        return asyncio.run(self._run_with_client(action))

    def read_text_file(self, path: str) -> str:
        """Return the text of a file.

        Raises:
            UsageError: If the file cannot be read or is not UTF-8.
        """
        try:
            return pathlib.Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f"{path}: {error}") from error

    def parse_file(
        self, path: str
    ) -> tuple[
        str, documents.ServiceDocument | None, tuple[document_text.DocumentError, ...]
    ]:
        """Return the text of a file, its document and its faults.

        The document is None if the text has faults.
        """
        text = self.read_text_file(path)
        document, errors = document_text.parse(text)
        return text, document, errors

    def report_failure(self, failure: daemon_client.ClientFailure) -> Exit:
        """Print a failure and return the exit code for it."""
        self.print_error(f"error: {failure.detail}")
        if failure.code is not None:
            return EXIT_CODE_BY_ERROR_CODE[failure.code]
        return Exit.NO_DAEMON

    async def _run_with_client(self, action: ClientAction) -> Exit:
        http = self._create_http_client()
        try:
            daemons, credential = self._daemons(), self._credential()
            return await action(daemon_client.DaemonClient(http, daemons, credential))
        finally:
            await http.close()

    def _daemons(self) -> tuple[fleet.Address, ...]:
        address_options = list(self.option("daemon"))
        if not address_options:
            address_options = self._environment.get(DAEMONS_VARIABLE, "").split(",")
        texts = [text.strip() for text in address_options if text.strip()]
        if not texts:
            raise UsageError(f"no daemon: give --daemon IP:PORT or {DAEMONS_VARIABLE}")
        daemons = []
        for text in texts:
            address = addresses.parse_address(text)
            if address is None:
                raise UsageError(f"invalid daemon address {text!r}: expected ip:port")
            daemons.append(address)
        return tuple(daemons)

    def _credential(self) -> str:
        path = self.option("credential-file")
        credential = self._environment.get(CREDENTIAL_VARIABLE, "")
        if path:
            credential = self.read_text_file(path)
        credential = credential.strip()
        if not credential:
            message = f"no credential: give --credential-file or {CREDENTIAL_VARIABLE}"
            raise UsageError(message)
        if not credential.isascii() or not credential.isprintable():
            raise UsageError("credential: only printable ASCII characters are allowed")
        return credential
