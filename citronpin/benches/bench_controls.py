"""Benchmark of the controllers: times, records and processor time of decisions."""

import logging
import random
import time

from citronpin.backends.memory_engines import make_engine_instance
from citronpin.basics.ids import (
    CONFIG_STREAM,
    DeploymentName,
    DomainName,
    control_stream,
)
from citronpin.benches.benches import Bench, Figure, register
from citronpin.benches.fabrics import Fabric
from citronpin.state.manifests import DeploymentManifest
from citronpin.state.records import ConfigChange, ScopeChange
from citronpin.state.states import Group, GroupState

logger = logging.getLogger(__name__)

DOMAIN = DomainName("a")
STREAM = control_stream(DOMAIN)
SCOPE = "deployment/rota"
MEMBERS = 2
LOAD_S = 2.0
QUICK_LOAD_S = 0.05  # for figures that exclude the loading of weights
CLOCK_STEP_S = 0.05
WAIT_TIMEOUT_S = 2_000.0
FAULT_REPEATS = 9
DECISION_RUNS = 40
SIZES = (60, 120, 150, 300)
QUICK_SIZES = (60, 120)
SLOPE_SIZES = (60, 150, 300)
US_PER_S = 1e6


class BenchFabric:
    """Simulated fabric domain with one deployment, advanced by the benchmark.

    The constructor returns when all groups serve.
    """

    def __init__(self, *, groups: int, spares: int, entries: int, load_s: float):
        instance_count = groups * MEMBERS + spares
        rows = [
            make_engine_instance(DOMAIN, number) for number in range(instance_count)
        ]
        self.fabric = Fabric(rows=rows, entries=entries, load_s=load_s)
        self.groups = groups
        self._version = 0
        self.publish()
        self.wait(self.all_serve)

    @property
    def now(self) -> float:
        """Return the clock time of the fabric in seconds."""
        return self.fabric.clock.now()

    @property
    def records(self) -> int:
        """Return the number of records on the domain's control stream."""
        return self.fabric.log.head(STREAM)

    def state(self):
        """Return the control stream's state as the most advanced entry has it."""
        states = [e.states.state(STREAM) for e in self.fabric.entries.values()]
        return max(states, key=lambda state: state.offset)

    def holder(self):
        """Return the entry that holds the lease of the control stream."""
        return self.fabric.entries[self.state().lease.holder]

    def publish(self) -> None:
        """Publish the next version of the deployment."""
        manifest = DeploymentManifest(
            name=DeploymentName("rota"),
            model="m",
            version=str(self._version + 1),
            groups=self.groups,
            members=MEMBERS,
        )
        base = self.fabric.log.head(CONFIG_STREAM) - 1
        change = ConfigChange(changes=(ScopeChange(SCOPE, base, manifest),))
        self._version += 1
        self.fabric.publish(change)

    def serving(self) -> list[Group]:
        """Return the groups that serve the last version, in order of their names."""
        return [
            group
            for _, group in sorted(self.state().groups.items())
            if group.state is GroupState.SERVING and group.version == str(self._version)
        ]

    def all_serve(self) -> bool:
        """Return whether all wanted groups serve the last version."""
        return len(self.serving()) == self.groups

    def wait(self, condition) -> float:
        """Advance the clock until a condition holds and return the seconds it took.

        Raises `RuntimeError` after `WAIT_TIMEOUT_S` seconds of clock time.
        """
        start_s = self.now
        while not condition():
            if self.now - start_s > WAIT_TIMEOUT_S:
                raise RuntimeError(
                    f"The awaited condition did not hold within {WAIT_TIMEOUT_S:g} s."
                )
            self.fabric.advance(CLOCK_STEP_S)
        return self.now - start_s


