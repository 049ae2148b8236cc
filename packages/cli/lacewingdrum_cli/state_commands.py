"""Commands that show what the daemons know: status and explain."""

import pathlib

from cleo.helpers import argument, option
from result import Ok

from lacewingdrum_cli import command_base, daemon_client, log_search, rendering

Exit = command_base.Exit


class StatusCommand(command_base.OperatorCommand):
    """Prints which daemon has which document in force."""

    name = "status"
    description = "Show documents in force, by data centre and daemon."
    options = [*command_base.DAEMON_OPTIONS, command_base.JSON_OPTION]

    def run_command(self) -> Exit:
        """Returns: 0 where a daemon answered."""

        async def action(client: daemon_client.DaemonClient) -> Exit:
            answer = await client.status()
            if not isinstance(answer, Ok):
                return self.report_failure(answer.err_value)
            if self.option("json"):
                self.print_json(answer.ok_value)
            else:
                self.print_text(rendering.format_status(answer.ok_value))
            return Exit.OK

        return self.run_with_client(action)


class ExplainCommand(command_base.OperatorCommand):
    """Prints the decisions made on one request."""

    name = "explain"
    description = "Show the decisions made on a request."
    arguments = [argument("request-id", "as in the header Lacewingdrum-Request-Id")]
    options = [
        *command_base.DAEMON_OPTIONS,
        command_base.JSON_OPTION,
        option(
            "log",
            None,
            "search a log file instead of asking daemons; repeat it for more",
            flag=False,
            multiple=True,
        ),
    ]

    def run_command(self) -> Exit:
        """Returns: 0 where lines were found."""
        if self.option("log"):
            return self._explain_from_logs()
        request_id = self.argument("request-id")

        async def action(client: daemon_client.DaemonClient) -> Exit:
            answer = await client.explain(request_id)
            if not isinstance(answer, Ok):
                return self.report_failure(answer.err_value)
            if self.option("json"):
                self.print_json(answer.ok_value)
            else:
                self.print_text(rendering.format_explanation(answer.ok_value))
            return Exit.OK

        return self.run_with_client(action)

    def _explain_from_logs(self) -> Exit:
        request_id = self.argument("request-id")
        paths = [pathlib.Path(name) for name in self.option("log")]
        try:
            found = log_search.find_request(paths, request_id)
        except OSError as error:
            raise command_base.UsageError(str(error)) from error
        if found is None:
            self.print_error(f"error: no line of {request_id} in these files")
            return Exit.NOT_FOUND
        if self.option("json"):
            self.print_json(found)
        else:
            self.print_text(rendering.format_explanation(found))
        return Exit.OK
