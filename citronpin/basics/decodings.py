"""Decoders whose errors are of one kind, however deep the input is nested.

`msgspec` raises `RecursionError` for input nested deeper than the interpreter allows,
which handlers of malformed input do not expect.
"""

from collections.abc import Callable
from typing import TypeVar

import msgspec

T = TypeVar("T")


def guard_recursion(decode: Callable[[bytes], T]) -> Callable[[bytes], T]:
    """Return a decoder that raises `msgspec.DecodeError` for input too deep."""

    def decode_bounded(data: bytes) -> T:
        try:
            return decode(data)
        except RecursionError:
            raise msgspec.DecodeError("the input is nested too deeply") from None

    return decode_bounded


decode_json = guard_recursion(msgspec.json.decode)
