"""What all commands share: options, the daemon client and exits."""

import asyncio
import os
import pathlib
from collections.abc import Awaitable, Callable, Mapping

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from lacewingdrum_cli import daemon_client, exit_codes
from lacewingdrum_protocol import document_text, operators_api, toml_rules
from lacewingdrum_state import documents, fleet
from lacewingdrum_transport import http_client

DAEMONS_VARIABLE = "LACEWINGDRUM_DAEMONS"
CREDENTIAL_VARIABLE = "LACEWINGDRUM_CREDENTIAL"

Code = operators_api.ErrorCode
Exit = exit_codes.ExitCode
MakeHttp = Callable[[], http_client.HttpClient]
ClientAction = Callable[[daemon_client.DaemonClient], Awaitable[Exit]]

EXIT_OF_CODE = {
    Code.MALFORMED: Exit.USAGE,
    Code.UNKNOWN_CREDENTIAL: Exit.CREDENTIAL,
    Code.NOT_FOUND: Exit.NOT_FOUND,
    Code.DOCUMENT_FAULTY: Exit.FAULTY,
    Code.CONFLICT: Exit.CONFLICT,
    Code.UNSETTLED: Exit.UNSETTLED,
    Code.STORE_DOWN: Exit.STORE_DOWN,
    Code.NOT_READY: Exit.STORE_DOWN,
}
DAEMON_OPTIONS = [
    option(
        "daemon",
        "d",
        f"operator port of a daemon, ip:port; repeat it, the next one is asked when "
        f"one does not answer; else {DAEMONS_VARIABLE}, separated by commas",
        flag=False,
        multiple=True,
    ),
    option(
        "credential-file",
        "c",
        f"file with the operators' credential; else {CREDENTIAL_VARIABLE}",
        flag=False,
    ),
]
JSON_OPTION = option("json", None, "print the daemon's answer as JSON")


class UsageError(Exception):
    """An option or a file that cannot be used."""


class OperatorCommand(Command):
    """A command that may ask daemons.

    ``environment`` stands for the process's environment variables, and
    ``make_http`` makes the client that asks.
    """

    def __init__(
        self,
        environment: Mapping[str, str] = os.environ,
        make_http: MakeHttp = http_client.HttpClient,
    ) -> None:
        super().__init__()
        self._environment = environment
        self._make_http = make_http

    def print_text(self, text: str) -> None:
        """Print to standard output, without any mark-up."""
        self.io.output.write(text, new_line=True, type=Type.RAW)

    def print_error(self, text: str) -> None:
        """Print to standard error, without any mark-up."""
        self.io.error_output.write(text, new_line=True, type=Type.RAW)

    def print_json(self, answer: object) -> None:
        """Print a message as JSON."""
        self.print_text(operators_api.to_json(answer))

    def handle(self) -> int:
        """Returns: the exit code."""
        try:
            return int(self.run_command())
        except UsageError as error:
            self.print_error(f"error: {error}")
            return int(Exit.USAGE)

    def run_command(self) -> Exit:
        """Returns: the exit code; raises ``UsageError``."""
        raise NotImplementedError

    def run_with_client(self, action: ClientAction) -> Exit:
        """Run work with a client of the daemons that the options name."""
        return asyncio.run(self._run_with_client(action))

    def read_text_file(self, path: str) -> str:
        """Args: path: a document. Returns: its text; raises UsageError."""
        try:
            return pathlib.Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f"{path}: {error}") from error

    def parse_file(
        self, path: str
    ) -> tuple[
        str, documents.ServiceDocument | None, tuple[document_text.DocumentError, ...]
    ]:
        """Args: path: a document. Returns: text, document and faults."""
        text = self.read_text_file(path)
        document, errors = document_text.parse(text)
        return text, document, errors

    def report_failure(self, failure: daemon_client.ClientFailure) -> Exit:
        """Print a failure that has no page of its own."""
        self.print_error(f"error: {failure.detail}")
        if failure.code is not None:
            return EXIT_OF_CODE[failure.code]
        return Exit.NO_DAEMON

    async def _run_with_client(self, action: ClientAction) -> Exit:
        http = self._make_http()
        try:
            daemons, credential = self._daemons(), self._credential()
            return await action(daemon_client.DaemonClient(http, daemons, credential))
        finally:
            await http.close()

    def _daemons(self) -> tuple[fleet.Address, ...]:
        named = list(self.option("daemon"))
        if not named:
            named = self._environment.get(DAEMONS_VARIABLE, "").split(",")
        texts = [text.strip() for text in named if text.strip()]
        if not texts:
            raise UsageError(f"no daemon: give --daemon IP:PORT or {DAEMONS_VARIABLE}")
        addresses = []
        for text in texts:
            address = toml_rules.parse_address(text)
            if address is None:
                raise UsageError(f"daemon: found {text!r}, allowed: ip:port")
            addresses.append(address)
        return tuple(addresses)

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
            raise UsageError("credential: found other characters than printable ASCII")
        return credential
