"""Measures non-repeatable calls: rate, latency and appends to the log.

Run under `tools/clusters.py`, which passes the description of a running system.
"""

import argparse
import json
import os
import sys

from clusters import ENVIRONMENT_KEY, get_json
from measure_path import KEY, MODEL, run

from citronpin.basics.clocks import SystemClock
from citronpin.benches.loads import LoadPlan, LoadTask, check_effects

APPENDS_WITHOUT_BATCHES = 2  # an intent and an outcome for each call


def heads(system: dict) -> int:
    """Return the records of all call streams so far."""
    found = get_json(system["log"], "/streams")
    return sum(head for name, head in found.items() if name.startswith("calls."))


def main() -> int:
    """Send calls at several rates and print what they took."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="+", default=[20, 60, 120])
    parser.add_argument("--seconds", type=float, default=6.0)
    args = parser.parse_args()
    system = json.loads(os.environ[ENVIRONMENT_KEY])
    violations = 0
    for rate in args.rates:
        plan = LoadPlan(
            entries=tuple(system["entries"]),
            key=KEY,
            model=MODEL,
            duration_s=args.seconds,
            chats_per_s=0.0,
            calls_per_s=rate,
        )
        before = heads(system)
        task = LoadTask(plan=plan, clock=SystemClock())
        run(task)
        appends = heads(system) - before
        effects: dict[str, int] = {}
        for service in system["services"]:
            effects |= get_json(service, "/effects")
        violations += len(check_effects(task.call_outcomes, effects))
        tally = task.tally
        print(
            f"{rate:.0f} calls/s: outcomes {dict(tally.outcomes)}, "
            f"{appends / args.seconds:.1f} appends/s "
            f"({APPENDS_WITHOUT_BATCHES * task.sent / args.seconds:.1f} with one "
            f"append an item), p50 {tally.quantile_s('call', 0.5) * 1e3:.1f} ms, "
            f"p99 {tally.quantile_s('call', 0.99) * 1e3:.1f} ms"
        )
    print(f"violations: {violations}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
