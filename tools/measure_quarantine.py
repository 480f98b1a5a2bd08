"""Measures what the quarantine of prompt parts costs in messages between entries.

Entries, instances and requests are simulated on a paused clock, with real frames.
"""

import sys
import time

from citronpin.basics.clocks import PausedClock
from citronpin.tests.platforms.crashes import CrashWorld

WARM_UP_S = 2.0
MEASURED_S = 8.0
POISON_PER_S = 10


def measure(entries: int, poison_per_s: int) -> dict[str, float]:
    """Return bytes and messages a second for each entry, and the crashes."""
    world = CrashWorld(clock=PausedClock(), entries=entries)
    world.run(WARM_UP_S)
    before = _sent(world)
    started_s = time.process_time()
    world.run(MEASURED_S, poison_per_s=poison_per_s)
    used_s = time.process_time() - started_s
    sent_bytes, sent_messages = (
        after - earlier for after, earlier in zip(_sent(world), before)
    )
    return {
        "bytes_s": round(sent_bytes / MEASURED_S / entries),
        "messages_s": round(sent_messages / MEASURED_S / entries, 1),
        "crashes": len(world.crashed_s),
        "processor_s": round(used_s, 2),
    }


def _sent(world: CrashWorld) -> tuple[int, int]:
    counters = [entry.gossip._links.counters for entry in world.entries]
    return (
        sum(counter.sent_bytes for counter in counters),
        sum(counter.sent_messages for counter in counters),
    )


def main() -> None:
    for entries in map(int, sys.argv[1:] or ("9", "89")):
        for poison_per_s in (0, POISON_PER_S):
            print(entries, poison_per_s, measure(entries, poison_per_s), flush=True)


if __name__ == "__main__":
    main()
