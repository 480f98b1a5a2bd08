"""Measures the CPU time, memory, messages and bytes that control costs an entry.

Run under `tools/clusters.py`, which passes the description of a running system.
"""

import argparse
import json
import os
import sys
import time

from clusters import SYSTEM_ENVIRONMENT_VARIABLE, get_json


def sample_counters(entry: str) -> dict:
    """Return the counters of one entry by name."""
    process = get_json(entry, "/admin/process")
    traffic = get_json(entry, "/admin/traffic")
    client, peers = traffic["log_and_engines"], traffic["peers"]
    return {
        "cpu_s": process["cpu_s"],
        "memory_bytes": process["memory_bytes"],
        "probes": traffic["probes"],
        "http_requests": client["requests"],
        "http_bytes": client["bytes_sent"] + client["bytes_received"],
        "peer_messages": peers["sent_messages"] + peers["received_messages"],
        "peer_bytes": peers["sent_bytes"] + peers["received_bytes"],
    }


def main() -> int:
    """Sample the counters twice and print the mean and the highest rates per second."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--settle", type=float, default=5.0)
    args = parser.parse_args()
    entries = json.loads(os.environ[SYSTEM_ENVIRONMENT_VARIABLE])["entries"]
    time.sleep(args.settle)
    started_s = time.monotonic()
    before = [sample_counters(entry) for entry in entries]
    time.sleep(args.seconds)
    after = [sample_counters(entry) for entry in entries]
    elapsed_s = time.monotonic() - started_s
    rates = []
    for earlier, later in zip(before, after):
        rate = {key: (later[key] - earlier[key]) / elapsed_s for key in later}
        rate["memory_mb"] = later["memory_bytes"] / 1e6
        del rate["memory_bytes"]
        rates.append(rate)
    for key in rates[0]:
        values = [rate[key] for rate in rates]
        mean = sum(values) / len(values)
        print(f"{key:16s} mean {mean:10.4f}  worst {max(values):10.4f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
