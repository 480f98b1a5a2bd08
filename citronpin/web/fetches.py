"""Blocking HTTP requests for commands, sent from an event loop of their own."""

import msgspec
from circuits import Component

from citronpin.basics.clocks import Clock, ClockTask, SystemClock
from citronpin.basics.errors import CitronpinError, ProtocolFault
from citronpin.basics.runners import run_to_end
from citronpin.web.clients import BufferedSink, HttpClient

FETCH_TIMEOUT_S = 5.0


class Fetch(msgspec.Struct, frozen=True):
    """One request of a command."""

    address: str  # IP:PORT
    target: str
    method: str = "GET"
    body: bytes = b""


class FetchResult(msgspec.Struct, frozen=True):
    """The response to a fetch, or the error that came in its place."""

    fetch: Fetch
    status: int = 0
    body: bytes = b""
    error: CitronpinError | None = None

    def json(self):
        """Return the decoded JSON body.

        Raises the error of the fetch, `ProtocolFault` for a status other than 200 and
        `msgspec.DecodeError` for a malformed body.
        """
        if self.error is not None:
            raise self.error
        if self.status != 200:
            detail = f"{self.fetch.address}{self.fetch.target}: status {self.status}."
            raise ProtocolFault(detail, remedy=self.body.decode(errors="replace"))
        return msgspec.json.decode(self.body)


class FetchTask(Component):
    """Sends all fetches at once and stops the loop when all have ended."""

    def __init__(self, *, fetches: list[Fetch], clock: Clock) -> None:
        super().__init__()
        self.results: dict[int, FetchResult] = {}
        self._fetches = fetches
        ClockTask(clock=clock).register(self)
        self._client = HttpClient(clock=clock).register(self)
        clock.call_later(0.0, self._send)

    def _send(self) -> None:
        for number, fetch in enumerate(self._fetches):
            sink = BufferedSink(
                done=lambda response, error, n=number: self._store(n, response, error)
            )
            self._client.request(
                address=fetch.address,
                method=fetch.method,
                target=fetch.target,
                body=fetch.body,
                sink=sink,
                timeout_s=FETCH_TIMEOUT_S,
            )

    def _store(self, number: int, response, error: CitronpinError | None) -> None:
        fetch = self._fetches[number]
        if error is not None:
            self.results[number] = FetchResult(fetch=fetch, error=error)
        else:
            status, _, body = response
            self.results[number] = FetchResult(fetch=fetch, status=status, body=body)
        if len(self.results) == len(self._fetches):
            self._client.close_all()
            self.stop()


def fetch_all(fetches: list[Fetch]) -> list[FetchResult]:
    """Send all requests at once and return their results in the given order."""
    if not fetches:
        return []
    clock = SystemClock()
    task = FetchTask(fetches=fetches, clock=clock)
    run_to_end(task, clock)
    return [task.results[number] for number in range(len(fetches))]
