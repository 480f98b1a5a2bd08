"""Measures the latency and log appends of non-repeatable calls at several rates.

Run under `tools/clusters.py`, which passes the description of a running system.
"""

import argparse
import json
import os
import sys

from clusters import SYSTEM_ENVIRONMENT_VARIABLE, get_json
from measure_path import API_KEY, MODEL, run_load

from citronpin.basics.clocks import SystemClock
from citronpin.benches.loads import LoadPlan, LoadTask, check_effects

UNBATCHED_APPENDS_PER_CALL = 2  # an intent and an outcome


def count_call_records(system: dict) -> int:
    """Return the number of records in all call streams."""
    heads = get_json(system["log"], "/streams")
    return sum(head for name, head in heads.items() if name.startswith("calls."))


def main() -> int:
    """Send calls at several rates and print their figures; exit 1 on violations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="+", default=[20, 60, 120])
    parser.add_argument("--seconds", type=float, default=6.0)
    args = parser.parse_args()
    system = json.loads(os.environ[SYSTEM_ENVIRONMENT_VARIABLE])
    violations = 0
    for rate in args.rates:
        plan = LoadPlan(
            entries=tuple(system["entries"]),
            key=API_KEY,
            model=MODEL,
            duration_s=args.seconds,
            chats_per_s=0.0,
            calls_per_s=rate,
        )
        before = count_call_records(system)
        task = LoadTask(plan=plan, clock=SystemClock())
        run_load(task)
        appends = count_call_records(system) - before
        effects: dict[str, int] = {}
        for service in system["services"]:
            effects |= get_json(service, "/effects")
        violations += len(check_effects(task.call_outcomes, effects))
        tally = task.tally
        print(
            f"{rate:.0f} calls/s: outcomes {dict(tally.outcomes)}, "
            f"{appends / args.seconds:.1f} appends/s "
            f"({UNBATCHED_APPENDS_PER_CALL * task.sent / args.seconds:.1f} with one "
            f"append an item), p50 {tally.quantile_s('call', 0.5) * 1e3:.1f} ms, "
            f"p99 {tally.quantile_s('call', 0.99) * 1e3:.1f} ms"
        )
    print(f"violations: {violations}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
