"""Runs a gateway whose paths to runners are cut while a file says so.

``python -m tests.soak.cut_gateway --settings FILE.toml``: the file beside the
settings, with the ending ``.cut``, holds the kind of the cut.
"""

import asyncio
import pathlib
import sys
from collections.abc import Callable

import lacewingdrum_runtime
from lacewingdrum_gateway import early_listener
from lacewingdrum_state import fleet
from standins import runner_paths

POLL_S = 0.05


def cut_file(settings_path: str) -> pathlib.Path:
    """Return the file that holds the kind of the cut."""
    return pathlib.Path(settings_path).with_suffix(".cut")


class FollowedPaths:
    """Paths that follow a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._paths = runner_paths.RunnerPaths()
        self._following: asyncio.Task[None] | None = None

    async def connect(
        self, new_protocol: Callable[[], asyncio.Protocol], address: fleet.Address
    ) -> asyncio.Protocol:
        """Connect; with the first connection it begins to follow the file."""
        if self._following is None:
            self._following = asyncio.ensure_future(self._follow())
        return await self._paths.connect(new_protocol, address)

    async def _follow(self) -> None:
        while True:
            text = self._path.read_text() if self._path.exists() else ""
            wanted = runner_paths.Cut(text) if text else None
            if wanted is not self._paths.current:
                self._paths.heal()
                if wanted is not None:
                    self._paths.cut(wanted)
            await asyncio.sleep(POLL_S)


def _hold_signals() -> None:
    """Hold signals back as the daemon's own start does.

    Earlier builds, whose packages this module may run with, do not, and would
    never deliver them. Of a module that they lack, an import can find today's.
    """
    package = pathlib.Path(lacewingdrum_runtime.__file__)
    if package.with_name("held_signals.py").exists():
        from lacewingdrum_runtime import held_signals

        held_signals.hold()


def main() -> int:
    """Run the gateway and return its exit code."""
    _hold_signals()
    settings_path = sys.argv[sys.argv.index("--settings") + 1]
    listener = early_listener.open_listener(sys.argv)
    # As in the daemon's own start, callers can connect while this is loaded.
    from lacewingdrum_gateway import main as gateway_main

    paths = FollowedPaths(cut_file(settings_path))
    return gateway_main.main(listener, paths.connect)


if __name__ == "__main__":
    sys.exit(main())
