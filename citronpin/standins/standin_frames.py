"""Output of the engine stand-in: HTTP frames with injected faults."""

import random
from collections.abc import Callable

import msgspec

from citronpin.backends.engines import Frame
from citronpin.basics.clocks import Clock
from citronpin.standins.standins import Faults
from citronpin.web.servers import Reply

NDJSON_TYPE = "application/x-ndjson"
FLUSH_POLL_INTERVAL_S = 0.002
FOREIGN_TEXT = " not-of-this-attempt"

_encode = msgspec.json.Encoder().encode


class EngineFaults(Faults, kw_only=True):
    """Injectable faults of an engine; a share is a probability per frame, 0 to 1."""

    silent: bool = False  # reads requests, neither handles nor answers them
    straggle: float = 1.0  # factor on the duration of each step
    order_delay_s: float = 0.0  # time from receiving an order to executing it
    cut_after_frames: int | None = None  # number after which a connection is aborted
    late_share: float = 0.0  # sends the frame ``late_s`` seconds later
    late_s: float = 0.02
    swapped_share: float = 0.0  # sends the frame after the next one
    repeated_share: float = 0.0  # sends the frame twice
    foreign_share: float = 0.0  # sends a frame of another attempt after it
    restart: bool = False  # restarts the engine, then is reset to false


class HttpFrameWriter:
    """Writes the frames of a stream to an HTTP reply and injects faults.

    Frames before ``first_sequence`` are skipped. ``on_cut`` is called when the fault
    ``cut_after_frames`` must abort the connection.
    """

    def __init__(
        self,
        *,
        reply: Reply,
        first_sequence: int,
        clock: Clock,
        rng: random.Random,
        faults: Callable[[], EngineFaults],
        on_cut: Callable[[], None],
    ) -> None:
        self._reply = reply
        self._first_sequence = first_sequence
        self._clock = clock
        self._rng = rng
        self._faults = faults
        self._on_cut = on_cut
        self._sent = 0
        self._delayed_count = 0
        self._swapped_frame: Frame | None = None
        self._has_final_frame = False
        self._is_cut = False
        reply.start(200, NDJSON_TYPE)

    def write(self, frames: list[Frame]) -> None:
        """Send newly generated frames; end the reply after the final one."""
        faults = self._faults()
        frames = [frame for frame in frames if frame.sequence >= self._first_sequence]
        if frames and frames[-1].final:
            self._has_final_frame = True
        self._send(self._inject_faults(frames, faults))
        self._finish_if_done()

    def abort(self) -> None:
        """Abort the connection."""
        self._reply.abort()

    def _inject_faults(self, frames: list[Frame], faults: EngineFaults) -> list[Frame]:
        result: list[Frame] = []
        for frame in frames:
            if self._draw(faults.late_share):
                self._delay_frame(frame, faults.late_s)
            elif self._swapped_frame is None and self._draw(faults.swapped_share):
                self._swapped_frame = frame
                continue
            else:
                result.append(frame)
            self._append_extra_frames(frame, faults, result)
            if self._swapped_frame is not None:
                result.append(self._swapped_frame)
                self._swapped_frame = None
        if self._has_final_frame and self._swapped_frame is not None:
            result.append(self._swapped_frame)
            self._swapped_frame = None
        return result

    def _append_extra_frames(self, frame: Frame, faults, result: list[Frame]) -> None:
        if self._draw(faults.repeated_share):
            result.append(frame)
        if self._draw(faults.foreign_share):
            attempt = frame.attempt + 1
            foreign = msgspec.structs.replace(frame, attempt=attempt, text=FOREIGN_TEXT)
            result.append(foreign)

    def _draw(self, share: float) -> bool:
        return share > 0 and self._rng.random() < share

    def _delay_frame(self, frame: Frame, late_s: float) -> None:
        self._delayed_count += 1
        self._clock.call_later(late_s, lambda: self._send_delayed(frame))

    def _send_delayed(self, frame: Frame) -> None:
        self._delayed_count -= 1
        self._send([frame])
        self._finish_if_done()

    def _send(self, frames: list[Frame]) -> None:
        limit = self._faults().cut_after_frames
        must_cut = limit is not None and self._sent + len(frames) > limit
        if must_cut:
            frames = frames[: max(limit - self._sent, 0)]
        self._sent += len(frames)
        if frames:
            self._reply.push(b"".join([_encode(frame) + b"\n" for frame in frames]))
        if must_cut:
            self._is_cut = True
            self._cut_when_flushed()

    def _cut_when_flushed(self) -> None:
        def cut_if_flushed() -> None:
            if self._reply.buffered_bytes and not self._reply.ended:
                self._cut_when_flushed()
            else:
                self._on_cut()

        self._clock.call_later(FLUSH_POLL_INTERVAL_S, cut_if_flushed)

    def _finish_if_done(self) -> None:
        if self._has_final_frame and not self._delayed_count and not self._is_cut:
            self._reply.finish()
