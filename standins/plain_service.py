"""Stands in for a runner of a plain service; counts the effects of orders."""

import argparse
import asyncio
import collections

import msgspec
import xxhash

from lacewingdrum_protocol import runner_api
from lacewingdrum_transport import http_server
from standins import serving

KEY_HEADER = "idempotency-key"


def answer_to(method: str, path: str, body: bytes) -> bytes:
    """Make the expected answer to a call.

    Args:
        method: the HTTP method of the call.
        path: the path of the call.
        body: the body of the call.

    Returns:
        JSON that identifies the call, so that callers detect the answer to
        another one.
    """
    digest = xxhash.xxh64_hexdigest(f"{method} {path}\n".encode() + body)
    return msgspec.json.encode({"path": path, "done": digest})


class PlainModel:
    """Answers calls and records what the service did."""

    def __init__(self) -> None:
        self.effects: collections.Counter[str] = collections.Counter()
        self.attempts: list[str] = []
        self.reads = 0

    def call(
        self, method: str, path: str, key: str, attempt_id: str, body: bytes
    ) -> bytes:
        """Run a call.

        Args:
            method: GET and HEAD have no effect.
            path: the path.
            key: the idempotency key. Every effect under it is counted; the
                service does not deduplicate, since that is the task of the
                caller.
            attempt_id: the attempt that sent the call.
            body: the body.

        Returns:
            The body of the answer.
        """
        self.attempts.append(attempt_id)
        if method in ("GET", "HEAD"):
            self.reads += 1
        else:
            digest = xxhash.xxh64_hexdigest(body)
            self.effects[key or f"{method} {path} {digest}"] += 1
        return answer_to(method, path, body)

    def record(self) -> dict[str, object]:
        """Return the effects by key, and the attempts that ran."""
        return {
            "effects": dict(self.effects),
            "attempts": self.attempts,
            "reads": self.reads,
        }


class PlainService:
    """Serves the model over HTTP."""

    def __init__(self, work_ms: int = 0, seed: int = 1) -> None:
        self.model = PlainModel()
        self._work_s = work_ms / serving.MS_PER_S
        self.stand_in = serving.StandIn(self._answer, self.model.record, seed=seed)

    async def _answer(
        self, request: http_server.HttpRequest, reply: serving.Reply
    ) -> None:
        faults = self.stand_in.faults
        if request.path == runner_api.LOAD_PATH:
            await reply.send(404, b"{}")
            return
        reason = runner_api.RefusalReason.BUSY
        if faults.leaving:
            reason = runner_api.RefusalReason.LEAVING
        if faults.leaving or faults.refuse:
            refusal = runner_api.RefusalAnswer(reason)
            await reply.send(503, msgspec.json.encode(refusal))
            return
        if self._work_s:
            await asyncio.sleep(self._work_s * faults.slowdown)
        body = self.model.call(
            request.method,
            request.target or request.path,
            request.headers.get(KEY_HEADER, ""),
            request.headers.get(runner_api.ATTEMPT_HEADER, ""),
            request.body,
        )
        if self.stand_in.draw_fault(faults.lose_replies):
            await self.stand_in.lose_reply(reply)
        await reply.send(200, body)


def main() -> None:
    """Run the stand-in as a process."""
    parser = serving.parser("plain_service")
    parser.add_argument("--work-ms", type=int, default=5)
    asyncio.run(_run(parser.parse_args()))


async def _run(arguments: argparse.Namespace) -> None:
    service = PlainService(arguments.work_ms, arguments.seed)
    await serving.serve(service.stand_in, arguments)


if __name__ == "__main__":
    main()
