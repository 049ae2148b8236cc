"""Stands in for the platform's membership list, which is served with a lag.

The current list is set on the control port: ``POST /members`` with the
complete list.
"""

import argparse
import asyncio
import collections
import time
from collections.abc import Callable

import msgspec

from lacewingdrum_protocol import members_api
from lacewingdrum_transport import http_server
from standins import serving

_decoder = msgspec.json.Decoder(members_api.MembersAnswer)


class MembersModel:
    """The current membership list and its history."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._history: collections.deque[tuple[float, members_api.MembersAnswer]]
        self._history = collections.deque(maxlen=1_000)

    def set(self, members: members_api.MembersAnswer) -> None:
        """Set the current list."""
        self._history.append((self._clock(), members))

    def read(self, lag_s: float) -> members_api.MembersAnswer:
        """Return the list as it was ``lag_s`` ago, or the oldest one."""
        if not self._history:
            return members_api.MembersAnswer()
        found = self._history[0][1]
        for at_s, members in self._history:
            if at_s + lag_s > self._clock():
                break
            found = members
        return found

    def record(self) -> dict[str, object]:
        """Return how often the list was set, at most the history's length."""
        return {"changes": len(self._history)}


class MembersService:
    """Serves the model over HTTP."""

    def __init__(self, seed: int = 1) -> None:
        self.model = MembersModel(time.monotonic)
        controls = {members_api.MEMBERS_PATH: self._set}
        self.stand_in = serving.StandIn(self._answer, self.model.record, controls, seed)

    def _set(self, body: bytes) -> bytes:
        self.model.set(_decoder.decode(body))
        return b"{}"

    async def _answer(
        self, request: http_server.HttpRequest, reply: serving.Reply
    ) -> None:
        if request.path != members_api.MEMBERS_PATH:
            await reply.send(404, b"{}")
            return
        lag_s = self.stand_in.faults.list_lag_ms / serving.MS_PER_S
        await reply.send(200, msgspec.json.encode(self.model.read(lag_s)))


def main() -> None:
    """Run the stand-in as a process."""
    arguments = serving.parser("members").parse_args()
    asyncio.run(_run(arguments))


async def _run(arguments: argparse.Namespace) -> None:
    service = MembersService(arguments.seed)
    await serving.serve(service.stand_in, arguments)


if __name__ == "__main__":
    main()
