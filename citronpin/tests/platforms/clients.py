"""In-memory HTTP client that passes requests to the handler of their address."""

from collections import defaultdict

from citronpin.basics.errors import ConnectionFailed, ConnectionLost, TimedOut

LATENCY_S = 0.002


class MemoryExchange:
    """A request; its handler answers through ``head``, ``data`` and ``end``."""

    def __init__(self, *, client, fields):
        self.__dict__.update(fields)
        self.client = client
        self.ended = False
        self.cancelled = False
        self.timer = None
        self.connected = False
        self.held = []  # calls that wait until the link to the address is back

    def head(self, status, headers=None):
        self._pass_on(lambda: self.sink.head(status, headers or {}))

    def data(self, data):
        self._pass_on(lambda: self.sink.data(data))

    def end(self):
        self._pass_on(self._end)

    def _end(self):
        self.finish()
        self.client.idle_s[self.address].append(self.client.clock.now())
        self.sink.end()

    def _pass_on(self, call):
        if self.address in self.client.hanging:
            self.held.append(call)
        elif not self.ended:
            call()

    def release(self):
        """Pass on what was held while the link hung."""
        held, self.held = self.held, []
        for call in held:
            self._pass_on(call)

    def answer(self, status, body=b"", headers=None):
        self.head(status, headers)
        if body:
            self.data(body)
        self.end()

    def lose(self, detail="reset"):
        self._pass_on(lambda: self.fail(ConnectionLost(detail)))

    def fail(self, error):
        if not self.ended:
            self.finish()
            self.sink.failed(error)

    def finish(self):
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()


class MemoryClient:
    """Replaces `citronpin.web.clients.HttpClient` in tests, on the paused clock."""

    def __init__(self, *, clock):
        self.clock = clock
        self.handlers = {}  # address -> callable(exchange)
        self.unreachable = set()  # addresses that refuse connections
        self.silent = set()  # addresses at which connections time out
        self.hanging = set()  # addresses of which neither old nor new connections pass
        self.full = set()  # addresses that refuse only new connections
        self.idle_s = defaultdict(list)  # clock times since which connections idle
        self.sent = []

    def request(
        self,
        *,
        address,
        method,
        target,
        sink,
        headers=(),
        body=b"",
        timeout_s=10.0,
        connect_timeout_s=2.0,
        max_idle_s=30.0,
        host=None,
    ):
        exchange = MemoryExchange(
            client=self,
            fields={
                "address": address,
                "method": method,
                "target": target,
                "sink": sink,
                "headers": {name.lower(): value for name, value in headers},
                "body": body,
                "host": host or address,
                "max_idle_s": max_idle_s,
            },
        )
        self.sent.append(exchange)
        if timeout_s is not None:
            exchange.timer = self.clock.call_later(
                timeout_s, lambda: exchange.fail(TimedOut("no answer in time"))
            )
        self.clock.call_later(
            LATENCY_S, lambda: self._deliver(exchange, connect_timeout_s)
        )
        return exchange

    def _deliver(self, exchange, connect_timeout_s):
        if exchange.ended:
            return
        address = exchange.address
        is_reused = self._take_idle(exchange)
        if address in self.hanging and is_reused:
            exchange.connected = True
            exchange.held.append(lambda: self.handlers[address](exchange))
            return
        if address in self.silent or address in self.hanging:
            self.clock.call_later(
                connect_timeout_s,
                lambda: exchange.fail(ConnectionFailed("no connection in time")),
            )
            return
        handler = self.handlers.get(address)
        is_refused = address in self.full and not is_reused
        if handler is None or address in self.unreachable or is_refused:
            exchange.fail(ConnectionFailed("refused"))
            return
        exchange.connected = True
        handler(exchange)

    def _take_idle(self, exchange):
        """Return whether the request reuses an idle connection."""
        idle_s = self.idle_s[exchange.address]
        oldest_s = self.clock.now() - exchange.max_idle_s
        if not idle_s or idle_s[-1] <= oldest_s:
            return False
        idle_s.pop()
        return True

    def cancel(self, exchange):
        if not exchange.ended:
            exchange.finish()
            exchange.cancelled = True

    def close_all(self):
        """Do nothing, since no connection is kept open."""
