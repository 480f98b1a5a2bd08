"""Decoders that report input nested too deeply as a decode error.

`msgspec` raises `RecursionError` for input nested deeper than the interpreter allows,
which callers that catch `msgspec.DecodeError` do not expect.
"""

from collections.abc import Callable
from typing import TypeVar

import msgspec

T = TypeVar("T")


def guard_recursion(decode: Callable[[bytes], T]) -> Callable[[bytes], T]:
    """Return ``decode`` with `RecursionError` turned into `msgspec.DecodeError`."""

    def decode_guarded(data: bytes) -> T:
        try:
            return decode(data)
        except RecursionError:
            raise msgspec.DecodeError("the input is nested too deeply") from None

    return decode_guarded


decode_json = guard_recursion(msgspec.json.decode)
