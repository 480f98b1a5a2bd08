"""Runs a node of the gateway on the platform."""

import logging
import sys
from pathlib import Path

from citronpin.basics.clocks import MS_PER_S, Clock, SystemClock
from citronpin.basics.ids import EntryId, new_id
from citronpin.basics.loggings import set_up_logging
from citronpin.gateway.nodes import GatewayNode, PlatformConnector
from citronpin.platform.directories import StoreDirectory
from citronpin.platform.feeds import ConfigFeed, FleetFeed, StoreFeeds
from citronpin.platform.leases import PartitionLeases
from citronpin.platform.names import HEADERS
from citronpin.platform.orders import WireControl
from citronpin.platform.processes import (
    WireSettings,
    node_settings,
    read_process_settings,
    settings_path,
)
from citronpin.platform.stores import LogStore
from citronpin.web.clients import HttpClient

logger = logging.getLogger(__name__)

EXIT_USAGE = 2
SETTINGS_CHECK_S = 1.0  # the file may change without a signal
HOLDER_INTERVAL_S = 0.3  # where leases are held, or records passed on to others


class PlatformAdapter(PlatformConnector):
    """Connects a node to the platform's store and instances."""

    names = HEADERS

    def __init__(
        self, *, wire: WireSettings, path: Path, client: HttpClient, clock: Clock
    ) -> None:
        self._wire = wire
        self._path = path
        self._clock = clock
        self._text = _read_text(path)
        self.store = LogStore(client=client, address=wire.platform.address)
        self.control = WireControl(client=client)
        self.leases = PartitionLeases(
            store=self.store,
            clock=clock,
            member=f"{wire.node}/{new_id()}",
            parts=wire.platform.parts,
            ttl_min_ms=wire.platform.ttl_min_ms,
        )
        self._own_feeds: list = []
        self._directory: StoreDirectory | None = None
        self._fleet_feed: FleetFeed | None = None

    def start(self, node: GatewayNode) -> None:
        self._node = node
        self._fleet_feed = FleetFeed(
            store=self.store,
            clock=self._clock,
            fleet=node.fleet,
            drain_s=self._wire.bounds.drain_ms / MS_PER_S,
        )
        self._directory = StoreDirectory(
            store=self.store,
            clock=self._clock,
            name=node.cfg.name,
            address=node.cfg.peers,
            changed=self._peers_changed,
        )
        config = ConfigFeed(
            store=self.store, clock=self._clock, apply=node.apply_config
        )
        self._own_feeds = [config, self._fleet_feed, self._directory]
        self.feeds = StoreFeeds(
            feeds={feed.topic: feed for feed in self._own_feeds}, clock=self._clock
        )
        for feed in self._own_feeds:
            feed.start()
        self.leases.start()
        self._look_around()

    def _peers_changed(self) -> None:
        self._node.peers_changed(self._directory.frame_key)

    def _look_around(self) -> None:
        """Read the list faster where it is decided on, and look for new settings."""
        self._clock.call_later(SETTINGS_CHECK_S, self._look_around)
        if self._node.fabrics.held or self._node.forwarding:
            self._fleet_feed.pace(HOLDER_INTERVAL_S)
        else:
            self._fleet_feed.pace_calm()
        if _read_text(self._path) != self._text:
            self.reload()

    def leave(self) -> None:
        self.leases.stop()

    def stop(self) -> None:
        # Until the end this entry places requests, for which it needs others' loads.
        self._directory.withdraw()
        for feed in self._own_feeds:
            feed.stop()

    def peer_addresses(self) -> dict[EntryId, str]:
        return {} if self._directory is None else self._directory.addresses()

    def reload(self) -> None:
        """Take a changed file.

        Addresses and bounds are fixed for the life of a process; a file that would
        change them takes effect at the next start.
        """
        self._text = _read_text(self._path)
        result = read_process_settings(self._path)
        if result.is_err():
            logger.error("settings not taken: %s", result.err_value)
            return
        same = result.ok_value == self._wire
        logger.info("settings read", extra={"same": same})


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except OSError as exc:
        logger.warning("settings unreadable", extra={"detail": str(exc)})
        return ""


def run(log_level: str, metrics_port: int) -> int:
    """Run a node until it is told to stop; return the exit code."""
    path = settings_path()
    result = read_process_settings(path)
    if result.is_err():
        print(f"citronpin gateway: {result.err_value}", file=sys.stderr)
        return EXIT_USAGE
    wire = result.ok_value
    listener = set_up_logging(log_level, wire.node, stream=sys.stdout)
    clock = SystemClock()
    client = HttpClient(clock=clock)
    adapter = PlatformAdapter(wire=wire, path=path, client=client, clock=clock)
    node = GatewayNode(
        cfg=node_settings(wire, metrics_port),
        clock=clock,
        client=client,
        adapter=adapter,
    )
    node.run_until_stopped()
    listener.stop()
    return 0
