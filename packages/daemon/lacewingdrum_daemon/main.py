"""The command ``lacewingdrumd``: settings, signals and the exit code."""

import asyncio
import signal
import sys

from cleo import application, helpers
from cleo.commands import command as cleo_command
from cleo.io.inputs import argv_input

from lacewingdrum_daemon import daemon, settings
from lacewingdrum_runtime import decision_log, held_signals

EXIT_ABORTED_REQUESTS = 1
EXIT_INVALID_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3


class RunCommand(cleo_command.Command):
    """Runs one daemon until a signal stops it."""

    name = "serve"
    description = "Serves callers from this VM until SIGTERM."
    options = [
        helpers.option("settings", None, "The settings file, TOML.", flag=False),
    ]

    def handle(self) -> int:
        """Run the daemon.

        Returns:
            0 after a stop that aborted no request. docs/OPERATIONS.md lists
            the other exit codes.
        """
        path = self.option("settings")
        if not path:
            print("lacewingdrumd: --settings FILE.toml is required", file=sys.stderr)
            return EXIT_INVALID_SETTINGS
        loaded, errors = settings.load(path)
        for error in errors:
            print(f"lacewingdrumd: {error}", file=sys.stderr)
        if loaded is None:
            return EXIT_INVALID_SETTINGS
        return asyncio.run(_serve(loaded, path))


async def _serve(loaded: settings.Settings, path: str) -> int:
    logger = decision_log.set_up_logging(loaded.vm.vm_id, loaded.vm.data_centre)
    root = daemon.Daemon(loaded, path, logger)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, root.request_stop)
    loop.add_signal_handler(signal.SIGHUP, root.request_reload)
    held_signals.deliver()
    try:
        return await _run(root)
    finally:
        held_signals.hold()


async def _run(root: daemon.Daemon) -> int:
    """Run the daemon until its stop has ended, and return the exit code."""
    try:
        await root.start()
    except OSError as error:
        print(f"lacewingdrumd: cannot listen: {error}", file=sys.stderr)
        await root.close(0.0)
        return EXIT_CANNOT_LISTEN
    await root.stop_requested.wait()
    aborted_count = await root.drain()
    return EXIT_ABORTED_REQUESTS if aborted_count else 0


def main() -> int:
    """Run the command; docs/OPERATIONS.md lists the exit codes."""
    command = RunCommand()
    app = application.Application("lacewingdrumd", "0.1.0")
    app.add(command)
    # There is only one subcommand, so users do not type its name.
    arguments = ["lacewingdrumd", RunCommand.name, *sys.argv[1:]]
    return app.run(argv_input.ArgvInput(arguments))
