"""The command that runs a stand-in for a platform service or a backend server."""

import signal
import sys

from absl import flags
from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from citronpin.basics.clocks import SystemClock
from citronpin.basics.loggings import set_up_logging
from citronpin.basics.settings import read_settings
from citronpin.commands.commands import EXIT_USAGE, FLAGS, Command, register
from citronpin.standins import (  # noqa: F401
    standin_engines,
    standin_logs,
    standin_memberships,
    standin_services,
    standin_weights,
)
from citronpin.standins.standins import STANDINS, Standin

STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


@register
class StandinCommand(Command):
    """Runs a stand-in until SIGTERM or SIGINT."""

    name = "standin"
    summary = "run a stand-in: log, membership, weights, engine or service"
    example = "citronpin standin engine --settings engine.ini"

    def define_flags(self) -> None:
        flags.DEFINE_string("settings", None, "INI file with the stand-in's settings.")

    def run(self, args: list[str]) -> int:
        if len(args) != 1 or args[0] not in STANDINS or not FLAGS.settings:
            known = "|".join(STANDINS)
            print(
                f"usage: citronpin standin {known} --settings FILE.ini", file=sys.stderr
            )
            return EXIT_USAGE
        standin_class = STANDINS[args[0]]
        result = read_settings(FLAGS.settings, standin_class.sections)
        if result.is_err():
            for fault in result.err_value:
                print(f"citronpin: {fault}", file=sys.stderr)
            return EXIT_USAGE
        cfg = result.ok_value
        set_up_logging("INFO", cfg.section("standin")["name"])
        run_standin(standin_class.build(cfg, SystemClock()))
        return 0


class StopOnSignal(BaseComponent):
    """Ends the event loop when the process receives a stop signal."""

    @handler("signal", channel="*")
    def _on_signal(self, event, number, frame) -> None:
        if number in STOP_SIGNALS:
            event.stop()
            self.root.stop()


def run_standin(standin: Standin) -> None:
    """Run a stand-in as the root of an event loop until a stop signal."""
    # The default poller, select, cannot watch descriptors from 1,024 on.
    EPoll().register(standin)
    StopOnSignal().register(standin)
    standin.run()
