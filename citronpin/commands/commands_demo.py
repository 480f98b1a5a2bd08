"""Command that runs the demonstration."""

import logging
import time
from pathlib import Path

from absl import flags

from citronpin.commands.commands import FLAGS, Command, register
from citronpin.demos.demos import ROTA_KEY, Demo, demo_system, table, write_timeline

EXIT_BROKEN = 1
DEFAULT_OUTPUT = "demo-timeline.html"


@register
class DemoCommand(Command):
    """Runs a whole system on loopback, induces failures and tells what held."""

    name = "demo"
    summary = "run a whole system on loopback and show what it promises"
    example = "citronpin demo --serve"

    def define_flags(self) -> None:
        flags.DEFINE_bool("serve", False, "Stay up and print requests to try.")
        flags.DEFINE_string("output", DEFAULT_OUTPUT, "File for the time line.")

    def run(self, args: list[str]) -> int:
        logging.getLogger().setLevel(logging.ERROR)
        system = demo_system()
        system.start()
        try:
            held = self._demonstrate(system)
            if FLAGS.serve:
                self._serve(system)
        finally:
            system.stop()
        return 0 if held else EXIT_BROKEN

    def _demonstrate(self, system) -> bool:
        demo = Demo(system=system, say=print)
        held = demo.run()
        print()
        print(table(demo.promises))
        path = Path(FLAGS.output)
        count = write_timeline(system.addresses(), system, path)
        print(f"\nThe time line of {count} events is in {path}.")
        return held

    def _serve(self, system) -> None:
        address = system.addresses()[0]
        print(
            f"\ncurl -N http://{address}/v1/chat/completions \\\n"
            f"  -H 'Authorization: Bearer {ROTA_KEY}' \\\n"
            '  -d \'{"model": "rota", "stream": true, "messages": '
            '[{"role": "user", "content": "Draft the rota"}]}\'\n'
            f"curl http://{address}/admin/groups\n\nEnd with Ctrl-C."
        )
        try:
            while True:
                time.sleep(1.0)
        except KeyboardInterrupt:
            return
