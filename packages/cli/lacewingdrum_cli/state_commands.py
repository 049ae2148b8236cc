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

        async def work(client: daemon_client.DaemonClient) -> Exit:
            answer = await client.status()
            if not isinstance(answer, Ok):
                return self.failed(answer.err_value)
            if self.option("json"):
                self.say_json(answer.ok_value)
            else:
                self.say(rendering.status(answer.ok_value))
            return Exit.OK

        return self.with_daemons(work)


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
            return self._in_logs()
        request_id = self.argument("request-id")

        async def work(client: daemon_client.DaemonClient) -> Exit:
            answer = await client.explain(request_id)
            if not isinstance(answer, Ok):
                return self.failed(answer.err_value)
            if self.option("json"):
                self.say_json(answer.ok_value)
            else:
                self.say(rendering.explanation(answer.ok_value))
            return Exit.OK

        return self.with_daemons(work)

    def _in_logs(self) -> Exit:
        request_id = self.argument("request-id")
        paths = [pathlib.Path(name) for name in self.option("log")]
        try:
            found = log_search.find_request(paths, request_id)
        except OSError as error:
            raise command_base.UsageError(str(error)) from error
        if found is None:
            self.complain(f"error: no line of {request_id} in these files")
            return Exit.NOT_FOUND
        if self.option("json"):
            self.say_json(found)
        else:
            self.say(rendering.explanation(found))
        return Exit.OK
