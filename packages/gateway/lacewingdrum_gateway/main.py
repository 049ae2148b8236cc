"""Runs a gateway: loads settings, handles signals and sets the exit code."""

import argparse
import asyncio
import logging
import signal
import socket
import sys
import time

from lacewingdrum_gateway import gateway, line_output, settings
from lacewingdrum_runtime import decision_log, held_signals
from lacewingdrum_transport import connector

EXIT_ABORTED_REQUESTS = 1
EXIT_INVALID_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3


async def _serve(
    found: settings.Settings,
    path: str,
    listener: socket.socket | None,
    connect_to_runners: connector.Connect,
) -> int:
    output = line_output.LineOutput(sys.stdout.fileno(), time.monotonic)
    output.setFormatter(
        decision_log.json_formatter(found.vm.vm_id, found.vm.data_centre)
    )
    root = logging.getLogger()
    root.handlers[:] = [output]
    root.setLevel(logging.INFO)
    output.start()
    logger = logging.getLogger(decision_log.ROOT_LOGGER)
    daemon = gateway.Gateway(found, path, logger, connect_to_runners)
    _handle_signals(daemon)
    try:
        return await _run(daemon, listener)
    finally:
        held_signals.hold()
        output.close()


def _handle_signals(daemon: gateway.Gateway) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, daemon.request_stop)
    loop.add_signal_handler(signal.SIGINT, daemon.request_stop)
    loop.add_signal_handler(signal.SIGHUP, daemon.request_reload)
    held_signals.deliver()


async def _run(daemon: gateway.Gateway, listener: socket.socket | None) -> int:
    """Run the daemon until its stop has ended, and return the exit code."""
    try:
        await daemon.start(listener)
    except OSError as error:
        logging.getLogger(__name__).error("cannot listen: %s", error)
        await daemon.close()
        return EXIT_CANNOT_LISTEN
    await daemon.stop_requested.wait()
    aborted_count = await daemon.drain()
    return EXIT_ABORTED_REQUESTS if aborted_count else 0


def main(
    listener: socket.socket | None = None,
    connect_to_runners: connector.Connect = connector.connect,
) -> int:
    """Run the daemon; docs/OPERATIONS.md lists the exit codes.

    Args:
        listener: a socket that already listens on the callers' address.
        connect_to_runners: opens connections to runners.
    """
    parser = argparse.ArgumentParser(prog="lacewingdrumd gateway")
    parser.add_argument("--settings", required=True, help="the settings file, TOML")
    arguments = parser.parse_args()
    found, errors = settings.load(arguments.settings)
    for error in errors:
        print(f"lacewingdrumd: {error}", file=sys.stderr)
    if found is None:
        return EXIT_INVALID_SETTINGS
    return asyncio.run(_serve(found, arguments.settings, listener, connect_to_runners))


if __name__ == "__main__":
    sys.exit(main())
