"""Compares requests through an entry with requests sent directly to the engines.

Run under `tools/clusters.py`, which passes the description of a running system.
"""

import argparse
import json
import os
import sys
import time

from clusters import SYSTEM_ENVIRONMENT_VARIABLE, get_json
from measure_nodes import sample_counters

from citronpin.backends.engines import Frame, FrameSink, Submission
from citronpin.backends.http_engines import HttpEngineClient
from citronpin.basics.clocks import SystemClock
from citronpin.basics.ids import new_id
from citronpin.benches.loads import LoadPlan, LoadTask
from citronpin.web.clients import HttpClient

API_KEY = "odori-demo-key"
MODEL = "rota"
TARGET_FRAMES_PER_S = 2_100
TARGET_REQUESTS_PER_S = 6
TOKENS_PER_REQUEST = TARGET_FRAMES_PER_S // TARGET_REQUESTS_PER_S


class DirectSink(FrameSink):
    """Counts the frames and the outcome of one direct submission."""

    def __init__(self, *, task: "DirectTask") -> None:
        self._task = task
        self._sent_s = task.clock.now()
        self._first = True

    def frames(self, frames: list[Frame]) -> None:
        if self._first:
            self._first = False
            delay_s = self._task.clock.now() - self._sent_s
            self._task.tally.record("first_token", delay_s)
        self._task.tally.tokens += len(frames)

    def ended(self, error) -> None:
        self._task.open_requests -= 1
        self._task.tally.outcomes["complete" if error is None else error.kind] += 1
        self._task._check_finished()


class DirectTask(LoadTask):
    """Sends the chats of a plan directly to the leads of the groups."""

    def __init__(self, *, plan: LoadPlan, clock, groups: list[dict]) -> None:
        super().__init__(plan=plan, clock=clock)
        self._groups = groups
        client = HttpClient(clock=clock, channel="direct").register(self)
        self._engine = HttpEngineClient(client=client, clock=clock)

    def _send_chat(self) -> None:
        self.sent += 1
        self.open_requests += 1
        group = self._groups[self.sent % len(self._groups)]
        prompt = f"Topic {self.sent % self.plan.prefixes}. " * 32
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": self.plan.max_tokens,
        }
        submission = Submission(
            request=new_id(),
            attempt=0,
            group=group["id"],
            fence=group["fence"],
            body=body,
        )
        self._engine.submit(
            address=group["address"], submission=submission, sink=DirectSink(task=self)
        )


def run_load(task: LoadTask) -> float:
    """Run a load to its end and return its duration in seconds."""
    task.on_finished(task.stop)
    task.clock.call_later(0.0, task.begin)
    started_s = time.monotonic()
    task.run()
    return time.monotonic() - started_s


def run_through_entry(system: dict, plan: LoadPlan) -> dict:
    """Run a load through the entry and return its cost and results."""
    entry = system["entries"][0]
    before = sample_counters(entry)
    task = LoadTask(plan=plan, clock=SystemClock())
    elapsed_s = run_load(task)
    after = sample_counters(entry)
    return {
        "spent_s": elapsed_s,
        "cpu_s": after["cpu_s"] - before["cpu_s"],
        "memory_bytes": after["memory_bytes"],
        "grown_bytes": after["memory_bytes"] - before["memory_bytes"],
        "sent": task.sent,
        **task.tally.summary(),
    }


def run_direct(system: dict, plan: LoadPlan) -> dict:
    """Run a load directly against the engines and return its cost and results."""
    addresses = {row["id"]: row["address"] for row in list_instances(system)}
    groups = get_json(system["entries"][0], "/admin/groups")
    for group in groups:
        group["address"] = addresses[group["members"][0]]
    task = DirectTask(plan=plan, clock=SystemClock(), groups=groups)
    before_s = time.process_time()
    elapsed_s = run_load(task)
    cpu_s = time.process_time() - before_s
    return {"spent_s": elapsed_s, "cpu_s": cpu_s, "sent": task.sent} | (
        task.tally.summary()
    )


def list_instances(system: dict) -> list[dict]:
    """Return the instances of the membership list."""
    return get_json(system["entries"][0], "/admin/members")["instances"]


def print_result(name: str, result: dict) -> None:
    """Print the figures of one load."""
    frames = max(result["tokens"], 1)
    cpu_share = result["cpu_s"] / result["spent_s"]
    latencies = result["latencies"]
    print(
        f"{name}: sent {result['sent']}, outcomes {result['outcomes']}, "
        f"{frames / result['spent_s']:.0f} frames/s, cpu {cpu_share:.3f} of a core, "
        f"{result['cpu_s'] / frames * 1e6:.0f} us a frame, "
        f"{result['cpu_s'] / max(result['sent'], 1) * 1e3:.2f} ms a request, "
        f"first token p50 {latencies.get('first_token_p50_s', 0) * 1e3:.1f} ms, "
        f"p99 {latencies.get('first_token_p99_s', 0) * 1e3:.1f} ms, "
        f"violations {len(result['violations'])}"
    )


def main() -> int:
    """Run the loads one after another and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--streams", type=int, default=0, help="measure memory only")
    args = parser.parse_args()
    system = json.loads(os.environ[SYSTEM_ENVIRONMENT_VARIABLE])
    plan_fields = {"entries": tuple(system["entries"]), "key": API_KEY, "model": MODEL}
    if args.streams:
        plan = LoadPlan(
            **plan_fields, duration_s=5.0, chats_per_s=args.streams / 5.0, max_tokens=60
        )
        result = run_through_entry(system, plan)
        print_result(f"{args.streams} streams", result)
        print(f"memory grew by {result['grown_bytes'] / 1e6:.1f} MB to", end=" ")
        print(f"{result['memory_bytes'] / 1e6:.1f} MB")
        return 0
    target_plan = LoadPlan(
        **plan_fields,
        duration_s=args.seconds,
        chats_per_s=TARGET_REQUESTS_PER_S,
        max_tokens=TOKENS_PER_REQUEST,
    )
    print_result("direct", run_direct(system, target_plan))
    print_result("entry", run_through_entry(system, target_plan))
    print_result("direct", run_direct(system, target_plan))
    print_result("entry", run_through_entry(system, target_plan))
    short_plan = LoadPlan(
        **plan_fields,
        duration_s=5.0,
        chats_per_s=60.0,
        max_tokens=1,
        streamed_share=0.0,
    )
    print_result("short", run_through_entry(system, short_plan))
    return 0


if __name__ == "__main__":
    sys.exit(main())
