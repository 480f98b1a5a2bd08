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
        self.is_reused = False
        self.has_extra = False
        self.on_cancel = None  # called when the client closes the connection
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
        if self.client.is_held(self.address):
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
        self.paused = {}  # exchange -> clock time in s until which it is not read
        self.mute = set()  # addresses at which connections are accepted, but silent
        self.closing = set()  # addresses that accept connections and close them unread
        self.idle_s = defaultdict(list)  # clock times since which connections idle
        self.sent = []
        self.connection_listeners = []

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
        max_timeout_s=None,
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
        is_reused = self._take_idle(exchange) and address not in self.closing
        exchange.is_reused = is_reused
        if address in self.mute or (address in self.hanging and is_reused):
            if not is_reused:
                self._report(address, True)
            exchange.connected = True
            exchange.held.append(lambda: self.handlers[address](exchange))
            return
        if address in self.closing:
            self._report(address, True)
            exchange.connected = True
            exchange.fail(ConnectionLost("closed unread"))
            return
        if self._is_silent(address):
            self.clock.call_later(connect_timeout_s, lambda: self._time_out(exchange))
            return
        if self._is_refused(address) and not (is_reused and address in self.full):
            self._report(address, False)
            exchange.fail(ConnectionFailed("refused"))
            return
        if not is_reused:
            self._report(address, True)
        exchange.connected = True
        self.handlers[address](exchange)

    def is_held(self, address):
        """Return whether nothing arrives from an address on open connections."""
        return address in self.hanging or address in self.mute

    def _is_silent(self, address):
        return address in self.silent or address in self.hanging

    def _is_refused(self, address):
        is_down = address not in self.handlers or address in self.unreachable
        return is_down or address in self.full

    def _time_out(self, exchange):
        if not exchange.ended:
            self._report(exchange.address, False)
            exchange.fail(ConnectionFailed("no connection in time"))

    def connect(self, address, *, timeout_s):
        self.clock.call_later(LATENCY_S, lambda: self._connect(address, timeout_s))

    def _connect(self, address, timeout_s):
        if self._is_silent(address):
            self.clock.call_later(timeout_s, lambda: self._report(address, False))
        elif self._is_refused(address):
            self._report(address, False)
        else:
            self.idle_s[address].append(self.clock.now())
            self._report(address, True)

    def is_unsent(self, exchange):
        return not exchange.connected

    def _report(self, address, connected):
        for listener in self.connection_listeners:
            listener(address, connected)

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
            if exchange.on_cancel is not None and not self.is_held(exchange.address):
                exchange.on_cancel()

    def pause_reading(self, exchange, for_s):
        """Record the pause; handlers of this client do not wait for a reader."""
        self.paused[exchange] = self.clock.now() + for_s

    def resume_reading(self, exchange):
        self.paused.pop(exchange, None)

    def is_paused(self, exchange):
        end_s = self.paused.get(exchange, 0.0)
        return not exchange.ended and self.clock.now() < end_s

    def close_all(self):
        """Do nothing, since no connection is kept open."""
