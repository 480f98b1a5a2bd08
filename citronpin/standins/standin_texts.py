"""Deterministic answers and token counts of the engine stand-in."""

import msgspec
import xxhash

from citronpin.backends.engines import prompt_text

VOCABULARY = (
    "bell tenor treble rope tower stay sally plain course lead hunt dodge place "
    "method cover band ringer rounds change stroke assay lot fineness bar melt "
    "sample weight cupel furnace vault seal bench ledger client vessel customs"
).split()
MIN_ANSWER_TOKENS = 16
ANSWER_TOKENS_SPREAD = 48
CHARS_PER_TOKEN = 4


class Answer(msgspec.Struct, frozen=True):
    """An answer, or the rest of one; each piece is the text of one token."""

    pieces: tuple[str, ...]
    finish_reason: str

    @property
    def text(self) -> str:
        """Return the joined text of the tokens."""
        return "".join(self.pieces)


def answer_to(body: dict) -> Answer:
    """Return the answer to a chat completion request, which depends only on the body.

    Its length is the token limit of the request or, without one, between
    ``MIN_ANSWER_TOKENS`` and ``MIN_ANSWER_TOKENS + ANSWER_TOKENS_SPREAD - 1`` tokens.
    """
    seed = xxhash.xxh64_intdigest(prompt_text(body).encode())
    default_length = MIN_ANSWER_TOKENS + seed % ANSWER_TOKENS_SPREAD
    limit = body.get("max_completion_tokens") or body.get("max_tokens")
    length = limit if isinstance(limit, int) and limit > 0 else default_length
    pieces = tuple(_token_text(seed, index) for index in range(length))
    return Answer(pieces=pieces, finish_reason="length" if limit else "stop")


def remaining_answer(body: dict, prefix: str) -> Answer:
    """Return the rest of the answer after a prefix that was already delivered.

    The whole answer is returned if it does not begin with the prefix.
    """
    answer = answer_to(body)
    if not answer.text.startswith(prefix):
        return answer
    pieces = []
    skip = len(prefix)
    for piece in answer.pieces:
        if skip < len(piece):
            pieces.append(piece[skip:])
        skip = max(0, skip - len(piece))
    return Answer(pieces=tuple(pieces), finish_reason=answer.finish_reason)


def count_tokens(text: str) -> int:
    """Return the simulated number of tokens of a prompt, at least 1."""
    return max(1, len(text) // CHARS_PER_TOKEN)


def _token_text(seed: int, index: int) -> str:
    number = xxhash.xxh64_intdigest(index.to_bytes(4, "big"), seed=seed)
    word = VOCABULARY[number % len(VOCABULARY)]
    return word if index == 0 else f" {word}"
