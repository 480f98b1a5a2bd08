"""Measures what entries send each other, calm and in trouble, in bytes and messages.

Entries, instances and requests are simulated on a paused clock, with real frames.
"""

import sys
import time

import msgspec

from citronpin.basics.clocks import PausedClock
from citronpin.tests.platforms.crashes import CrashWorld
from citronpin.tests.platforms.cuts import Cut, cut_off
from citronpin.tests.platforms.limits import limit_instances

WARM_UP_S = 2.0
MEASURED_S = 8.0
POISON_PER_S = 10
LIMIT = 1.6  # requests per second
LIMITED_SHARE = 0.7
# Requests per second and instances, as many for each entry in every case.
SOUND_PER_S_ENTRY = 8
REPLICAS_PER_ENTRY = 3
DEADLY_PER_S = 2
CUT_SHARE = 1 / 3  # of the entries, from all instances
COLD_PER_S = 18.0  # requests per second
CASES = ("calm", "parts", "requests", "limits", "cut", "cold")


def measure(entries: int, case: str) -> dict[str, float]:
    """Return bytes and messages a second for each entry, and the crashes."""
    world = CrashWorld(
        clock=PausedClock(), entries=entries, replicas=REPLICAS_PER_ENTRY * entries
    )
    sound_per_s = SOUND_PER_S_ENTRY * entries
    world.run(WARM_UP_S, sound_per_s=sound_per_s)
    if case == "limits":
        replicas = list(world.replicas.values())
        limit_instances(replicas[: round(LIMITED_SHARE * len(replicas))], LIMIT)
    if case == "cut":
        for entry in world.entries[: round(CUT_SHARE * entries)]:
            cut_off(entry, world.all_replicas(), Cut.HANG)
    if case == "cold":
        _make_cold(world)
    before = _sent(world)
    started_s = time.process_time()
    if case == "requests":
        world.run_deadly(
            MEASURED_S,
            target="/draft/deadly",
            sound_per_s=sound_per_s,
            reads_per_s=0,
            deadly_per_s=DEADLY_PER_S,
        )
    else:
        poison_per_s = POISON_PER_S if case == "parts" else 0
        world.run(MEASURED_S, sound_per_s=sound_per_s, poison_per_s=poison_per_s)
    used_s = time.process_time() - started_s
    sent_bytes, sent_messages = (
        after - earlier for after, earlier in zip(_sent(world), before)
    )
    return {
        "bytes_s": round(sent_bytes / MEASURED_S / entries),
        "messages_s": round(sent_messages / MEASURED_S / entries, 1),
        "crashes": len(world.crashed_s) + len(world.deadly_crashed_s),
        "processor_s": round(used_s, 2),
    }


def _make_cold(world: CrashWorld) -> None:
    """Let all instances be cold throughout, as all entries know.

    If only some are, others get the requests.
    """
    for entry in world.entries:
        entry.cold_starts.set_services(
            msgspec.structs.replace(spec, cold_start_s=5.0, cold_per_s=COLD_PER_S)
            for spec in entry.context.table.cfg.services
        )
        for name in world.replicas:
            entry.cold_starts.record(
                entry.fleet.get(name), remaining_s=60.0, source="registration"
            )


def _sent(world: CrashWorld) -> tuple[int, int]:
    counters = [entry.gossip._links.counters for entry in world.entries]
    return (
        sum(counter.sent_bytes for counter in counters),
        sum(counter.sent_messages for counter in counters),
    )


def main() -> None:
    for entries in map(int, sys.argv[1:] or ("9", "89")):
        for case in CASES:
            print(entries, case, measure(entries, case), flush=True)


if __name__ == "__main__":
    main()
