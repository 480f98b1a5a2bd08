"""Calls to plain services."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from citronpin.basics.clocks import Clock
from citronpin.basics.errors import CitronpinError
from citronpin.web.clients import Exchange, HttpClient, WholeSink

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
    """The whole answer of a service; header names are lower-case."""

    status: int
    headers: dict[str, str]
    body: bytes


ServiceCallback = Callable[[Result[ServiceResponse, CitronpinError]], None]


class ServiceCall(ABC):
    """A call under way."""

    @abstractmethod
    def cancel(self) -> None:
        """Give up; the effect is unknown and ``done`` is not called any more."""


class ServiceClient(ABC):
    """Makes calls to plain services, each of them once."""

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
        """Call ``target`` at ``IP:PORT``; ``done`` is called once, later.

        ``Ok`` holds the whole answer. ``Err`` with outcome *not run* proves that
        no byte of the request was sent; any other error leaves the effect open.
        """


class HttpServiceCall(ServiceCall):
    """A call over HTTP."""

    def __init__(self, *, client: HttpClient) -> None:
        self._client = client
        self.exchange: Exchange | None = None
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True
        if self.exchange is not None:
            self._client.cancel(self.exchange)


class HttpServiceClient(ServiceClient):
    """Calls services over the connections of an HTTP client."""

    def __init__(self, *, client: HttpClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock

    def call(
        self, *, address, method, target, headers, body, timeout_s, done
    ) -> HttpServiceCall:
        call = HttpServiceCall(client=self._client)

        def finish(response, error) -> None:
            # A write can fail while the call is being made.
            self._clock.call_later(
                0.0, lambda: _deliver_response(call, response, error, done)
            )

        call.exchange = self._client.request(
            address=address,
            method=method,
            target=target,
            headers=end_to_end_headers(headers),
            body=body,
            sink=WholeSink(done=finish, limit_bytes=MAX_RESPONSE_BYTES),
            timeout_s=timeout_s,
        )
        return call


def end_to_end_headers(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Return the headers that are not for one connection only."""
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
