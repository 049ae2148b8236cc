"""Carries out the actions of ``documents.step`` for one submission."""

import asyncio
from collections.abc import Callable

from lacewingdrum_coordination import documents
from lacewingdrum_daemon import document_store


async def resolve(
    store: document_store.DocumentStore,
    submission: documents.Submission,
    clock: Callable[[], float],
) -> documents.SubmitResult:
    """Commit a submission and determine its outcome.

    Args:
        store: accesses the documents' rows.
        submission: the submission.
        clock: monotonic seconds.

    Returns:
        The result to report to the operator.
    """
    event: documents.Event = documents.Started()
    while True:
        submission, action = documents.step(submission, event, clock())
        match action:
            case documents.Reply(result):
                return result
            case documents.ReadHistory():
                event = await store.read_history(submission.wanted)
            case documents.Commit(stored, delay_s):
                if delay_s > 0:
                    await asyncio.sleep(delay_s)
                event = await store.commit(stored)
