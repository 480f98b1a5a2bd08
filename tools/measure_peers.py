"""Measures the traffic and CPU time between several entries.

Usage: measure_peers.py ENTRIES [GROUPS [SECONDS]] starts one process for each entry
on loopback and prints the means per entry. Engines answer within the process, so
probes send no messages here.
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
DOMAIN_COUNT = 6
MEMBERS_PER_GROUP = 4
WARM_UP_S = 6.0
BYTES_PER_KIB = 1024


def address_of(number: int) -> str:
    """Return the peer address of the entry with this number."""
    return f"tcp://127.0.0.1:{BASE_PORT + number}"


def run_entry(number: int, entries: int, groups: int, seconds: float) -> dict:
    """Run one entry and return its rates per second and its lapsed leases.

    ``lapses`` counts once per second each group that may not be dispatched to.
    """
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
    common_args = {
        "entry": name,
        "clock": clock,
        "recorder": recorder,
        "mesh": peers,
        "states": states,
    }
    table = ReadinessTable(**common_args)
    engines = FakeEngines(clock=clock)
    watcher = Watcher(
        **common_args,
        engines=engines,
        address_of=lambda instance: instance,
        table=table,
    )
    group_ids = []
    for domain in range(DOMAIN_COUNT):
        fabric = Domain(
            name=f"d{domain}",
            log=log,
            groups=groups // DOMAIN_COUNT,
            members=MEMBERS_PER_GROUP,
        )
        engines.statuses.update(fabric.statuses())
        group_ids += fabric.names
        states.follow(fabric.stream)
    root = Component()
    ClockTask(clock=clock).register(root)
    peers.register(root)
    addresses = {f"entry-{other}": address_of(other) for other in range(entries)}
    clock.call_later(0.0, lambda: peers.set_peers(addresses))
    result = {}

    def measure_rates():
        time.sleep(WARM_UP_S)
        before = read_counters(peers, watcher)
        lapses = 0
        deadline_s = time.monotonic() + seconds
        while time.monotonic() < deadline_s:
            time.sleep(1.0)
            lapses += sum(not table.usable(group) for group in group_ids)
        after = read_counters(peers, watcher)
        for key, value in after.items():
            result[key] = (value - before[key]) / seconds
        result["lapses"] = lapses
        result["alive"] = len(peers.alive())
        result["memory_mib"] = (
            resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / BYTES_PER_KIB
        )
        root.stop()

    threading.Thread(target=measure_rates, daemon=True).start()
    root.run()
    return result


def read_counters(peers: Peers, watcher: Watcher) -> dict:
    """Return the counters since the start."""
    counters = peers.counters
    return {
        "messages_both_ways": counters.sent_messages + counters.received_messages,
        "bytes_both_ways": counters.sent_bytes + counters.received_bytes,
        "dropped": counters.dropped,
        "probes": watcher.probes,
        "cpu_s": time.process_time(),
    }


def main() -> None:
    """Start a process for each entry and print the means of their results."""
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
