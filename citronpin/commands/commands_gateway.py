"""The command that runs a node of the gateway."""

from absl import flags

from citronpin.commands.commands import FLAGS, Command, register


@register
class GatewayCommand(Command):
    """Runs a gateway node in front of the fleet that the platform lists."""

    name = "gateway"
    summary = "run a gateway node with the settings that the platform provides"
    example = "citronpin gateway --level INFO"

    def define_flags(self) -> None:
        flags.DEFINE_enum(
            "level",
            "INFO",
            ["DEBUG", "INFO", "WARNING", "ERROR"],
            "Lowest level that is logged.",
        )
        flags.DEFINE_integer(
            "metrics_port", 9464, "Port of the metrics page on the node's address."
        )
        flags.DEFINE_enum(
            "placement",
            "remaining-work",
            ["least-loaded", "remaining-work"],
            "How instances are selected where many entries share a pool of them.",
        )

    def run(self, args: list[str]) -> int:
        from citronpin.gateway.placers import PlacementPolicy
        from citronpin.platform.programs import run

        placement = PlacementPolicy(FLAGS.placement)
        return run(FLAGS.level, FLAGS.metrics_port, placement)
