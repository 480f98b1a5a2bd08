"""Blocking fetches for commands: an event loop that runs until all are answered."""

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


class Fetched(msgspec.Struct, frozen=True):
    """The answer to a fetch, or the error in its place."""

    fetch: Fetch
    status: int = 0
    body: bytes = b""
    error: CitronpinError | None = None

    def json(self):
        """Return the decoded body; raises `CitronpinError` if there is none."""
        if self.error is not None:
            raise self.error
        if self.status != 200:
            detail = f"{self.fetch.address}{self.fetch.target}: status {self.status}."
            raise ProtocolFault(detail, remedy=self.body.decode(errors="replace"))
        return msgspec.json.decode(self.body)


class FetchTask(Component):
    """Sends fetches together and stops the loop when all have ended."""

    def __init__(self, *, fetches: list[Fetch], clock: Clock) -> None:
        super().__init__()
        self.answers: dict[int, Fetched] = {}
        self._fetches = fetches
        ClockTask(clock=clock).register(self)
        self._client = HttpClient(clock=clock).register(self)
        clock.call_later(0.0, self._send)

    def _send(self) -> None:
        for number, fetch in enumerate(self._fetches):
            sink = BufferedSink(
                done=lambda answer, error, n=number: self._take(n, answer, error)
            )
            self._client.request(
                address=fetch.address,
                method=fetch.method,
                target=fetch.target,
                body=fetch.body,
                sink=sink,
                timeout_s=FETCH_TIMEOUT_S,
            )

    def _take(self, number: int, answer, error: CitronpinError | None) -> None:
        fetch = self._fetches[number]
        if error is not None:
            self.answers[number] = Fetched(fetch=fetch, error=error)
        else:
            status, _, body = answer
            self.answers[number] = Fetched(fetch=fetch, status=status, body=body)
        if len(self.answers) == len(self._fetches):
            self._client.close_all()
            self.stop()


def fetch_all(fetches: list[Fetch]) -> list[Fetched]:
    """Send requests together and return the answers in the same order."""
    if not fetches:
        return []
    clock = SystemClock()
    task = FetchTask(fetches=fetches, clock=clock)
    run_to_end(task, clock)
    return [task.answers[number] for number in range(len(fetches))]
