"""Clients that make calls to plain services."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from citronpin.basics.clocks import Clock
from citronpin.basics.errors import CitronpinError
from citronpin.web.clients import BufferedSink, Exchange, HttpClient

logger = logging.getLogger(__name__)

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class ServiceResponse(msgspec.Struct, frozen=True):
    """The complete response of a service; header names are lower-case."""

    status: int
    headers: dict[str, str]
    body: bytes


ServiceCallback = Callable[[Result[ServiceResponse, CitronpinError]], None]


class ServiceCall(ABC):
    """A call in progress."""

    @abstractmethod
    def cancel(self) -> None:
        """Abandon the call, whose effect is then unknown; ``done`` is not called."""


class ServiceClient(ABC):
    """Makes calls to plain services and never repeats one."""

    @abstractmethod
    def call(
        self,
        *,
        address: str,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        timeout_s: float,
        done: ServiceCallback,
    ) -> ServiceCall:
        """Send a request for ``target`` to ``address``, an ``IP:PORT``.

        ``done`` is called once, after this method has returned, with the complete
        response or an error. Only an error whose outcome is *not run* proves that no
        byte of the request was sent; after any other error the effect is unknown.
        """


class HttpServiceCall(ServiceCall):
    """A call made over HTTP."""

    def __init__(self, *, client: HttpClient) -> None:
        self._client = client
        self.exchange: Exchange | None = None
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True
        if self.exchange is not None:
            self._client.cancel(self.exchange)


class HttpServiceClient(ServiceClient):
    """Makes calls to services over HTTP."""

    def __init__(self, *, client: HttpClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock

    def call(
        self, *, address, method, target, headers, body, timeout_s, done
    ) -> HttpServiceCall:
        call = HttpServiceCall(client=self._client)

        def finish(response, error) -> None:
            # A write can fail within `HttpClient.request`, before `call` has returned.
            self._clock.call_later(
                0.0, lambda: _deliver_response(call, response, error, done)
            )

        call.exchange = self._client.request(
            address=address,
            method=method,
            target=target,
            headers=end_to_end_headers(headers),
            body=body,
            sink=BufferedSink(done=finish, limit_bytes=MAX_RESPONSE_BYTES),
            timeout_s=timeout_s,
        )
        return call


def end_to_end_headers(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Return the headers without the hop-by-hop ones.

    Those are the headers in `HOP_BY_HOP_HEADERS` and any that ``Connection`` lists.
    """
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in connection_options
    )


def _deliver_response(
    call: HttpServiceCall, response, error, done: ServiceCallback
) -> None:
    if call.cancelled:
        return
    if error is not None:
        done(Err(error))
        return
    status, headers, body = response
    kept = dict(end_to_end_headers(tuple(headers.items())))
    done(Ok(ServiceResponse(status=status, headers=kept, body=body)))
