"""The command that runs a node of the gateway."""

from absl import flags

from citronpin.commands.commands import FLAGS, Command, register


@register
class GatewayCommand(Command):
    """Runs a node in front of a fleet that the platform lists."""

    name = "gateway"
    summary = "run a node on the platform, with the settings that it gives"
    example = "citronpin gateway --level INFO"

    def define_flags(self) -> None:
        flags.DEFINE_enum(
            "level",
            "INFO",
            ["DEBUG", "INFO", "WARNING", "ERROR"],
            "Least level that is logged.",
        )
        flags.DEFINE_integer(
            "metrics_port", 9464, "Port of the metrics, at the node's address."
        )

    def run(self, args: list[str]) -> int:
        from citronpin.platform.programs import run

        return run(FLAGS.level, FLAGS.metrics_port)
