"""Metrics of one process in the Prometheus text format, with HDR histograms.

The library that renders the page is imported with the first page: it takes a tenth of
the start of a process, and most processes start more often than they are looked at.
"""

import logging
from abc import ABC, abstractmethod
from bisect import bisect_left
from collections.abc import Callable, Iterable, Sequence
from itertools import accumulate
from typing import TYPE_CHECKING

import msgspec
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from prometheus_client.metrics_core import (
        GaugeMetricFamily,
        Metric,
        SummaryMetricFamily,
    )

logger = logging.getLogger(__name__)

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2  # a histogram takes 24 KB; with 3 digits, 172 KB
US_PER_S = 1_000_000
QUANTILES = (0.5, 0.95, 0.99)
MAX_LABEL_SETS = 200  # rendering one of them blocks the event loop for 0.1 ms

LATENCIES = {
    "first_token": "Seconds from the request to the first token.",
    "between_tokens": "Seconds between tokens.",
    "request": "Seconds from the request to the end of the answer.",
    "config_in_force": "Seconds from the append of a change to its being in force.",
}


def quantiles_us(histogram: HdrHistogram, quantiles: Sequence[float]) -> list[int]:
    """Return the values at quantiles (0 to 1) in µs, or zeros without data.

    The library walks all counts in Python for each of them, which takes milliseconds.
    """
    if not histogram.total_count:
        return [0] * len(quantiles)
    totals = list(accumulate(histogram.counts[:]))  # a slice converts them at once
    targets = [
        histogram.get_target_count_at_percentile(quantile * 100)
        for quantile in quantiles
    ]
    values = [
        histogram.get_value_from_index(bisect_left(totals, target))
        for target in targets
    ]
    return [
        histogram.get_highest_equivalent_value(value) if quantile else value
        for quantile, value in zip(quantiles, values)
    ]


class Latencies(msgspec.Struct):
    """The latencies of one label set; ``sum_us`` is exact."""

    histogram: HdrHistogram
    sum_us: int = 0

    def record(self, value_us: int) -> None:
        """Record one latency in µs."""
        self.histogram.record_value(value_us)
        self.sum_us += value_us


class Collector(ABC):
    """Keeps values of one kind until a page shows them."""

    @abstractmethod
    def collect(self) -> Iterable["Metric"]:
        """Yield the present values as families of the library."""


class LatencyCollector(Collector):
    """Latency histograms by name, customer and target, exported as quantiles and sums.

    Beyond ``MAX_LABEL_SETS`` histograms, latencies of new label sets are counted under
    empty labels.
    """

    def __init__(self) -> None:
        self._latencies: dict[tuple[str, str, str], Latencies] = {}

    def record(self, name: str, customer: str, target: str, seconds: float) -> None:
        """Record one latency in seconds, clamped to the range of the histogram."""
        key = (name, customer, target)
        latencies = self._latencies.get(key)
        if latencies is None:
            if len(self._latencies) >= MAX_LABEL_SETS:
                key = (name, "", "")
            latencies = self._latencies.setdefault(key, Latencies(_new_histogram()))
        value_us = min(max(int(seconds * US_PER_S), LOWEST_US), HIGHEST_US)
        latencies.record(value_us)

    def collect(self) -> Iterable["Metric"]:
        from prometheus_client.metrics_core import (
            GaugeMetricFamily,
            SummaryMetricFamily,
        )

        for name, doc in LATENCIES.items():
            labels = ["customer", "target", "quantile"]
            quantiles = GaugeMetricFamily(
                f"citronpin_{name}_seconds", doc, labels=labels
            )
            summary = SummaryMetricFamily(
                f"citronpin_{name}_latency", doc, labels=["customer", "target"]
            )
            for (latency, customer, target), latencies in self._latencies.items():
                if latency == name:
                    _add_latencies(quantiles, summary, [customer, target], latencies)
            yield quantiles
            yield summary


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def _add_latencies(
    quantiles: "GaugeMetricFamily",
    summary: "SummaryMetricFamily",
    labels: list[str],
    latencies: Latencies,
) -> None:
    values_us = quantiles_us(latencies.histogram, QUANTILES)
    for quantile, value_us in zip(QUANTILES, values_us):
        quantiles.add_metric([*labels, str(quantile)], value_us / US_PER_S)
    count = latencies.histogram.total_count
    summary.add_metric(labels, count, latencies.sum_us / US_PER_S)


