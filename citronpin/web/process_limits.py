"""Memory and descriptors of a process, and how they are divided."""

import ctypes
import os
import resource
from pathlib import Path

import msgspec

from citronpin.web.byte_accounts import ByteAccount

MB = 1024 * 1024
CGROUP_MEMORY_PATH = Path("/sys/fs/cgroup/memory.max")
DEFAULT_MEMORY_SHARE = 0.5  # of the machine's memory, if the settings give none
MAX_DESCRIPTORS = 65_536  # if neither settings nor machine give a limit
FILE_DESCRIPTORS = 200  # of the limit are not for sockets
MIN_SOCKETS = 64
CONTROL_CONNECTIONS = 8  # of each of the ports for readiness and metrics
CALLER_SHARE = 0.35  # of the other sockets
ENTRY_SHARE = 0.1  # requests that other entries pass on
OUTGOING_SHARE = 0.5  # to instances, the store and other entries
# Of the memory that the process does not need itself. The allocator and copies that
# exist for a moment take the rest.
ACCOUNT_SHARE = 0.4
MIN_ACCOUNT_BYTES = 4 * MB
M_MMAP_THRESHOLD = -3  # of `mallopt`
MMAP_THRESHOLD_BYTES = 128 * 1024


class ProcessLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a process may use; ``None`` stands for a default of the machine."""

    memory_mb: int | None = None
    max_fds: int | None = None

    @property
    def memory_bytes(self) -> int:
        """Return the memory of the process in bytes."""
        if self.memory_mb is not None:
            return self.memory_mb * MB
        return int(_machine_memory_bytes() * DEFAULT_MEMORY_SHARE)

    @property
    def descriptors(self) -> int:
        """Return how many descriptors the process may have open."""
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft == resource.RLIM_INFINITY:
            soft = MAX_DESCRIPTORS
        return soft if self.max_fds is None else min(self.max_fds, soft)


class ConnectionShares(msgspec.Struct, frozen=True, kw_only=True):
    """Largest numbers of connections by what they are for."""

    callers: int
    entries: int
    outgoing: int
    control: int  # of each port

    @classmethod
    def of(cls, limits: ProcessLimits) -> "ConnectionShares":
        """Divide the descriptors of a process."""
        sockets = max(limits.descriptors - FILE_DESCRIPTORS, MIN_SOCKETS)
        shared = sockets - 2 * CONTROL_CONNECTIONS
        return cls(
            callers=int(shared * CALLER_SHARE),
            entries=int(shared * ENTRY_SHARE),
            outgoing=int(shared * OUTGOING_SHARE),
            control=CONTROL_CONNECTIONS,
        )


def make_account(limits: ProcessLimits) -> ByteAccount:
    """Return an account of the memory that the process does not need itself.

    To be called at the start, before the process holds bytes for others.
    """
    free_bytes = limits.memory_bytes - resident_bytes()
    capacity_bytes = int(free_bytes * ACCOUNT_SHARE)
    return ByteAccount(capacity_bytes=max(capacity_bytes, MIN_ACCOUNT_BYTES))


def return_large_blocks() -> None:
    """Let the allocator of the C library return blocks of 128 KiB and more when freed.

    By default, glibc raises this size to that of the largest block that was freed, and
    bodies then leave gaps in the heap that are not returned.
    """
    try:
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    except (AttributeError, OSError):
        return  # a C library without this function


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def _machine_memory_bytes() -> int:
    """Return the memory of the machine, or of the control group if that is less."""
    total = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    try:
        return min(total, int(CGROUP_MEMORY_PATH.read_text()))
    except (OSError, ValueError):
        return total
