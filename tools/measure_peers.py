"""Measures what the processes of several entries spend on each other.

Usage: measure_peers.py ENTRIES [GROUPS [SECONDS]] starts one process for each entry
on loopback and prints means for one entry. Engines answer within the process, so
probes cost no messages here.
"""

import json
import resource
import statistics
import subprocess
import sys
import threading
import time

from circuits import Component

from citronpin.basics.clocks import ClockTask, SystemClock
from citronpin.basics.ids import EntryId
from citronpin.control.readiness import ReadinessTable
from citronpin.control.watchers import Watcher
from citronpin.peers.peers import Peers
from citronpin.state.logs import MemoryLog
from citronpin.tests.meshes import FakeStates, recorder_for
from citronpin.tests.test_readiness import Domain, FakeEngines

BASE_PORT = 23_000
DOMAINS = 6
MEMBERS = 4
WARM_UP_S = 6.0
KIB = 1024


def address_of(number: int) -> str:
    """Return the address of an entry's process."""
    return f"tcp://127.0.0.1:{BASE_PORT + number}"


def run_entry(number: int, entries: int, groups: int, seconds: float) -> dict:
    """Run one entry and return its rates."""
    clock = SystemClock()
    log = MemoryLog(clock=clock)
    name = EntryId(f"entry-{number}")
    recorder = recorder_for(name, clock)
    peers = Peers(
        entry=name,
        clock=clock,
        recorder=recorder,
        listen=address_of(number),
        key=b"measured",
    )
    states = FakeStates(entry=name, log=log, clock=clock)
    shared = {
        "entry": name,
        "clock": clock,
        "recorder": recorder,
        "mesh": peers,
        "states": states,
    }
    table = ReadinessTable(**shared)
    engines = FakeEngines(clock=clock)
    watcher = Watcher(
        **shared, engines=engines, address_of=lambda instance: instance, table=table
    )
    names = []
    for domain in range(DOMAINS):
        made = Domain(
            name=f"d{domain}", log=log, groups=groups // DOMAINS, members=MEMBERS
        )
        engines.statuses.update(made.statuses())
        names += made.names
        states.follow(made.stream)
    root = Component()
    ClockTask(clock=clock).register(root)
    peers.register(root)
    known = {f"entry-{other}": address_of(other) for other in range(entries)}
    clock.call_later(0.0, lambda: peers.set_peers(known))
    result = {}

    def measure():
        time.sleep(WARM_UP_S)
        before = snapshot(peers, watcher)
        lapses = 0
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            time.sleep(1.0)
            lapses += sum(not table.usable(group) for group in names)
        after = snapshot(peers, watcher)
        for key, value in after.items():
            result[key] = (value - before[key]) / seconds
        result["lapses"] = lapses
        result["alive"] = len(peers.alive())
        result["memory_mib"] = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KIB
        root.stop()

    threading.Thread(target=measure, daemon=True).start()
    root.run()
    return result


def snapshot(peers: Peers, watcher: Watcher) -> dict:
    """Return the counts so far."""
    counters = peers.counters
    return {
        "messages_both_ways": counters.sent_messages + counters.received_messages,
        "bytes_both_ways": counters.sent_bytes + counters.received_bytes,
        "dropped": counters.dropped,
        "probes": watcher.probes,
        "cpu_s": time.process_time(),
    }


def main() -> None:
    """Start the processes and print the means."""
    if sys.argv[1] == "entry":
        number, entries, groups = map(int, sys.argv[2:5])
        print(json.dumps(run_entry(number, entries, groups, float(sys.argv[5]))))
        return
    entries, groups, seconds = (sys.argv[1:] + ["120", "20"][len(sys.argv) - 2 :])[:3]
    processes = [
        subprocess.Popen(
            [sys.executable, __file__, "entry", str(number), entries, groups, seconds],
            stdout=subprocess.PIPE,
            text=True,
        )
        for number in range(int(entries))
    ]
    results = [json.loads(process.communicate()[0]) for process in processes]
    means = {
        key: round(statistics.mean(result[key] for result in results), 4)
        for key in results[0]
    }
    print(json.dumps({"entries": int(entries), "groups": int(groups), **means}))


if __name__ == "__main__":
    main()
