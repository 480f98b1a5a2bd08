"""Learned answer lengths: kinds, cut-off answers and malformed headers."""

import pytest
from hypothesis import given, strategies as st

from citronpin.basics.ids import CustomerName
from citronpin.basics.metrics import Metrics
from citronpin.benches.crowds import ENGINE
from citronpin.gateway.request_costs import (
    MAX_KINDS,
    LengthHistogram,
    RequestCosts,
    bucket_mean,
    bucket_of,
)

FALLBACK_TOKENS = ENGINE.mean_answer_tokens


@pytest.fixture
def costs():
    return RequestCosts()


def estimate(costs, *, route="draft", customer="c", usage="700,4000", hint=""):
    return costs.estimate(
        route=route,
        customer=CustomerName(customer),
        token_usage=usage,
        length_hint=hint,
        engine=ENGINE,
    )


def learn(costs, tokens, *, count=40, is_complete=True, **fields):
    for _ in range(count):
        costs.record(estimate(costs, **fields), tokens=tokens, is_complete=is_complete)


def test_an_unknown_kind_has_the_mean_answer_of_the_engine(costs):
    cost = estimate(costs)
    assert (cost.prompt_tokens, cost.answer_tokens) == (700, FALLBACK_TOKENS)
    assert estimate(costs, usage="700,20").answer_tokens == 20


@pytest.mark.parametrize("usage", ["", ",", "a,b", "-5,-6", "9" * 5_000, "١٢,٣"])
def test_malformed_headers_count_as_unknown(costs, usage):
    cost = estimate(costs, usage=usage, hint="many")
    assert cost.prompt_tokens == round(ENGINE.mean_prompt_tokens)
    assert cost.answer_tokens == FALLBACK_TOKENS


def test_requests_that_look_alike_are_told_apart_by_customer_and_hint(costs):
    learn(costs, 30, customer="brief")
    learn(costs, 2_000, customer="long")
    learn(costs, 500, customer="long", hint="300")
    assert estimate(costs, customer="brief").answer_tokens < 60
    assert estimate(costs, customer="long").answer_tokens > 1_400
    hinted = estimate(costs, customer="long", hint="310").answer_tokens
    assert 350 < hinted < 750


def test_a_new_customer_leans_on_the_answers_of_its_route(costs):
    learn(costs, 900, customer="a")
    assert estimate(costs, customer="b").answer_tokens > 600
    assert estimate(costs, customer="b", route="other").answer_tokens < 200


def test_answers_that_were_cut_off_count_as_longer(costs):
    # Counted as complete, they would make long answers look short.
    for _ in range(20):
        learn(costs, 1_000, count=1)
        learn(costs, 100, count=1, is_complete=False)
    assert estimate(costs).answer_tokens > 800


def test_the_estimate_follows_a_change_of_the_answers(costs):
    learn(costs, 1_000, count=100)
    learn(costs, 50, count=150)
    assert estimate(costs).answer_tokens < 150


def test_the_remaining_answer_is_that_of_the_longer_answers(costs):
    for tokens in (50, 1_000) * 30:
        learn(costs, tokens, count=1)
    cost = estimate(costs)
    assert 350 < costs.remaining_tokens(cost, written=0) < 700
    assert 700 < costs.remaining_tokens(cost, written=200) < 1_000
    assert costs.remaining_tokens(cost, written=4_000) == 2_000


def test_the_number_of_kinds_is_bounded(costs):
    for number in range(MAX_KINDS):
        learn(costs, 10, count=1, customer=f"c{number}", route=f"r{number}")
    assert len(costs._histograms) <= MAX_KINDS


@given(st.lists(st.tuples(st.integers(1, 50_000), st.booleans()), max_size=60))
def test_a_histogram_keeps_its_weight_and_mean_in_range(samples):
    histogram = LengthHistogram()
    for tokens, is_complete in samples:
        histogram.add(tokens, is_complete=is_complete)
    assert 0.0 <= histogram.total <= 50.0 + 1e-6
    if samples:
        longest = max(tokens for tokens, _ in samples)
        assert 0 < histogram.mean() <= bucket_mean(bucket_of(1.5 * longest))


def test_ratios_of_estimates_are_exported_by_quantile():
    metrics = Metrics()
    for ratio in (0.5, 1.0, 1.0, 1.0, 400.0):
        metrics.ratios.record("answer_tokens", ratio)
    text = metrics.text().decode()
    line = 'citronpin_estimate_ratio{estimate="answer_tokens",quantile="0.5"} 1.0'
    assert line in text
