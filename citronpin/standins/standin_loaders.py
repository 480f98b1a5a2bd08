"""Loaders of models and adapters for the engine stand-in."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable

from citronpin.basics.clocks import Clock
from citronpin.standins.standin_weights import ADAPTERS_PATH, WEIGHTS_PATH
from citronpin.web.clients import BufferedSink, HttpClient

logger = logging.getLogger(__name__)

RETRY_S = 1.0


class Loader(ABC):
    """Loads models and adapters; ``done`` is called once, when the load is complete."""

    @abstractmethod
    def load_model(self, model: str, version: str, done: Callable[[], None]) -> None:
        """Start loading a version of a model."""

    @abstractmethod
    def load_adapter(
        self, adapter: str, version: str, done: Callable[[], None]
    ) -> None:
        """Start loading a version of an adapter."""


class TimedLoader(Loader):
    """Takes ``load_s`` seconds to load a model, a tenth of that for an adapter."""

    def __init__(self, *, clock: Clock, load_s: float) -> None:
        self._clock = clock
        self._load_s = load_s

    def load_model(self, model, version, done) -> None:
        self._clock.call_later(self._load_s, done)

    def load_adapter(self, adapter, version, done) -> None:
        self._clock.call_later(self._load_s / 10, done)


class WeightLoader(Loader):
    """Downloads from the weight store at ``address``, with retries until it succeeds.

    ``address`` is ``IP:PORT``.
    """

    def __init__(self, *, client: HttpClient, address: str, clock: Clock) -> None:
        self._client = client
        self._address = address
        self._clock = clock

    def load_model(self, model, version, done) -> None:
        self._download(f"{WEIGHTS_PATH}/{model}/{version}", done)

    def load_adapter(self, adapter, version, done) -> None:
        self._download(f"{ADAPTERS_PATH}/{adapter}/{version}", done)

    def _download(self, target: str, done: Callable[[], None]) -> None:
        def on_answer(answer, error) -> None:
            if error is None and answer[0] == 200:
                done()
                return
            logger.info("download of %s failed, will be retried", target)
            self._clock.call_later(RETRY_S, lambda: self._download(target, done))

        self._client.request(
            address=self._address,
            method="GET",
            target=target,
            sink=BufferedSink(done=on_answer),
            timeout_s=None,
        )
