"""Holds back the signals of a daemon while it has no handlers for them.

Until the event loop has its handlers, and again once it is closed, these
signals have their default action, which ends the process. Held back, each of
them is delivered once when the handlers are set, or dropped when the process
ends.
"""

import signal

HANDLED = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


def hold() -> None:
    """Hold back the signals that arrive from now on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


def deliver() -> None:
    """Deliver the signals that were held back, and later ones at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