@register
class ControlBench(Bench):
    """Measures the controllers of entries over engines and a log in memory.

    Times are those of the paused clock, so only processor times depend on the
    machine.
    """

    name = "control-decisions"
    summary = "takeover, repair and rollout times, records, CPU of decisions"

    def run(self, *, seed: int, quick: bool) -> list[Figure]:
        rng = random.Random(seed)
        figures = [*self._takeover(rng), *self._repair(rng), *self._rollout()]
        return figures + self._decisions(QUICK_SIZES if quick else SIZES)

    def _takeover(self, rng: random.Random) -> list[Figure]:
        crashes, planned_stops = [], []
        for _ in range(FAULT_REPEATS):
            bench = BenchFabric(groups=3, spares=2, entries=9, load_s=QUICK_LOAD_S)
            bench.fabric.advance(rng.uniform(0.0, 1.0))
            planned_stops.append(self._planned_stop(bench))
            crashes.append(self._crash(bench))
        return [
            _seconds("takeover", "crash", crashes),
            _seconds("takeover", "planned stop", planned_stops),
        ]

    def _planned_stop(self, bench: BenchFabric) -> float:
        holder = bench.holder()
        holder.control.leave()
        takeover_s = bench.wait(
            lambda: bench.state().lease.holder not in ("", holder.name)
        )
        bench.fabric.kill(holder.name)
        return takeover_s

    def _crash(self, bench: BenchFabric) -> float:
        holder = bench.holder().name
        bench.fabric.kill(holder)
        return bench.wait(lambda: bench.state().lease.holder != holder)

    def _repair(self, rng: random.Random) -> list[Figure]:
        bench = BenchFabric(groups=6, spares=FAULT_REPEATS, entries=3, load_s=LOAD_S)
        broken_times_s, serving_times_s, records_appended = [], [], []
        for _ in range(FAULT_REPEATS):
            bench.fabric.advance(5.0 + rng.uniform(0.0, 2.0))
            records_before = bench.records
            group = rng.choice(bench.serving())
            engine = bench.fabric.engines[rng.choice(group.members)]
            engine.crash()
            broken_s = bench.wait(lambda: not bench.all_serve())
            broken_times_s.append(broken_s)
            serving_times_s.append(broken_s + bench.wait(bench.all_serve))
            records_appended.append(bench.records - records_before)
        return [
            _seconds("death", "to broken", broken_times_s),
            _seconds("death", "to serving", serving_times_s),
            _record_count("records", "repair", max(records_appended)),
        ]

    def _rollout(self) -> list[Figure]:
        bench = BenchFabric(groups=12, spares=2, entries=3, load_s=LOAD_S)
        formation_records = bench.records - 1  # without the record of the lease
        records_before = bench.records
        bench.publish()
        rollout_s = bench.wait(bench.all_serve)
        return [
            _record_count("records", "form", formation_records / bench.groups),
            _record_count(
                "records", "rollout", (bench.records - records_before) / bench.groups
            ),
            _seconds("rollout", "12 groups", [rollout_s]),
        ]

    def _decisions(self, sizes: tuple[int, ...]) -> list[Figure]:
        cost_us = {groups: self._decision_us(groups) for groups in sizes}
        figures = [
            Figure(
                name="decision",
                at=str(groups),
                value=value,
                unit="us",
                clock_dependent=True,
            )
            for groups, value in cost_us.items()
        ]
        if set(SLOPE_SIZES) <= set(sizes):
            low, middle, high = SLOPE_SIZES
            for name, begin, end in (("lower", low, middle), ("upper", middle, high)):
                slope = (cost_us[end] - cost_us[begin]) / (end - begin)
                figures.append(
                    Figure(
                        name="decision slope",
                        at=name,
                        value=slope,
                        unit="us/group",
                        clock_dependent=True,
                    )
                )
        return figures

    def _decision_us(self, groups: int) -> float:
        """Return the processor time of one run of all controllers, in microseconds."""
        bench = BenchFabric(groups=groups, spares=4, entries=1, load_s=QUICK_LOAD_S)
        bench.fabric.advance(10.0)
        control = bench.holder().control.domains[DOMAIN]
        spent_s = 0.0
        for _ in range(DECISION_RUNS):
            bench.fabric.advance(0.5)
            start_s = time.process_time()
            for controller in control.controllers:
                controller.reconcile()
            spent_s += time.process_time() - start_s
        return spent_s / DECISION_RUNS * US_PER_S


def _seconds(name: str, series: str, values: list[float]) -> Figure:
    return Figure(name=name, series=series, value=max(values), unit="s")


def _record_count(name: str, series: str, value: float) -> Figure:
    return Figure(name=name, series=series, value=value, unit="records")
