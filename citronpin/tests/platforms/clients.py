"""In-memory HTTP client that passes requests to the handler of their address."""

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

    def head(self, status, headers=None):
        if not self.ended:
            self.sink.head(status, headers or {})

    def data(self, data):
        if not self.ended:
            self.sink.data(data)

    def end(self):
        if not self.ended:
            self.finish()
            self.sink.end()

    def answer(self, status, body=b"", headers=None):
        self.head(status, headers)
        if body:
            self.data(body)
        self.end()

    def lose(self, detail="reset"):
        self.fail(ConnectionLost(detail))

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
        if exchange.address in self.silent:
            self.clock.call_later(
                connect_timeout_s,
                lambda: exchange.fail(ConnectionFailed("no connection in time")),
            )
            return
        handler = self.handlers.get(exchange.address)
        if handler is None or exchange.address in self.unreachable:
            exchange.fail(ConnectionFailed("refused"))
            return
        handler(exchange)

    def cancel(self, exchange):
        if not exchange.ended:
            exchange.finish()
            exchange.cancelled = True

    def close_all(self):
        """Do nothing, since no connection is kept open."""
