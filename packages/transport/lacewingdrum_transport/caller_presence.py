"""Finds out whether a caller that has ended its stream waits for its answer.

A caller that closes its connection ends its stream too. Only a write shows the
difference: a caller that waits ignores an interim response, and the connection
of one that has left is reset.
"""

import asyncio

from lacewingdrum_transport import responder as responders

# The pauses after the interim responses. A near caller that has left is soon
# noticed, and a far one has some time to reset its connection.
PAUSES_S = (0.01, 0.03, 0.06, 0.2)
# How long after the end of a caller's stream it is known whether it waits.
UNKNOWN_MAX_S = 0.4


async def is_waiting(responder: responders.Responder) -> bool:
    """Return whether a caller that has ended its stream still reads.

    A response that has begun is a question of its own, so that the next part
    of it shows whether the caller has left.

    Args:
        responder: sends the answer to the caller.

    Returns:
        False if the caller has left, or if it cannot be asked.
    """
    if not responder.accepts_interim:
        return False
    for pause_s in PAUSES_S:
        if responder.started or not await responder.send_interim():
            break
        await asyncio.sleep(pause_s)
    return not responder.is_disconnected
