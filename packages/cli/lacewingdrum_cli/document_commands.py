"""Commands for service documents: check, diff, submit and show."""

import time

from cleo.helpers import argument, option
from result import Ok

from lacewingdrum_cli import command_base, daemon_client, rendering, submission
from lacewingdrum_protocol import operators_api
from lacewingdrum_state import documents

Exit = command_base.Exit
ErrorCode = operators_api.ErrorCode

FILE_ARGUMENT = argument("file", "the service document in TOML")
DEFAULT_TIMEOUT_S = 60.0


class CheckCommand(command_base.OperatorCommand):
    """Checks a document without calling a daemon."""

    name = "check"
    description = "Check a document and print every fault."
    arguments = [FILE_ARGUMENT]

    def run_command(self) -> Exit:
        """Return OK if the document has no faults."""
        path = self.argument("file")
        _, document, errors = self.parse_file(path)
        if document is None:
            self.print_error(rendering.format_faults(path, errors))
            return Exit.FAULTY
        customers, kinds = len(document.customers), len(document.kinds)
        self.print_text(
            f"{document.service}: {customers} customers, {kinds} kinds, no faults"
        )
        return Exit.OK


class DiffCommand(command_base.OperatorCommand):
    """Compares a document with the one in force."""

    name = "diff"
    description = "Show what a document would change."
    arguments = [FILE_ARGUMENT]
    options = [*command_base.DAEMON_OPTIONS]

    def run_command(self) -> Exit:
        """Return OK if the document would change nothing."""
        path = self.argument("file")
        text, document, errors = self.parse_file(path)
        if document is None:
            self.print_error(rendering.format_faults(path, errors))
            return Exit.FAULTY
        service = document.service

        async def action(client: daemon_client.DaemonClient) -> Exit:
            answer = await client.document(service)
            if isinstance(answer, Ok):
                current = answer.ok_value
                current_text, name = (
                    current.text,
                    f"{service} version {current.version}",
                )
            elif answer.err_value.code is ErrorCode.NOT_FOUND:
                current_text, name = "", f"{service}, no version"
            else:
                return self.report_failure(answer.err_value)
            if current_text == text:
                self.print_text(f"{name}: no difference")
                return Exit.OK
            self.print_text(rendering.format_diff(current_text, text, name, path))
            return Exit.DIFFERS

        return self.run_with_client(action)


