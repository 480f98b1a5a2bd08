"""Metrics of one process in the Prometheus text format, with HDR histograms."""

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
    """Latency histograms by name, customer and target, exported as quantiles and sums.

    Beyond ``MAX_LABEL_SETS`` histograms, latencies of new label sets are counted under
    empty labels.
    """

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str, str], HdrHistogram] = {}

    def record(self, name: str, customer: str, target: str, seconds: float) -> None:
        """Record one latency in seconds, clamped to the range of the histogram."""
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

    def quantile_s(self, name: str, quantile: float) -> float:
        """Return a quantile (0 to 1) over all labels in seconds, or 0 without data."""
        total = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        for key, histogram in self._histograms.items():
            if key[0] == name:
                total.add(histogram)
        return total.get_value_at_percentile(quantile * 100) / US_PER_S

    def collect(self) -> Iterable[SummaryMetricFamily]:
        for name, doc in LATENCIES.items():
            labels = ["customer", "target", "quantile"]
            quantiles = GaugeMetricFamily(
                f"citronpin_{name}_seconds", doc, labels=labels
            )
            summary = SummaryMetricFamily(
                f"citronpin_{name}_latency", doc, labels=["customer", "target"]
            )
            for (latency, customer, target), histogram in self._histograms.items():
                if latency != name:
                    continue
                self._add_histogram(quantiles, summary, customer, target, histogram)
            yield quantiles
            yield summary

    def _add_histogram(self, quantiles, summary, customer, target, histogram) -> None:
        for quantile in QUANTILES:
            value_us = histogram.get_value_at_percentile(quantile * 100)
            quantiles.add_metric([customer, target, str(quantile)], value_us / US_PER_S)
        total_s = histogram.get_mean_value() * histogram.total_count / US_PER_S
        summary.add_metric([customer, target], histogram.total_count, total_s)


class GaugeCollector(Collector):
    """Gauges whose values are read by callbacks at each collection."""

    def __init__(self) -> None:
        self._gauges: dict[str, tuple[str, Callable[[], float]]] = {}

    def add(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Register a gauge; ``read`` returns its current value."""
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
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
