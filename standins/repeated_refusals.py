"""Writes an earlier refusal of a stand-in for runners once more."""

import asyncio
import dataclasses
import enum

from standins import platform_connection

NOT_EXECUTED = ("Not-Executed", "1")
OTHER_RUNNER_STATUS = 421


class Moment(enum.Enum):
    """When the refusal is written once more.

    ``LATE``: when a later request has arrived on the connection. ``AT_ONCE``:
    right after an answer, before the next request.
    """

    LATE = "late"
    AT_ONCE = "at_once"


class NamedAttempt(enum.Enum):
    """The attempt that the refusal names.

    ``SAME``: that of the request, if an earlier try of it was refused.
    """

    NONE = "none"
    OTHER = "other"
    SAME = "same"


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatedRefusal:
    """A refusal that a faulty runner writes on each connection that is kept.

    The requests that it precedes are run and answered all the same.
    ``headers`` are those that it has besides.
    """

    status: int
    named: NamedAttempt
    moment: Moment
    headers: platform_connection.Headers = ()

    def write(
        self,
        writer: asyncio.StreamWriter,
        moment: Moment,
        attempt_id: str,
        was_refused: bool,
    ) -> None:
        """Write the refusal if this is the moment for it.

        Args:
            writer: the connection.
            moment: the present moment.
            attempt_id: the id of the request that has come last.
            was_refused: whether an earlier try of that request was refused.
        """
        is_same = self.named is NamedAttempt.SAME
        if moment is not self.moment or (is_same and not was_refused):
            return
        headers = [("Content-Length", "0"), *self.headers]
        if self.status != OTHER_RUNNER_STATUS:
            headers.append(NOT_EXECUTED)
        if self.named is not NamedAttempt.NONE:
            headers.append(("Attempt-Id", attempt_id if is_same else "another"))
        writer.write(platform_connection.format_head(tuple(headers), self.status))