class SubmitCommand(command_base.OperatorCommand):
    """Submits a document as the next version."""

    name = "submit"
    description = "Submit a document as the next version."
    arguments = [FILE_ARGUMENT]
    options = [
        *command_base.DAEMON_OPTIONS,
        option("wait", "w", "wait until every live daemon has the document in force"),
        option(
            "timeout-s",
            None,
            "limit in seconds for submitting; --wait has the same limit of its own",
            flag=False,
            default=str(DEFAULT_TIMEOUT_S),
        ),
        option(
            "base",
            None,
            "version that the file is based on; default: the one in force",
            flag=False,
        ),
        option(
            "submission-id", None, "id of an earlier submission to repeat", flag=False
        ),
    ]

    def run_command(self) -> Exit:
        """Return OK if the document was accepted.

        Without ``--base`` it is also OK if the version in force already has
        this text. With ``--wait`` the version must also be in force at every
        live daemon.
        """
        path = self.argument("file")
        text, document, errors = self.parse_file(path)
        if document is None:
            self.print_error(rendering.format_faults(path, errors))
            return Exit.FAULTY
        parsed, timeout_s = document, self._timeout_s()
        base = self._base_version()

        async def action(client: daemon_client.DaemonClient) -> Exit:
            return await self._submit(client, parsed, text, base, timeout_s)

        return self.run_with_client(action)

    async def _submit(
        self,
        client: daemon_client.DaemonClient,
        document: documents.ServiceDocument,
        text: str,
        base: int | None,
        timeout_s: float,
    ) -> Exit:
        service = document.service
        if base is None:
            answer = await client.document(service)
            if isinstance(answer, Ok):
                base = answer.ok_value.version
            elif answer.err_value.code is ErrorCode.NOT_FOUND:
                base = 0
            else:
                return self.report_failure(answer.err_value)
            if isinstance(answer, Ok) and answer.ok_value.text == text:
                self.print_text(f"{service}: version {base} has this text already")
                return await self._wait_in_force(client, answer.ok_value, timeout_s)
        call = daemon_client.new_submit_call(
            text, base, self.option("submission-id") or ""
        )
        outcome = await submission.submit(
            client, service, call, timeout_s, time.monotonic
        )
        match outcome:
            case submission.Accepted(accepted):
                self.print_text(f"{service}: accepted as version {accepted.version}")
                return await self._wait_in_force(client, accepted, timeout_s)
            case submission.Unresolved(failure):
                return self._report_unresolved(call, failure)
            case submission.NotAccepted(failure):
                return self._report_not_accepted(text, failure)

    async def _wait_in_force(
        self,
        client: daemon_client.DaemonClient,
        accepted: operators_api.DocumentAnswer,
        timeout_s: float,
    ) -> Exit:
        if not self.option("wait"):
            return Exit.OK
        found = await submission.wait_in_force(
            client, accepted, timeout_s, time.monotonic
        )
        if found is None:
            self.print_error(
                f"{accepted.service}: version {accepted.version} is accepted but not "
                f"yet in force at every live daemon after {timeout_s:g} s; "
                "see: lacewingdrum status"
            )
            return Exit.NOT_IN_FORCE
        count = sum(len(centre.confirmed) for centre in found.data_centres)
        self.print_text(
            f"{found.service}: version {found.version} in force at {count} daemons"
        )
        return Exit.OK

    def _report_unresolved(
        self,
        call: operators_api.SubmitCall,
        failure: daemon_client.ClientFailure,
    ) -> Exit:
        self.print_error(f"error: {failure.detail}")
        self.print_error(
            "it is not known whether the document was accepted; submit again with "
            f"--base {call.base_version} --submission-id {call.submission_id}"
        )
        return Exit.UNSETTLED

    def _report_not_accepted(
        self, text: str, failure: daemon_client.ClientFailure
    ) -> Exit:
        code = self.report_failure(failure)
        answer = failure.answer
        if answer is not None and answer.faults:
            path = self.argument("file")
            self.print_error(rendering.format_faults(path, answer.faults))
        if answer is not None and answer.current is not None:
            current = answer.current
            name = f"{current.service} version {current.version}"
            path = self.argument("file")
            self.print_text(rendering.format_diff(current.text, text, name, path))
        if code is Exit.CONFLICT:
            self.print_error(
                "nothing was changed; merge the other change and submit again"
            )
        return code

    def _timeout_s(self) -> float:
        text = self.option("timeout-s")
        try:
            timeout_s = float(text)
        except ValueError:
            timeout_s = -1.0
        if not 0 <= timeout_s <= 3600:
            message = f"timeout-s: found {text!r}, allowed: seconds, 0 to 3600"
            raise command_base.UsageError(message)
        return timeout_s

    def _base_version(self) -> int | None:
        return parse_whole_number("base", self.option("base"))


class ShowCommand(command_base.OperatorCommand):
    """Prints a document's text: the version in force or an earlier one."""

    name = "show"
    description = "Print a service's document."
    arguments = [argument("service", "the service's name")]
    options = [
        *command_base.DAEMON_OPTIONS,
        command_base.JSON_OPTION,
        option("at", None, "version to print; default: the one in force", flag=False),
    ]

    def run_command(self) -> Exit:
        """Return OK if the document exists."""
        service = self.argument("service")
        version = parse_whole_number("at", self.option("at"))

        async def action(client: daemon_client.DaemonClient) -> Exit:
            answer = await client.document(service, version)
            if not isinstance(answer, Ok):
                return self.report_failure(answer.err_value)
            found = answer.ok_value
            if self.option("json"):
                self.print_json(found)
                return Exit.OK
            self.print_error(f"{found.service} version {found.version} {found.digest}")
            self.print_text(found.text.rstrip("\n"))
            return Exit.OK

        return self.run_with_client(action)


def parse_whole_number(name: str, text: str | None) -> int | None:
    """Parse the value of an option as a whole number.

    Args:
        name: the name of the option.
        text: the value, or None if the option was not given.

    Returns:
        The number, or None if the option was not given.

    Raises:
        UsageError: If the text is not a whole number of at most 15 digits.
    """
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 15:
        message = f"{name}: found {text!r}, allowed: a whole number"
        raise command_base.UsageError(message)
    return int(text)
