"""Keeps the hangup signals that reach a process before it can act on them.

This module imports little, since a hangup signal ends a process without a handler.
"""

import signal


class HangupRecorder:
    """A signal handler that records whether a hangup signal arrived."""

    def __init__(self) -> None:
        self.has_arrived = False

    def __call__(self, number, frame) -> None:
        self.has_arrived = True


def record_hangups() -> None:
    """Record hangup signals until `replace_hangup_handler` is called."""
    signal.signal(signal.SIGHUP, HangupRecorder())


def replace_hangup_handler(on_hangup) -> None:
    """Handle hangup signals with ``on_hangup``; call it once if any was recorded."""
    # Python swaps both at once, so that each signal reaches one of the handlers.
    earlier = signal.signal(signal.SIGHUP, on_hangup)
    if isinstance(earlier, HangupRecorder) and earlier.has_arrived:
        on_hangup(signal.SIGHUP, None)


def ignore_hangups() -> None:
    """Ignore hangup signals for the rest of the process.

    At its exit, Python resets other handlers to the default, which ends the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
