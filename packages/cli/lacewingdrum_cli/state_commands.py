"""Commands that show the daemons' status and explain a request's outcome."""

import pathlib

from cleo.helpers import argument, option
from result import Ok

from lacewingdrum_cli import command_base, daemon_client, log_search, rendering

Exit = command_base.Exit


class StatusCommand(command_base.OperatorCommand):
    """Prints which documents each daemon has in force."""

    name = "status"
    description = "Show the documents in force, by data centre and daemon."
    options = [*command_base.DAEMON_OPTIONS, command_base.JSON_OPTION]

    def run_command(self) -> Exit:
        """Return OK if a daemon answered."""

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
    """Prints a request's log lines and the cause of its outcome."""

    name = "explain"
    description = "Show the decisions made for a request."
    arguments = [argument("request-id", "value of the header Lacewingdrum-Request-Id")]
    options = [
        *command_base.DAEMON_OPTIONS,
        command_base.JSON_OPTION,
        option(
            "log",
            None,
            "search a log file instead of calling daemons; can be repeated",
            flag=False,
            multiple=True,
        ),
    ]

    def run_command(self) -> Exit:
        """Return OK if lines of the request were found."""
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
            self.print_error(
                f"error: the files have no line of request {request_id}; "
                "it reached none of these daemons, or its lines were dropped"
            )
            return Exit.NOT_FOUND
        if self.option("json"):
            self.print_json(found)
        else:
            self.print_text(rendering.format_explanation(found))
        return Exit.OK
