"""Tests of the metrics page, which is rendered in the event loop of an entry."""

import re
import sys

import pytest
from hdrh.histogram import HdrHistogram
from hypothesis import given, settings, strategies as st

from citronpin.basics.metrics import MAX_LABEL_SETS, Metrics, quantiles_us

QUANTILES = (0.0, 0.5, 0.95, 0.99, 1.0)
# A call takes less than a microsecond. Callers notice a pause of 50 ms.
MAX_CALLS_PER_PAGE = 50_000
SAMPLE = re.compile(r"^citronpin_request_latency_(count|sum)\S* (\S+)$", re.MULTILINE)


@pytest.fixture
def metrics():
    return Metrics()


def count_calls(function):
    """Return how many Python and C functions are called by ``function()``."""
    count = 0

    def profile(frame, event, arg):
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(profile)
    try:
        function()
    finally:
        sys.setprofile(None)
    return count


def test_scrape_of_the_metrics_does_not_block_the_entry(metrics):
    for route in range(20):
        for seconds in (0.3, 2.0, 8.0):
            metrics.latencies.record("request", "", f"route-{route}", seconds)
            metrics.latencies.record("first_token", "", f"route-{route}", seconds)
        metrics.count_request("odori", f"route-{route}", "delivered", "stream")
    assert count_calls(metrics.text) < MAX_CALLS_PER_PAGE


def test_label_sets_beyond_the_limit_are_counted_under_empty_labels(metrics):
    for route in range(3 * MAX_LABEL_SETS):
        metrics.latencies.record("request", "", f"route-{route}", 0.5)
        metrics.count_request("odori", f"route-{route}", "delivered", "stream")
        metrics.count_tokens("odori", f"route-{route}", 2)
    page = metrics.text().decode()
    for name in ("request_latency_count", "requests_total", "tokens_total"):
        samples = re.findall(rf"^citronpin_{name}.* (\S+)$", page, re.MULTILINE)
        assert len(samples) <= MAX_LABEL_SETS + 1
        unit = 2 if name == "tokens_total" else 1
        assert sum(map(float, samples)) == 3 * MAX_LABEL_SETS * unit


def test_page_has_the_count_and_the_sum_of_each_latency(metrics):
    for seconds in (0.5, 1.0, 1.5):
        metrics.latencies.record("request", "", "draft", seconds)
    assert dict(SAMPLE.findall(metrics.text().decode())) == {
        "count": "3.0",
        "sum": "3.0",
    }


@settings(max_examples=50, derandomize=True, database=None)
@given(st.lists(st.integers(1, 600_000_000), max_size=60))
def test_quantiles_equal_those_of_the_library(values_us):
    histogram = HdrHistogram(1, 600_000_000, 2)
    for value_us in values_us:
        histogram.record_value(value_us)
    assert quantiles_us(histogram, QUANTILES) == [
        histogram.get_value_at_percentile(quantile * 100) for quantile in QUANTILES
    ]
