"""Stands in for the platform's object store: PUT and GET /objects/KEY."""

import argparse
import asyncio

from lacewingdrum_transport import http_server
from standins import serving

PREFIX = "/objects/"


class ObjectsModel:
    """Objects by key."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    def put(self, key: str, data: bytes) -> None:
        """Store an object."""
        self._objects[key] = data

    def get(self, key: str) -> bytes | None:
        """Return an object, or None if there is none."""
        return self._objects.get(key)

    def record(self) -> dict[str, object]:
        """Return the size of each object in bytes."""
        return {key: len(data) for key, data in self._objects.items()}


class ObjectsService:
    """Serves the model over HTTP."""

    def __init__(self, seed: int = 1) -> None:
        self.model = ObjectsModel()
        self.stand_in = serving.StandIn(self._answer, self.model.record, seed=seed)

    async def _answer(
        self, request: http_server.HttpRequest, reply: serving.Reply
    ) -> None:
        key = request.path.removeprefix(PREFIX)
        if request.method == "PUT":
            self.model.put(key, request.body)
            if self.stand_in.draw_fault(self.stand_in.faults.lose_replies):
                await self.stand_in.lose_reply(reply)
            await reply.send(200, b"{}")
            return
        data = self.model.get(key)
        await reply.send(404 if data is None else 200, data or b"")


def main() -> None:
    """Run the stand-in as a process."""
    arguments = serving.parser("objects").parse_args()
    asyncio.run(_run(arguments))


async def _run(arguments: argparse.Namespace) -> None:
    service = ObjectsService(arguments.seed)
    await serving.serve(service.stand_in, arguments)


if __name__ == "__main__":
    main()
