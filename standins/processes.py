"""Starts child processes that the kernel kills when their parent ends."""

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
    """Make the kernel kill this child process when its parent ends."""
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Child:
    """A child process with its log file."""

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
        """The exit code, negative after a signal; None while it runs."""
        return self._process.returncode

    async def first_line(self) -> dict[str, int]:
        """Read the JSON line that a stand-in prints on start.

        Returns:
            The ports of the stand-in.

        Raises:
            RuntimeError: if the process ended without printing it.
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
        """Stop the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a frozen process."""
        self.send_signal(signal.SIGCONT)

    async def wait(self, timeout_s: float) -> int | None:
        """Return the exit code, or None if it still runs after the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._process.wait()
        except TimeoutError:
            return None

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        await self._process.wait()


async def start(
    name: str, arguments: list[str], folder: pathlib.Path, with_stdout: bool
) -> Child:
    """Start a Python module as a process.

    Args:
        name: the name of the process and of its log file.
        arguments: the arguments of the Python interpreter.
        folder: the folder of the log file.
        with_stdout: whether stdout is a pipe, for ``first_line``; otherwise
            it goes to the log.

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