class GaugeCollector(Collector):
    """Gauges whose values are read by callbacks at each collection."""

    def __init__(self) -> None:
        self._gauges: dict[str, tuple[str, Callable[[], float]]] = {}

    def add(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Register a gauge; ``read`` returns its current value."""
        self._gauges[name] = (doc, read)

    def collect(self) -> Iterable["Metric"]:
        from prometheus_client.metrics_core import GaugeMetricFamily

        for name, (doc, read) in self._gauges.items():
            yield GaugeMetricFamily(f"citronpin_{name}", doc, value=read())


class LimitedCounter(Collector):
    """Counts by label set, beyond ``MAX_LABEL_SETS`` of them under empty labels."""

    def __init__(self, *, name: str, doc: str, labels: Sequence[str]) -> None:
        self._name = name
        self._doc = doc
        self._labels = labels
        self._amounts: dict[tuple[str, ...], int] = {}

    def count(self, labels: tuple[str, ...], amount: int = 1) -> None:
        """Add an amount to the counter of a label set."""
        if labels not in self._amounts and len(self._amounts) >= MAX_LABEL_SETS:
            labels = ("",) * len(labels)
        self._amounts[labels] = self._amounts.get(labels, 0) + amount

    def collect(self) -> Iterable["Metric"]:
        from prometheus_client.metrics_core import CounterMetricFamily

        family = CounterMetricFamily(
            f"citronpin_{self._name}", self._doc, labels=self._labels
        )
        for labels, amount in self._amounts.items():
            family.add_metric(labels, amount)
        yield family


class RatioCollector(Collector):
    """Measured values as multiples of the expected ones, exported as quantiles."""

    LOWEST, HIGHEST, UNIT = 1, 100_000, 1_000  # thousandths, from 0.001 to 100
    QUANTILES = (0.05, 0.5, 0.95)

    def __init__(self) -> None:
        self._histograms: dict[str, HdrHistogram] = {}

    def record(self, estimate: str, ratio: float) -> None:
        """Record a measured value, divided by the expected one."""
        histogram = self._histograms.get(estimate)
        if histogram is None:
            histogram = self._histograms[estimate] = HdrHistogram(
                self.LOWEST, self.HIGHEST, SIGNIFICANT_DIGITS
            )
        value = min(max(ratio, 0.0) * self.UNIT, self.HIGHEST)
        histogram.record_value(max(int(value), self.LOWEST))

    def collect(self) -> Iterable["Metric"]:
        from prometheus_client.metrics_core import GaugeMetricFamily

        family = GaugeMetricFamily(
            "citronpin_estimate_ratio",
            "Measured values as multiples of the expected ones.",
            labels=["estimate", "quantile"],
        )
        for estimate, histogram in self._histograms.items():
            values = quantiles_us(histogram, self.QUANTILES)
            for quantile, value in zip(self.QUANTILES, values):
                family.add_metric([estimate, str(quantile)], value / self.UNIT)
        yield family


class ReadCounter(Collector):
    """A counter by label set whose values are read by a callback."""

    def __init__(
        self,
        *,
        name: str,
        doc: str,
        labels: Sequence[str],
        read: Callable[[], Iterable[tuple[Sequence[str], int]]],
    ) -> None:
        self._name = name
        self._doc = doc
        self._labels = labels
        self._read = read

    def collect(self) -> Iterable["Metric"]:
        from prometheus_client.metrics_core import CounterMetricFamily

        family = CounterMetricFamily(
            f"citronpin_{self._name}", self._doc, labels=self._labels
        )
        for labels, amount in self._read():
            family.add_metric(labels, amount)
        yield family


class Metrics:
    """Counters, gauges and latencies of one process."""

    def __init__(self) -> None:
        self.latencies = LatencyCollector()
        self.gauges = GaugeCollector()
        self.ratios = RatioCollector()
        self._requests = LimitedCounter(
            name="requests",
            doc="Requests by end.",
            labels=["customer", "target", "outcome", "kind"],
        )
        self._tokens = LimitedCounter(
            name="tokens",
            doc="Tokens passed to callers.",
            labels=["customer", "target"],
        )
        self._forwards = LimitedCounter(
            name="forwards",
            doc="Attempts through other entries, by the first of what came of them.",
            labels=["target", "result"],
        )
        self._added: list[Collector] = []

    def add(self, collector: Collector) -> None:
        """Show the values of one more collector."""
        self._added.append(collector)

    def count_request(
        self, customer: str, target: str, outcome: str, kind: str
    ) -> None:
        """Count a request that has ended."""
        self._requests.count((customer, target, outcome, kind))

    def count_tokens(self, customer: str, target: str, tokens: int) -> None:
        """Count tokens that were passed to a caller."""
        self._tokens.count((customer, target), tokens)

    def count_forward(self, target: str, result: str) -> None:
        """Count an attempt through another entry, by what came of it first."""
        self._forwards.count((target, result))

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        for collector in (
            self.latencies,
            self.gauges,
            self.ratios,
            self._requests,
            self._tokens,
            self._forwards,
            *self._added,
        ):
            registry.register(collector)
        return generate_latest(registry)
