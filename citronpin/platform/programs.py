"""Runs a node of the gateway on the platform."""

import logging
import sys
from pathlib import Path

from citronpin.basics.clocks import MS_PER_S, Clock, SystemClock
from citronpin.basics.ids import EntryId, new_id
from citronpin.basics.loggings import set_up_logging
from citronpin.gateway.forward_peers import ForwardPeer
from citronpin.gateway.nodes import GatewayNode, PlatformConnector
from citronpin.gateway.placers import PlacementPolicy
from citronpin.gateway.relays import UNKNOWN_CAPACITY, MachineCapacity
from citronpin.platform.directories import EntryRecord, StoreDirectory
from citronpin.platform.feeds import ConfigFeed, FleetFeed, StoreFeeds
from citronpin.platform.leases import PartitionLeases
from citronpin.platform.names import HEADERS
from citronpin.platform.orders import HttpInstanceControl
from citronpin.platform.settings import (
    WireSettings,
    node_settings,
    read_process_settings,
    settings_path,
)
from citronpin.platform.stores import LogStore
from citronpin.web.clients import HttpClient
from citronpin.web.process_limits import return_large_blocks

logger = logging.getLogger(__name__)

EXIT_USAGE = 2
SETTINGS_CHECK_INTERVAL_S = 1.0  # the file may change without a signal
HOLDER_READ_INTERVAL_S = 0.3  # for entries that hold leases or forward records


class StoreConnector(PlatformConnector):
    """Connects a node to the platform's store and instances."""

    names = HEADERS

    def __init__(
        self, *, settings: WireSettings, path: Path, client: HttpClient, clock: Clock
    ) -> None:
        self._settings = settings
        self._path = path
        self._clock = clock
        self._last_text = _read_text(path)
        self.store = LogStore(client=client, address=settings.platform.address)
        self.control = HttpInstanceControl(client=client)
        self.leases = PartitionLeases(
            store=self.store,
            clock=clock,
            member=f"{settings.node}/{new_id()}",
            parts=settings.platform.parts,
            ttl_min_ms=settings.platform.ttl_min_ms,
        )
        self._keyed_feeds: list = []
        self._directory: StoreDirectory | None = None
        self._fleet_feed: FleetFeed | None = None

    def start(self, node: GatewayNode) -> None:
        self._node = node
        self._fleet_feed = FleetFeed(
            store=self.store,
            clock=self._clock,
            fleet=node.fleet,
            drain_s=self._settings.bounds.drain_ms / MS_PER_S,
            cold_starts=node.cold_starts,
        )
        self._directory = StoreDirectory(
            store=self.store,
            clock=self._clock,
            name=node.cfg.name,
            record=EntryRecord(
                address=node.cfg.peers,
                forward=node.cfg.forward,
                failure_domain=node.cfg.failure_domain,
                capacity=self._settings.limits.capacity(),
            ),
            on_changed=self._on_peers_changed,
        )
        config = ConfigFeed(
            store=self.store,
            clock=self._clock,
            apply=node.apply_config,
            apply_s=self._settings.bounds.config_apply_ms / MS_PER_S,
            evacuations=node.evacuations,
            evacuate_s=self._settings.bounds.evacuate_ms / MS_PER_S,
        )
        node.context.is_table_current = lambda: config.is_current
        node.metrics.gauges.add(
            "config_age_seconds",
            "Seconds for which a newer configuration may have existed.",
            config.age_s,
        )
        self._keyed_feeds = [config, self._fleet_feed, self._directory]
        self.feeds = StoreFeeds(
            feeds={feed.topic: feed for feed in self._keyed_feeds}, clock=self._clock
        )
        for feed in self._keyed_feeds:
            feed.start()
        self._update_interval_and_settings()

    def _on_peers_changed(self) -> None:
        self._node.update_peers(self._directory.frame_key)
        if self._directory.frame_key is not None:
            # Each member that joins and leaves moves leases, and an entry of a crowd
            # knows only now whether it is to hold any.
            self.leases.start()

    def _update_interval_and_settings(self) -> None:
        """Set the read interval of the fleet feed and reload changed settings."""
        self._clock.call_next(
            SETTINGS_CHECK_INTERVAL_S, self._update_interval_and_settings
        )
        if self._node.fabrics.held_domain_count or self._node.is_forwarding:
            self._fleet_feed.set_read_interval(HOLDER_READ_INTERVAL_S)
        else:
            self._fleet_feed.reset_read_interval()
        if _read_text(self._path) != self._last_text:
            self.reload()

    def release_leases(self) -> None:
        self.leases.stop()

    def stop(self) -> None:
        # Withdrawn only now: placing requests needs the loads of others to the end.
        self._directory.withdraw()
        for feed in self._keyed_feeds:
            feed.stop()

    def peer_addresses(self) -> dict[EntryId, str]:
        return {} if self._directory is None else self._directory.addresses()

    def capacity_of(self, entry: EntryId) -> MachineCapacity:
        if self._directory is None:
            return UNKNOWN_CAPACITY
        return self._directory.capacity_of(entry)

    def forward_peers(self) -> tuple[ForwardPeer, ...]:
        return () if self._directory is None else self._directory.forward_peers()

    def reload(self) -> None:
        """Read a changed settings file and log whether it equals that of the start.

        Addresses and bounds are fixed while a process runs; a change of them takes
        effect at the next start.
        """
        self._last_text = _read_text(self._path)
        result = read_process_settings(self._path)
        if result.is_err():
            logger.error("settings not reloaded: %s", result.err_value)
            return
        same = result.ok_value == self._settings
        logger.info("settings read", extra={"same": same})


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except OSError as exc:
        logger.warning("settings file cannot be read", extra={"detail": str(exc)})
        return ""


def run(log_level: str, metrics_port: int, placement: PlacementPolicy) -> int:
    """Run a node until it is stopped; return the exit code."""
    path = settings_path()
    result = read_process_settings(path)
    if result.is_err():
        print(f"citronpin gateway: {result.err_value}", file=sys.stderr)
        return EXIT_USAGE
    settings = result.ok_value
    return_large_blocks()
    listener = set_up_logging(log_level, settings.node, stream=sys.stdout)
    clock = SystemClock()
    client = HttpClient(clock=clock)
    connector = StoreConnector(settings=settings, path=path, client=client, clock=clock)
    node = GatewayNode(
        cfg=node_settings(settings, metrics_port, placement),
        clock=clock,
        client=client,
        connector=connector,
    )
    node.run_until_stopped()
    listener.stop()
    return 0
