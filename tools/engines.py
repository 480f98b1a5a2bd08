"""Runs many engine stand-ins in one process and writes their instances as JSON."""

import argparse
import json
import sys

import msgspec
from circuits import Component, handler
from circuits.core.pollers import EPoll

from citronpin.basics.clocks import ClockTask, SystemClock
from citronpin.standins.standin_batches import EngineSpeed
from citronpin.standins.standin_engines import EngineStandin
from citronpin.state.instances import Instance, InstanceKind, InstanceState

LOOPBACK = "127.0.0.1"


class EngineRoot(Component):
    """Root component of the stand-ins, which stops on any signal."""

    def __init__(self, *, clock) -> None:
        super().__init__()
        EPoll().register(self)
        ClockTask(clock=clock).register(self)

    @handler("signal", channel="*")
    def _on_signal(self, event, number, frame) -> None:
        event.stop()
        self.stop()


def main() -> int:
    """Start the stand-ins, write their instances and serve until a signal."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, required=True)
    parser.add_argument("--domains", type=int, default=1)
    parser.add_argument("--tokens-per-s", type=float, default=50.0)
    parser.add_argument("--batch", type=int, default=64)
    parser.add_argument("--output", required=True)
    args = parser.parse_args()
    clock = SystemClock()
    root = EngineRoot(clock=clock)
    speed = EngineSpeed(tokens_per_s=args.tokens_per_s, batch=args.batch)
    instances = [
        _start(root, clock, number, args, speed) for number in range(args.count)
    ]
    with open(args.output, "w", encoding="utf-8") as target:
        json.dump(instances, target)
    root.run()
    return 0


def _start(root, clock, number, args, speed) -> dict:
    instance = Instance(
        id=f"engine-{number}",
        address="",
        kind=InstanceKind.ENGINE,
        state=InstanceState.LIVE,
        failure_domain=f"site-{number % args.domains % 3}",
        domain=f"fabric-{number % args.domains}",
        accelerators=8,
    )
    engine = EngineStandin(
        name=instance.id,
        bind=(LOOPBACK, 0),
        clock=clock,
        instance=instance,
        speed=speed,
        load_s=0.2,
    )
    engine.register(root)
    engine.instance = msgspec.structs.replace(instance, address=engine.address)
    return msgspec.to_builtins(engine.instance)


if __name__ == "__main__":
    sys.exit(main())
