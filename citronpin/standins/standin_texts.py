"""Deterministic answers of the engine stand-in."""

import msgspec
import xxhash

from citronpin.backends.engines import prompt_text

WORDS = (
    "bell tenor treble rope tower stay sally plain course lead hunt dodge place "
    "method cover band ringer rounds change stroke assay lot fineness bar melt "
    "sample weight cupel furnace vault seal bench ledger client vessel customs"
).split()
MIN_TOKENS = 16
SPREAD_TOKENS = 48
CHARS_PER_TOKEN = 4


class Answer(msgspec.Struct, frozen=True):
    """A whole answer as one piece of text a token."""

    pieces: tuple[str, ...]
    finish_reason: str

    @property
    def text(self) -> str:
        """Return the answer as one text."""
        return "".join(self.pieces)


def answer_to(body: dict) -> Answer:
    """Return the answer to a chat completion request; same body, same answer."""
    seed = xxhash.xxh64_intdigest(prompt_text(body).encode())
    wanted = MIN_TOKENS + seed % SPREAD_TOKENS
    limit = body.get("max_completion_tokens") or body.get("max_tokens")
    length = limit if isinstance(limit, int) and limit > 0 else wanted
    pieces = tuple(_piece(seed, index) for index in range(length))
    return Answer(pieces=pieces, finish_reason="length" if limit else "stop")


def answer_after(body: dict, prefix: str) -> Answer:
    """Return what is left of the answer after a prefix that was already sent."""
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
    """Return the number of tokens that a prompt counts as."""
    return max(1, len(text) // CHARS_PER_TOKEN)


def _piece(seed: int, index: int) -> str:
    number = xxhash.xxh64_intdigest(index.to_bytes(4, "big"), seed=seed)
    word = WORDS[number % len(WORDS)]
    return word if index == 0 else f" {word}"
