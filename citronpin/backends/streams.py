"""Reassembly of an attempt's frames by sequence number."""

from citronpin.backends.engines import Frame
from citronpin.basics.ids import RequestId

WINDOW_FRAMES = 1_024


class Reassembler:
    """Puts the frames of one attempt in order and drops what is not its own.

    A frame further ahead than ``window`` is dropped and has to be asked for
    again, which bounds the buffer.
    """

    def __init__(
        self, *, request: RequestId, attempt: int, window: int = WINDOW_FRAMES
    ) -> None:
        self._request = request
        self._attempt = attempt
        self._window = window
        self._held: dict[int, Frame] = {}
        self.next_sequence = 0
        self.complete = False
        self.dropped = 0  # foreign, repeated or too far ahead

    def take(self, frames: list[Frame]) -> list[Frame]:
        """Take frames in any order; return those whose turn has come, in order.

        The final frame is the last that is ever returned, and it is returned
        only after every frame before it.
        """
        ready: list[Frame] = []
        for frame in frames:
            ahead = frame.sequence - self.next_sequence
            foreign = frame.attempt != self._attempt or frame.request != self._request
            if foreign or self.complete or not 0 <= ahead < self._window:
                self.dropped += 1
            elif ahead == 0:
                self._append_in_order(frame, ready)
            elif frame.sequence in self._held:
                self.dropped += 1
            else:
                self._held[frame.sequence] = frame
        return ready

    def _append_in_order(self, frame: Frame, ready: list[Frame]) -> None:
        while frame is not None:
            ready.append(frame)
            self.next_sequence += 1
            if frame.final:
                self.complete = True
                self._held.clear()
                return
            frame = self._held.pop(self.next_sequence, None) if self._held else None
