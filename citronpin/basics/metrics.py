"""Metrics of one process in Prometheus' text form, with latencies by `hdrhistogram`."""

import logging
from collections.abc import Callable, Iterable

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, generate_latest
from prometheus_client.core import GaugeMetricFamily, SummaryMetricFamily
from prometheus_client.registry import Collector

logger = logging.getLogger(__name__)

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
QUANTILES = (0.5, 0.95, 0.99)
MAX_LABEL_SETS = 2_000

LATENCIES = {
    "first_token": "Seconds from the request to the first token.",
    "between_tokens": "Seconds between tokens.",
    "request": "Seconds from the request to the end of the answer.",
    "config_in_force": "Seconds from the append of a change to its being in force.",
}


class LatencyCollector(Collector):
    """Histograms by name and labels, shown as summaries."""

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str, str], HdrHistogram] = {}

    def record(self, name: str, customer: str, target: str, seconds: float) -> None:
        """Count one latency; a value beyond the range counts as its limit."""
        key = (name, customer, target)
        histogram = self._histograms.get(key)
        if histogram is None:
            if len(self._histograms) >= MAX_LABEL_SETS:
                key = (name, "", "")
            histogram = self._histograms.setdefault(
                key, HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            )
        value_us = min(max(int(seconds * US_PER_S), LOWEST_US), HIGHEST_US)
        histogram.record_value(value_us)

    def quantile_s(self, name: str, share: float) -> float:
        """Return a quantile in seconds over all labels, 0 when nothing was counted."""
        total = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        for key, histogram in self._histograms.items():
            if key[0] == name:
                total.add(histogram)
        return total.get_value_at_percentile(share * 100) / US_PER_S

    def collect(self) -> Iterable[SummaryMetricFamily]:
        for name, doc in LATENCIES.items():
            labels = ["customer", "target", "quantile"]
            family = GaugeMetricFamily(f"citronpin_{name}_seconds", doc, labels=labels)
            counts = SummaryMetricFamily(
                f"citronpin_{name}_latency", doc, labels=["customer", "target"]
            )
            for (kind, customer, target), histogram in self._histograms.items():
                if kind != name:
                    continue
                self._add(family, counts, customer, target, histogram)
            yield family
            yield counts

    def _add(self, family, counts, customer, target, histogram) -> None:
        for quantile in QUANTILES:
            value_us = histogram.get_value_at_percentile(quantile * 100)
            family.add_metric([customer, target, str(quantile)], value_us / US_PER_S)
        total_s = histogram.get_mean_value() * histogram.total_count / US_PER_S
        counts.add_metric([customer, target], histogram.total_count, total_s)


class GaugeCollector(Collector):
    """Gauges that are read when they are asked for."""

    def __init__(self) -> None:
        self._gauges: dict[str, tuple[str, Callable[[], float]]] = {}

    def add(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Register a gauge."""
        self._gauges[name] = (doc, read)

    def collect(self) -> Iterable[GaugeMetricFamily]:
        for name, (doc, read) in self._gauges.items():
            yield GaugeMetricFamily(f"citronpin_{name}", doc, value=read())


class Metrics:
    """Counters, gauges and latencies of one process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.latencies = LatencyCollector()
        self.gauges = GaugeCollector()
        self.registry.register(self.latencies)
        self.registry.register(self.gauges)
        self.requests = self._counter(
            "requests", "Requests by end.", ["customer", "target", "outcome", "kind"]
        )
        self.tokens = self._counter(
            "tokens", "Tokens passed to callers.", ["customer", "target"]
        )

    def _counter(self, name: str, doc: str, labels: list[str]) -> Counter:
        return Counter(f"citronpin_{name}", doc, labels, registry=self.registry)

    def text(self) -> bytes:
        """Return all metrics in Prometheus' text form."""
        return generate_latest(self.registry)
