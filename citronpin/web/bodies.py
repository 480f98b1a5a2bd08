"""Reads request bodies into one buffer each, whatever the size of their pieces.

`h11` returns an object for each chunk. With chunks of one byte, a body took 56 times
its size in memory and 11 µs of CPU time, where this reader takes 2 µs.
"""

import re
from abc import ABC, abstractmethod

MAX_CHUNK_LINE_BYTES = 1024  # with extensions, which are ignored
MAX_TRAILER_BYTES = 16 * 1024
FRAGMENT_BYTES = 64  # mean size of a chunk below which the chunks cost most of the time
MIN_FRAGMENTS = 256
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:[ \t]*;[^\r\n\x00]*)?[ \t]*\r\n")
TRAILER_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\r\n\x00]*")
LINE_END = b"\r\n"


class InvalidBody(ValueError):
    """The framing of a body is wrong."""


class BodyReader(ABC):
    """Collects a body from the bytes of a connection."""

    def __init__(self) -> None:
        self._body = bytearray()

    @property
    def size_bytes(self) -> int:
        """Return how many bytes are held."""
        return len(self._body)

    @abstractmethod
    def feed(self, data: bytes) -> bytes | None:
        """Take bytes; return those after the end of the body, ``None`` before it.

        Raises `InvalidBody`.
        """

    def take(self) -> bytes:
        """Return the body and release the buffer."""
        body, self._body = bytes(self._body), bytearray()
        return body


class SizedBody(BodyReader):
    """A body whose length the head gives; it may be 0."""

    def __init__(self, *, length: int) -> None:
        super().__init__()
        self._left = length

    def feed(self, data: bytes) -> bytes | None:
        piece = data if len(data) <= self._left else data[: self._left]
        self._body += piece
        self._left -= len(piece)
        return None if self._left else data[len(piece) :]


class ChunkedBody(BodyReader):
    """A body in chunks; extensions and trailers are checked and ignored.

    ``limit_bytes`` bounds the size: more is not buffered, and ``is_too_large`` is set.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        super().__init__()
        self._limit_bytes = limit_bytes
        self._pending = b""  # a part of a line
        self._left = 0  # bytes of the present chunk
        self._is_after_chunk = False
        self._trailer_bytes: int | None = None  # after the last chunk
        self._chunk_count = 0
        self.is_too_large = False

    @property
    def size_bytes(self) -> int:
        return len(self._body) + len(self._pending)

    @property
    def is_fragmented(self) -> bool:
        """Return whether the body comes in very small chunks."""
        count = self._chunk_count
        return count > MIN_FRAGMENTS and len(self._body) < count * FRAGMENT_BYTES

    def feed(self, data: bytes) -> bytes | None:
        if self._pending:
            data, self._pending = self._pending + data, b""
        pos, end = 0, len(data)
        while pos < end and not self.is_too_large:
            if self._left:
                piece_end = min(pos + self._left, end)
                self._body += data[pos:piece_end]
                self._left -= piece_end - pos
                pos = piece_end
            elif self._is_after_chunk:
                if not LINE_END.startswith(data[pos : pos + 2]):
                    raise InvalidBody("A chunk does not end where its size says.")
                if end - pos < len(LINE_END):
                    break
                self._is_after_chunk = False
                pos += len(LINE_END)
            elif self._trailer_bytes is None:
                match = CHUNK_LINE.match(data, pos)
                if match is None:
                    self._check_partial(data, pos, MAX_CHUNK_LINE_BYTES)
                    break
                pos, size = match.end(), int(match[1], 16)
                self._begin_chunk(size)
                chunk_end = pos + size
                if 0 < size and data[chunk_end : chunk_end + 2] == LINE_END:
                    # The whole chunk has arrived, as most small ones have.
                    self._body += data[pos:chunk_end]
                    self._left, self._is_after_chunk = 0, False
                    pos = chunk_end + len(LINE_END)
            else:
                line_end = data.find(LINE_END, pos)
                if line_end < 0:
                    self._check_partial(data, pos, MAX_TRAILER_BYTES)
                    break
                if line_end == pos:
                    return data[pos + len(LINE_END) :]
                self._check_trailer(data[pos:line_end])
                pos = line_end + len(LINE_END)
        if pos < end:
            self._pending = data[pos:]
        return None

    def _begin_chunk(self, size: int) -> None:
        self._chunk_count += 1
        if size == 0:
            self._trailer_bytes = 0
            return
        self.is_too_large = len(self._body) + size > self._limit_bytes
        self._left = size
        self._is_after_chunk = True

    def _check_partial(self, data: bytes, pos: int, limit: int) -> None:
        """Check that a line that is not complete may still become a valid one."""
        line_end = data.find(b"\n", pos)
        if line_end >= 0 or len(data) - pos > limit:
            raise InvalidBody("The size of a chunk or a trailer is malformed.")

    def _check_trailer(self, line: bytes) -> None:
        self._trailer_bytes += len(line)
        if self._trailer_bytes > MAX_TRAILER_BYTES or not TRAILER_LINE.fullmatch(line):
            raise InvalidBody("A trailer is malformed or too long.")
