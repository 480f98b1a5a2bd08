"""Reassembly of the frames of an attempt by sequence number."""

from citronpin.backends.engines import Frame
from citronpin.basics.ids import RequestId

WINDOW_FRAMES = 1_024


class Reassembler:
    """Orders the frames of one attempt and drops frames of others and duplicates.

    A frame ``window`` or more positions ahead of the next one is dropped, which
    bounds the buffer; it has to be requested again.
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
        self.dropped = 0  # foreign frames, duplicates and those beyond the window

    def take(self, frames: list[Frame]) -> list[Frame]:
        """Take frames in any order and return those that are next, in sequence order.

        No frame is returned before all its predecessors, and none after the final one.
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
