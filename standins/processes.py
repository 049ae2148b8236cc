"""Child processes that never outlive the process that started them."""

import asyncio
import contextlib
import ctypes
import json
import os
import pathlib
import signal
import sys

START_TIMEOUT_S = 20.0
_PR_SET_PDEATHSIG = 1


def _die_with_parent() -> None:
    """Have the kernel kill this child when its parent ends."""
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Child:
    """One process with its log file."""

    def __init__(
        self, name: str, process: asyncio.subprocess.Process, log: pathlib.Path
    ) -> None:
        self.name = name
        self.log = log
        self._process = process

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.returncode is None

    @property
    def exit_code(self) -> int | None:
        """The exit code, negative for a signal, or None."""
        return self._process.returncode

    async def first_line(self) -> dict[str, int]:
        """Read the JSON line that a stand-in prints on start.

        Returns:
            Its ports.

        Raises:
            RuntimeError: when the process ended without it.
        """
        assert self._process.stdout is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await self._process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.name} did not start; see {self.log}")
        ports: dict[str, int] = json.loads(line)
        return ports

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal_number)

    def freeze(self) -> None:
        """Stop the process in its tracks."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.send_signal(signal.SIGCONT)

    async def wait(self, timeout_s: float) -> int | None:
        """Returns: the exit code, or None if it runs on after the time."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._process.wait()
        except TimeoutError:
            return None

    async def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        await self._process.wait()


async def start(
    name: str, arguments: list[str], folder: pathlib.Path, with_stdout: bool
) -> Child:
    """Start a Python module as a process.

    Args:
        name: names the process and its log file.
        arguments: after the interpreter.
        folder: where its log goes.
        with_stdout: whether its first line is read; else it goes to the log.

    Returns:
        The running process.
    """
    log = folder / f"{name}.log"
    with log.open("ab") as sink:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE if with_stdout else sink,
            stderr=sink,
            env=dict(os.environ),
            preexec_fn=_die_with_parent,
        )
    return Child(name, process, log)
