"""Crashes a stand-in for a runner on certain requests or parts of prompts."""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import Awaitable, Callable, Mapping

from standins import ports

DOWN_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CrashingRequest:
    """A request that crashes each runner that runs it."""

    path: str
    body: bytes


class RunnerCrashes:
    """Crashes a runner that begins to write an answer, and starts it again.

    ``parts`` holds the parts of prompts that crash the runner, and
    ``requests`` the requests that do so as a whole. ``times_s`` has
    the monotonic time of each crash. ``on_crash`` is called when the runner
    goes down, and ``on_restart`` when it listens again, as a new incarnation.

    Args:
        close: aborts all connections of the runner.
        start: makes the runner listen on a port.
    """

    def __init__(
        self,
        close: Callable[[], Awaitable[None]],
        start: Callable[[int], Awaitable[None]],
    ) -> None:
        self.parts: set[str] = set()
        self.requests: set[CrashingRequest] = set()
        self.times_s: list[float] = []
        self.down_s = DOWN_S
        self.on_crash: Callable[[], None] = lambda: None
        self.on_restart: Callable[[], None] = lambda: None
        self._close = close
        self._start = start
        self._restart: asyncio.Task[None] | None = None

    def is_due(self, path: str, headers: Mapping[str, str], body: bytes) -> bool:
        """Return whether a request crashes the runner."""
        if CrashingRequest(path, body) in self.requests:
            return True
        parts = headers.get("prompt-prefix", "").split(",")[:-1]
        return any(part.partition(":")[0].strip() in self.parts for part in parts)

    def crash(self, port: int) -> None:
        """Crash the runner now; it listens on the same port again later."""
        if self._restart is None or self._restart.done():
            self.times_s.append(time.monotonic())
            self.on_crash()
            self._restart = asyncio.ensure_future(self._crash_and_restart(port))

    async def close(self) -> None:
        """Leave the runner as it is, also if it is down."""
        if self._restart is not None:
            self._restart.cancel()
            await asyncio.gather(self._restart, return_exceptions=True)

    async def _crash_and_restart(self, port: int) -> None:
        await self._close()
        with contextlib.closing(ports.hold(port)):
            await asyncio.sleep(self.down_s)
        await self._start(port)
        self.on_restart()
