"""Builds of the gateway: today's, and those of earlier commits."""

import asyncio
import dataclasses
import io
import os
import pathlib
import subprocess
import sys
import tarfile

from tests import collection

# The last two landings. A landing changes this list to its own predecessors.
EARLIER_COMMITS = ("0e299e1", "0c55989")
# Gateways of these commits do not pass requests on, hold back only parts of
# prompts that crash engines, and take no function that opens connections.
_WITHOUT_RELAYS = frozenset(("0e299e1",))
# Gateways of these commits lose requests whose runner falls silent and goes
# on; see docs/incidents/kvc-lost.md.
LOSING_COMMITS = frozenset(("0e299e1", "0c55989"))
_SOURCE_FOLDERS = ("packages", "platform")


class MissingCommitError(Exception):
    """The sources of a commit cannot be taken from the history."""


@dataclasses.dataclass(frozen=True, slots=True)
class Build:
    """One build of the gateway.

    Processes take their modules from ``folders``, before those of the
    environment. Only a build with ``has_relays`` serves callers while it
    reaches no runner, and holds back whole requests that crash runners.
    """

    name: str
    folders: tuple[pathlib.Path, ...] = ()
    has_relays: bool = True

    def environment(self) -> dict[str, str]:
        """Return the environment of a process of this build."""
        if not self.folders:
            return dict(os.environ)
        path = os.pathsep.join(str(folder) for folder in self.folders)
        return {**os.environ, "PYTHONPATH": path}

    async def spawn(
        self, settings_path: str, log_path: pathlib.Path
    ) -> asyncio.subprocess.Process:
        """Start a gateway whose log is appended to a file."""
        module = "tests.soak.cut_gateway"
        if not self.has_relays:
            module = "lacewingdrum_gateway.start"
        with log_path.open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                "--settings",
                settings_path,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=self.environment(),
            )


TODAY = Build("today")


def unpack(commit: str, folder: pathlib.Path) -> Build:
    """Return the build of an earlier commit.

    Args:
        commit: its id.
        folder: the sources go into a folder in here.

    Raises:
        MissingCommitError: if the history lacks it, as a shallow clone's does.
    """
    archive = subprocess.run(
        ("git", "archive", commit, *_SOURCE_FOLDERS),
        cwd=collection.ROOT,
        capture_output=True,
        check=False,
    )
    if archive.returncode:
        reason = archive.stderr.decode(errors="replace").strip()
        raise MissingCommitError(
            f"commit {commit} is not in the history of this clone, but upgrades "
            f"from it are tested; fetch the whole history ({reason})"
        )
    sources = folder / commit
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(sources, filter="data")
    return Build(
        commit,
        (*sorted(sources.glob("packages/*")), sources / "platform"),
        commit not in _WITHOUT_RELAYS,
    )
