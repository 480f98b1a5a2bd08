"""The command that runs the demonstration."""

import logging
import time
from pathlib import Path

from absl import flags

from citronpin.commands.commands import FLAGS, Command, register
from citronpin.demos.demos import (
    ROTA_API_KEY,
    Demo,
    demo_system,
    format_table,
    write_timeline,
)

EXIT_GUARANTEE_BROKEN = 1
DEFAULT_OUTPUT = "demo-timeline.html"


@register
class DemoCommand(Command):
    """Runs a system on loopback, causes failures and prints which guarantees held."""

    name = "demo"
    summary = "run a whole system on loopback and check its guarantees"
    example = "citronpin demo --serve"

    def define_flags(self) -> None:
        flags.DEFINE_bool(
            "serve", False, "Keep the system running and print example requests."
        )
        flags.DEFINE_string("output", DEFAULT_OUTPUT, "HTML file for the time line.")

    def run(self, args: list[str]) -> int:
        logging.getLogger().setLevel(logging.ERROR)
        system = demo_system()
        system.start()
        try:
            all_held = self._run_demo(system)
            if FLAGS.serve:
                self._serve_until_interrupted(system)
        finally:
            system.stop()
        return 0 if all_held else EXIT_GUARANTEE_BROKEN

    def _run_demo(self, system) -> bool:
        demo = Demo(system=system, print_line=print)
        all_held = demo.run()
        print()
        print(format_table(demo.guarantees))
        path = Path(FLAGS.output)
        count = write_timeline(system.addresses(), system, path)
        print(f"\nThe time line of {count} events is in {path}.")
        return all_held

    def _serve_until_interrupted(self, system) -> None:
        address = system.addresses()[0]
        print(
            f"\ncurl -N http://{address}/v1/chat/completions \\\n"
            f"  -H 'Authorization: Bearer {ROTA_API_KEY}' \\\n"
            '  -d \'{"model": "rota", "stream": true, "messages": '
            '[{"role": "user", "content": "Draft the rota"}]}\'\n'
            f"curl http://{address}/admin/groups\n\nEnd with Ctrl-C."
        )
        try:
            while True:
                time.sleep(1.0)
        except KeyboardInterrupt:
            return
