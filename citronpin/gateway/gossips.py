"""Entries tell each other what they have in progress and whom they suspect."""

import logging
from collections.abc import Callable

from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.ids import EntryId, InstanceId
from citronpin.gateway.loadbooks import LoadBook
from citronpin.gateway.suspects import Suspects
from citronpin.peers.links import Links
from citronpin.peers.messages import LoadNews, Message

logger = logging.getLogger(__name__)

NEWS_INTERVAL_S = 0.15  # older figures let entries choose the same place
QUIET_NEWS_S = 0.75  # unchanged figures are repeated before they count as old


class Gossip:
    """Sends this entry's news to all others and takes theirs."""

    def __init__(
        self,
        *,
        links: Links,
        addresses: Callable[[], dict[EntryId, str]],
        loads: LoadBook,
        suspects: Suspects,
        clock: Clock,
        traffic: Callable[[], bool],
        heard_traffic: Callable[[], None],
    ) -> None:
        self._links = links
        self._addresses = addresses
        self._loads = loads
        self._suspects = suspects
        self._clock = clock
        self._traffic = traffic
        self._heard_traffic = heard_traffic
        self._connected: set[str] = set()
        self._last: LoadNews | None = None
        self._sent_s = float("-inf")
        self._timer: TimerHandle | None = None

    def start(self) -> None:
        """Begin to exchange news."""
        self._links.open(self._receive)
        self._tick()

    def stop(self) -> None:
        """End the exchange."""
        if self._timer is not None:
            self._timer.cancel()
        self._links.close()

    def _tick(self) -> None:
        self._timer = self._clock.call_later(NEWS_INTERVAL_S, self._tick)
        now_s = self._clock.now()
        self._connect()
        self._loads.expire(now_s=now_s)
        suspects = self._suspects.recent(since_s=now_s - 2 * NEWS_INTERVAL_S)
        news = LoadNews(
            loads=self._loads.own(), suspects=suspects, traffic=self._traffic()
        )
        if news == self._last and now_s - self._sent_s < QUIET_NEWS_S:
            return
        self._last = news
        self._sent_s = now_s
        for address in self._connected:
            self._links.send(address, news)

    def _connect(self) -> None:
        wanted = {f"tcp://{at}" for at in self._addresses().values()}
        for address in wanted - self._connected:
            self._links.connect(address)
        for address in self._connected - wanted:
            self._links.disconnect(address)
        self._connected = wanted

    def _receive(self, sender: EntryId, message: Message) -> None:
        if not isinstance(message, LoadNews):
            return
        now_s = self._clock.now()
        self._loads.heard(entry=sender, loads=message.loads, now_s=now_s)
        for instance in message.suspects:
            self._suspects.hinted(InstanceId(instance), now_s=now_s)
        if message.traffic:
            self._heard_traffic()
