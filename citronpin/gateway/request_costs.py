"""Estimates the work of a request from its headers and from completed answers."""

import logging
import math
from operator import mul

import msgspec

from citronpin.basics.ids import CustomerName
from citronpin.gateway.routings import EngineSpec

logger = logging.getLogger(__name__)

BUCKETS_PER_DOUBLING = 4  # a bucket is 9 % off at most
BUCKET_COUNT = 64  # the last one begins at 2 ** 15.75 tokens
DECAY_PER_SAMPLE = 0.98  # about the last 50 answers of a kind count
PRIOR_SAMPLES = 4.0  # weight of the less specific kind against samples of a kind
MAX_KINDS = 1_024
# Below it, a cut-off answer says too little to be spread over longer ones.
MIN_WEIGHT_BEYOND = 0.5


class RequestCost(msgspec.Struct, frozen=True, kw_only=True):
    """The expected work of one request, in tokens."""

    prompt_tokens: int
    answer_tokens: float  # expected length of the answer
    mean_tokens: float = 1.0  # mean answer of the engine
    tokens_per_event: int = 1  # an engine writes one event per pass
    kinds: tuple["Kind", ...] = ()  # that it was learned from, the most specific first


# Route, customer, bucket of the maximum and of the hint; less specific kinds hold the
# empty string or -1 in place of what they disregard.
Kind = tuple[str, CustomerName | str, int, int]


def bucket_of(tokens: float) -> int:
    """Return the bucket of an answer length; each spans a quarter of a doubling."""
    bucket = int(math.log2(max(tokens, 1.0)) * BUCKETS_PER_DOUBLING)
    return min(bucket, BUCKET_COUNT - 1)


def bucket_mean(bucket: int) -> float:
    """Return the answer length in tokens that stands for a bucket."""
    return 2.0 ** ((bucket + 0.5) / BUCKETS_PER_DOUBLING)


BUCKET_MEANS = tuple(map(bucket_mean, range(BUCKET_COUNT)))


class LengthHistogram:
    """Decayed counts of answer lengths by bucket; cut-off answers count as longer.

    A cut-off answer is a censored sample: its weight is spread over the buckets from
    its length on, in proportion to what they hold.
    """

    def __init__(self) -> None:
        self._weights = [0.0] * BUCKET_COUNT
        self.total = 0.0

    def add(self, tokens: float, *, is_complete: bool) -> None:
        """Add the length of an answer, or of the part of one that was cut off."""
        self._weights = [weight * DECAY_PER_SAMPLE for weight in self._weights]
        bucket = bucket_of(tokens)
        beyond = self._weights[bucket:]
        total_beyond = sum(beyond)
        if is_complete:
            self._weights[bucket] += 1.0
        elif total_beyond >= MIN_WEIGHT_BEYOND:
            factor = 1.0 + 1.0 / total_beyond
            self._weights[bucket:] = [weight * factor for weight in beyond]
        else:
            # No complete answer was as long: it is taken for half as long again.
            self._weights[bucket_of(1.5 * tokens)] += 1.0
        self.total = sum(self._weights)

    def mean(self, *, beyond_tokens: float = 0.0) -> float | None:
        """Return the mean length of the answers with more than ``beyond_tokens``.

        ``None`` means that no such answer was seen.
        """
        if beyond_tokens <= 0.0:
            # Each placement by tokens asks for it.
            total = sum(map(mul, self._weights, BUCKET_MEANS))
            return total / self.total if self.total > 1e-6 else None
        first = bucket_of(beyond_tokens) if beyond_tokens >= 1.0 else 0
        weight = total = 0.0
        for bucket in range(first, BUCKET_COUNT):
            length = BUCKET_MEANS[bucket]
            if length > beyond_tokens:
                weight += self._weights[bucket]
                total += self._weights[bucket] * length
        return total / weight if weight > 1e-6 else None


class RequestCosts:
    """Learns answer lengths by route, customer, maximum and hint.

    It handles requests that look alike and differ in work by a factor of ten and more.
    Kinds with few answers lean on less specific ones, and those on the mean answer of
    the engine. Hints of callers are off in size but right at the median, so they only
    select a histogram.
    """

    def __init__(self) -> None:
        self._histograms: dict[Kind, LengthHistogram] = {}

    def estimate(
        self,
        *,
        route: str,
        customer: CustomerName | None,
        token_usage: str,
        length_hint: str,
        engine: EngineSpec,
    ) -> RequestCost:
        """Return the expected cost of a request.

        ``token_usage`` is ``P,M`` with the prompt tokens and the maximum of answer
        tokens, ``length_hint`` the caller's estimate; a header that is missing or has
        another form counts as unknown.
        """
        prompt, _, maximum = token_usage.partition(",")
        prompt_tokens = _positive(prompt) or round(engine.mean_prompt_tokens)
        max_tokens, hint = _positive(maximum), _positive(length_hint)
        kinds = _kinds(route, customer, max_tokens, hint)
        tokens = self._expected_tokens(kinds, engine.mean_answer_tokens)
        if max_tokens:
            tokens = min(tokens, float(max_tokens))
        return RequestCost(
            prompt_tokens=prompt_tokens,
            answer_tokens=max(tokens, 1.0),
            mean_tokens=max(engine.mean_answer_tokens, 1.0),
            tokens_per_event=max(engine.stride, 1),
            kinds=kinds,
        )

    def _expected_tokens(self, kinds: tuple[Kind, ...], default: float) -> float:
        expected = max(default, 1.0)
        for kind in reversed(kinds):
            histogram = self._histograms.get(kind)
            mean = None if histogram is None else histogram.mean()
            if mean is not None:
                weight = histogram.total / (histogram.total + PRIOR_SAMPLES)
                # Lengths differ by factors, so their logarithms are averaged.
                expected *= (mean / expected) ** weight
        return expected

    def remaining_tokens(self, cost: RequestCost, *, written: int) -> float:
        """Return how many tokens an answer still has after those written.

        A longer answer than any of its kind is expected to go on for half as long as
        it is.
        """
        for kind in cost.kinds:
            histogram = self._histograms.get(kind)
            if histogram is not None and histogram.total >= PRIOR_SAMPLES:
                mean = histogram.mean(beyond_tokens=float(written))
                return written / 2 if mean is None else mean - written
        return max(cost.answer_tokens - written, written / 2)

    def record(self, cost: RequestCost, *, tokens: int, is_complete: bool) -> None:
        """Learn from an answer of ``tokens`` tokens, all of it or the part written."""
        if tokens <= 0:
            return
        for kind in cost.kinds:
            histogram = self._histograms.pop(kind, None) or LengthHistogram()
            histogram.add(tokens, is_complete=is_complete)
            self._histograms[kind] = histogram
        while len(self._histograms) > MAX_KINDS:
            del self._histograms[next(iter(self._histograms))]


def _kinds(
    route: str, customer: CustomerName | None, max_tokens: int, hint: int
) -> tuple[Kind, ...]:
    maximum = bucket_of(max_tokens) if max_tokens else -1
    hinted = bucket_of(hint) if hint else -1
    return (
        (route, customer or "", maximum, hinted),
        (route, "", maximum, hinted),
        (route, "", -1, -1),
    )


def _positive(text: str) -> int:
    text = text.strip()
    # A number of more digits is no token count and would be slow to convert.
    is_number = text.isascii() and text.isdigit() and len(text) <= 9
    return int(text) if is_number else 0
