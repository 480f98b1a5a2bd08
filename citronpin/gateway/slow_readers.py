"""Decides how long an answer waits for a caller that reads it too slowly.

An instance cuts off an answer that stays unread for some seconds, and until then it
holds a slot and token memory for a caller that may never read on.
"""

import logging
from abc import ABC, abstractmethod
from enum import Enum

import msgspec

logger = logging.getLogger(__name__)

UNREAD_HIGH_BYTES = 64 * 1024  # queued for the caller, above which reading pauses
UNREAD_LOW_BYTES = 16 * 1024  # at which it goes on
UNREAD_PAUSE_S = 1.5  # without a bound on the number of pauses
# After which an instance cuts off an answer that nobody reads: `stall-ms` of instances.
INSTANCE_STALL_S = 5.0
# Half of it: a second pause may follow before the instance has written again.
MAX_PAUSE_S = INSTANCE_STALL_S / 2
# The share of one caller. Of the smallest account, 4 MiB, it is a sixteenth.
MAX_UNREAD_BYTES = 256 * 1024


class ReaderAction(Enum):
    """What becomes of an answer whose reading from the instance is paused."""

    WAIT = "wait"
    READ = "read"  # go on reading from the instance
    CLOSE = "close"  # close the connection of the caller and release the instance


class Pause(msgspec.Struct, frozen=True):
    """The start of a pause: its clock time in seconds, and what was not read then."""

    since_s: float
    unread_bytes: int  # queued here or in the kernel

    def after_push(self, count: int) -> "Pause":
        """Return the pause after more bytes were queued, which the caller has not read.

        An answer is read on within a pause when memory is short.
        """
        return Pause(self.since_s, self.unread_bytes + count)


class ReaderPolicy(ABC):
    """Decides on paused answers."""

    max_pause_s: float

    @abstractmethod
    def decide(
        self, pause: Pause, *, queued_bytes: int, unread_bytes: int, now_s: float
    ) -> ReaderAction:
        """Return what to do at a clock time in seconds.

        ``queued_bytes`` are queued here for the caller, ``unread_bytes`` here or in the
        kernel.
        """


class UnboundedReaders(ReaderPolicy):
    """Reads on after each pause, whether the caller has read or not.

    This is the baseline, and what is used without a pool: a caller that never reads
    holds its instance until the route times out.
    """

    max_pause_s = UNREAD_PAUSE_S

    def decide(self, pause, *, queued_bytes, unread_bytes, now_s):
        is_drained = queued_bytes <= UNREAD_LOW_BYTES
        return ReaderAction.READ if is_drained else ReaderAction.WAIT


class BoundedReaders(ReaderPolicy):
    """Ends the answer of a caller that takes nothing during a whole pause.

    It handles callers that stop reading long answers while others wait for the slots
    and the memory of the instances. One that reads a little is served on, slowly, until
    more than `MAX_UNREAD_BYTES` are queued for it.
    """

    max_pause_s = MAX_PAUSE_S

    def decide(self, pause, *, queued_bytes, unread_bytes, now_s):
        if queued_bytes <= UNREAD_LOW_BYTES:
            return ReaderAction.READ
        if now_s - pause.since_s < self.max_pause_s:
            return ReaderAction.WAIT
        has_read = unread_bytes < pause.unread_bytes
        if has_read and queued_bytes <= MAX_UNREAD_BYTES:
            return ReaderAction.READ
        return ReaderAction.CLOSE
