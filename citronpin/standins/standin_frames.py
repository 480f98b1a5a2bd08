"""Sends the frames of a stream, with the faults in force."""

import random
from collections.abc import Callable

import msgspec

from citronpin.backends.engines import Frame
from citronpin.basics.clocks import Clock
from citronpin.standins.standins import Faults
from citronpin.web.servers import Reply

FRAMES_TYPE = "application/x-ndjson"
CUT_POLL_S = 0.002
FOREIGN_TEXT = " not-of-this-attempt"

_encode = msgspec.json.Encoder().encode


class EngineFaults(Faults, kw_only=True):
    """Faults of an engine beside those of every stand-in; shares are 0 to 1."""

    silent: bool = False  # accepts requests, never answers
    straggle: float = 1.0  # factor on the time of each step
    order_delay_s: float = 0.0  # time from the arrival of an order to its effect
    cut_after_frames: int | None = None  # cuts each stream after so many frames
    late_share: float = 0.0  # frames that come ``late_s`` after their turn
    late_s: float = 0.02
    swapped_share: float = 0.0  # frames that come after their successor
    repeated_share: float = 0.0  # frames that come twice
    foreign_share: float = 0.0  # frames followed by one of another attempt
    restart: bool = False  # restarts at once; reads as false again


class FrameOutlet:
    """Sends frames over one reply and ends it after the last."""

    def __init__(
        self,
        *,
        reply: Reply,
        start: int,
        clock: Clock,
        rng: random.Random,
        faults: Callable[[], EngineFaults],
        on_cut: Callable[[], None],
    ) -> None:
        self._reply = reply
        self._start = start
        self._clock = clock
        self._rng = rng
        self._faults = faults
        self._on_cut = on_cut
        self._sent = 0
        self._late = 0
        self._swapped: Frame | None = None
        self._final = False
        reply.start(200, FRAMES_TYPE)

    def take(self, frames: list[Frame]) -> None:
        """Send frames that were just generated."""
        faults = self._faults()
        frames = [frame for frame in frames if frame.sequence >= self._start]
        if frames and frames[-1].final:
            self._final = True
        self._send(self._misorder(frames, faults))
        self._finish_if_done()

    def abort(self) -> None:
        """Cut the connection."""
        self._reply.abort()

    def _misorder(self, frames: list[Frame], faults: EngineFaults) -> list[Frame]:
        out: list[Frame] = []
        for frame in frames:
            if self._drawn(faults.late_share):
                self._send_late(frame, faults.late_s)
            elif self._swapped is None and self._drawn(faults.swapped_share):
                self._swapped = frame
                continue
            else:
                out.append(frame)
            self._add_strangers(frame, faults, out)
            if self._swapped is not None:
                out.append(self._swapped)
                self._swapped = None
        if self._final and self._swapped is not None:
            out.append(self._swapped)
            self._swapped = None
        return out

    def _add_strangers(self, frame: Frame, faults, out: list[Frame]) -> None:
        if self._drawn(faults.repeated_share):
            out.append(frame)
        if self._drawn(faults.foreign_share):
            attempt = frame.attempt + 1
            foreign = msgspec.structs.replace(frame, attempt=attempt, text=FOREIGN_TEXT)
            out.append(foreign)

    def _drawn(self, share: float) -> bool:
        return share > 0 and self._rng.random() < share

    def _send_late(self, frame: Frame, late_s: float) -> None:
        self._late += 1
        self._clock.call_later(late_s, lambda: self._arrive(frame))

    def _arrive(self, frame: Frame) -> None:
        self._late -= 1
        self._send([frame])
        self._finish_if_done()

    def _send(self, frames: list[Frame]) -> None:
        limit = self._faults().cut_after_frames
        cut = limit is not None and self._sent + len(frames) > limit
        if cut:
            frames = frames[: max(limit - self._sent, 0)]
        self._sent += len(frames)
        if frames:
            self._reply.push(b"".join([_encode(frame) + b"\n" for frame in frames]))
        if cut:
            self._cut_when_sent()

    def _cut_when_sent(self) -> None:
        def cut() -> None:
            if self._reply.buffered_bytes and not self._reply.ended:
                self._cut_when_sent()
            else:
                self._on_cut()

        self._clock.call_later(CUT_POLL_S, cut)

    def _finish_if_done(self) -> None:
        if self._final and not self._late:
            self._reply.finish()
