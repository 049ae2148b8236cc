"""Sends commands to engines."""

from result import Err, Ok, Result

from lacewingdrum_gateway.runners import runner_notices
from lacewingdrum_platform import headers as platform_headers, store_calls
from lacewingdrum_state import runner_entries
from lacewingdrum_transport import http_client, http_messages

CALL_TIMEOUT_S = 0.6
FOREIGN_ANSWER = "foreign_answer"


class EngineCommands:
    """Sends commands, and notes what engines say of themselves."""

    def __init__(
        self, client: http_client.HttpClient, notices: runner_notices.RunnerNotices
    ) -> None:
        self._client = client
        self._notices = notices

    async def call(
        self,
        entry: runner_entries.RunnerEntry,
        call: store_calls.Call,
        timeout_s: float = CALL_TIMEOUT_S,
        on_new_connection: bool = False,
    ) -> Result[http_messages.HttpResponse, str]:
        """Send a command; return the answer, or why there is none."""
        answer = await self._client.request(
            entry.address,
            call.method,
            call.path,
            platform_headers.command_headers(entry.runner_id),
            call.body,
            timeout_s,
            on_new_connection=on_new_connection,
            # The status is the whole answer to a command, and a report that
            # is cut off cannot be decoded.
            allow_close_delimited=True,
        )
        if isinstance(answer, Err):
            return Err(answer.err_value.reason.value)
        response = answer.ok_value
        headers = platform_headers.parse_runner_headers(
            response.status, response.headers
        )
        if headers.attempt_id:
            # The answer belongs to a request. That to this command may still
            # arrive, on a connection that is kept.
            self._client.close_idle(entry.address)
            return Err(FOREIGN_ANSWER)
        self._notices.observe(entry, headers)
        return Ok(response)
