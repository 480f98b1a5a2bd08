"""Sends frames to other entries and receives theirs, over `pynng` sockets."""

import logging
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

import msgspec
import pynng
from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller, EPoll
from circuits.core.utils import findcmp

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import EntryId
from citronpin.peers.codecs import MAX_FRAME_BYTES, Envelope, FrameCodec
from citronpin.peers.messages import Message

logger = logging.getLogger(__name__)

SEND_BUFFER_MESSAGES = 64
RECEIVE_BUFFER_MESSAGES = 256
MAX_FRAMES_PER_TURN = 256  # so that other tasks run during a burst
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2_000
# Sequence numbers start from the wall clock, so that they increase across restarts.
SEQUENCES_PER_MS = 1 << 10
# After this silence a lower sequence number of a sender is accepted, because its wall
# clock may have been set back before it restarted.
SEQUENCE_RESET_AFTER_S = 5.0


class LinkCounters(msgspec.Struct):
    """Counts messages, bytes and discarded frames of one entry since its start."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped: int = 0  # over the frame limit, or the peer does not take frames
    bad_frames: int = 0  # rejected by the codec
    stale_frames: int = 0  # repeated, or from an earlier run of the sender


class Links(ABC):
    """Sends and receives messages without blocking."""

    counters: LinkCounters

    @abstractmethod
    def open(self, receive: Callable[[EntryId, Message], None]) -> None:
        """Start calling ``receive`` with the sender and message of each frame."""

    @abstractmethod
    def connect(self, address: str) -> None:
        """Open a connection to an address and keep it open; idempotent."""

    @abstractmethod
    def disconnect(self, address: str) -> None:
        """Close the connection to an address and discard its unsent frames."""

    @abstractmethod
    def send(self, address: str, message: Message) -> bool:
        """Send to a connected address; return false if the message was dropped."""

    def send_all(self, addresses: Iterable[str], message: Message) -> None:
        """Send one message to several connected addresses."""
        for address in addresses:
            self.send(address, message)

    def set_key(self, key: bytes) -> None:
        """Authenticate all further frames with another key."""

    @abstractmethod
    def close(self) -> None:
        """Close all sockets."""


class _LatestFrame(msgspec.Struct):
    """Sequence number and arrival time of the latest frame of a sender."""

    sequence: int
    heard_s: float


class FrameSession:
    """Numbers outgoing frames, rejects stale incoming ones, and counts both."""

    def __init__(self, *, entry: EntryId, codec: FrameCodec, clock: Clock) -> None:
        self.counters = LinkCounters()
        self._entry = entry
        self._codec = codec
        self._clock = clock
        self._sequence = clock.wall_ms() * SEQUENCES_PER_MS
        self._latest: dict[EntryId, _LatestFrame] = {}

    def set_codec(self, codec: FrameCodec) -> None:
        """Encode and decode all further frames with another codec."""
        self._codec = codec

    def encode(self, message: Message) -> bytes | None:
        """Return the next frame, or ``None`` if the message exceeds the frame limit."""
        self._sequence += 1
        result = self._codec.encode(
            sender=self._entry, sequence=self._sequence, message=message
        )
        if result.is_err():
            logger.error("%s", result.unwrap_err())
            self.counters.dropped += 1
            return None
        return result.unwrap()

    def count_sent(self, frame: bytes, was_sent: bool) -> bool:
        """Count a frame as sent or dropped and return ``was_sent``."""
        if not was_sent:
            self.counters.dropped += 1
            return False
        self.counters.sent_messages += 1
        self.counters.sent_bytes += len(frame)
        return True

    def decode(self, frame: bytes) -> Envelope | None:
        """Return the envelope, or ``None`` if the frame is invalid or stale."""
        self.counters.received_messages += 1
        self.counters.received_bytes += len(frame)
        result = self._codec.decode(frame)
        if result.is_err():
            self.counters.bad_frames += 1
            logger.warning("%s", result.unwrap_err())
            return None
        envelope = result.unwrap()
        if not self._is_new(envelope):
            self.counters.stale_frames += 1
            return None
        return envelope

    def _is_new(self, envelope: Envelope) -> bool:
        now_s = self._clock.now()
        latest = self._latest.get(envelope.sender)
        if latest is not None:
            was_silent = now_s - latest.heard_s > SEQUENCE_RESET_AFTER_S
            if envelope.sequence <= latest.sequence and not was_silent:
                return False
        self._latest[envelope.sender] = _LatestFrame(envelope.sequence, now_s)
        return True


class NngLinks(BaseComponent, Links):
    """Links over TCP, with one Pull socket to receive and one Push socket per peer."""

    channel = "links"

    def __init__(
        self, *, entry: EntryId, listen: str, key: bytes, clock: Clock
    ) -> None:
        super().__init__()
        self._session = FrameSession(
            entry=entry, codec=FrameCodec(key=key), clock=clock
        )
        self.counters = self._session.counters
        self._clock = clock
        self._listen_address = listen
        self._receive: Callable[[EntryId, Message], None] | None = None
        self._poller: BasePoller | None = None
        self._push_sockets: dict[str, pynng.Push0] = {}
        self._pull_socket = pynng.Pull0(recv_buffer_size=RECEIVE_BUFFER_MESSAGES)
        self._pull_socket.recv_max_size = MAX_FRAME_BYTES
        listener = self._pull_socket.listen(listen)
        self.address = _bound_address(listener, listen)
        self._receive_fd = self._pull_socket.recv_fd

    @handler("registered", "started", channel="*")
    def _on_registered(self, component, manager=None) -> None:
        if self._poller is None:
            existing_poller = findcmp(self.root, BasePoller)
            self._poller = (
                existing_poller
                if existing_poller is not None
                else EPoll().register(self)
            )
        if self._receive is not None:
            self._watch_socket()

    def _watch_socket(self) -> None:
        if self._poller is not None and not self._poller.isReading(self._receive_fd):
            self._poller.addReader(self, self._receive_fd)
            self._clock.call_later(0.0, self._receive_pending)

    def open(self, receive) -> None:
        self._receive = receive
        self._watch_socket()

    def set_key(self, key: bytes) -> None:
        self._session.set_codec(FrameCodec(key=key))

    def connect(self, address: str) -> None:
        if address in self._push_sockets:
            return
        push_socket = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
        push_socket.reconnect_time_min = RECONNECT_MIN_MS
        push_socket.reconnect_time_max = RECONNECT_MAX_MS
        try:
            push_socket.dial(address, block=False)
        except pynng.exceptions.NNGException as exc:
            push_socket.close()
            logger.warning(
                "entry not connected", extra={"address": address, "detail": str(exc)}
            )
            return
        self._push_sockets[address] = push_socket

    def disconnect(self, address: str) -> None:
        push_socket = self._push_sockets.pop(address, None)
        if push_socket is not None:
            push_socket.close()

    def send(self, address: str, message: Message) -> bool:
        frame = self._session.encode(message)
        if frame is None or address not in self._push_sockets:
            return False
        return self._send_frame(address, frame)

    def send_all(self, addresses, message: Message) -> None:
        # All receivers can get the same frame: sequence numbers count per sender.
        frame = self._session.encode(message)
        if frame is None:
            return
        for address in addresses:
            if address in self._push_sockets:
                self._send_frame(address, frame)

    def _send_frame(self, address: str, frame: bytes) -> bool:
        push_socket = self._push_sockets[address]
        try:
            push_socket.send(frame, block=False)
        except pynng.exceptions.NNGException:
            return self._session.count_sent(frame, False)
        return self._session.count_sent(frame, True)

    def close(self) -> None:
        if self._poller is not None:
            self._poller.discard(self._receive_fd)
        for address in list(self._push_sockets):
            self.disconnect(address)
        self._pull_socket.close()

    @handler("_read")
    def _on_read(self, fd) -> None:
        if fd == self._receive_fd:
            self._receive_pending()

    def _receive_pending(self) -> None:
        for _ in range(MAX_FRAMES_PER_TURN):
            try:
                frame = self._pull_socket.recv(block=False)
            except pynng.exceptions.TryAgain:
                return
            except pynng.exceptions.Closed:
                return
            except RuntimeError:
                # pynng raises RuntimeError on an empty frame after it has removed it.
                frame = b""
            envelope = self._session.decode(frame)
            if envelope is not None:
                self._receive(envelope.sender, envelope.message)
        self._clock.call_later(0.0, self._receive_pending)


def _bound_address(listener, listen: str) -> str:
    """Return the address in use; it has the assigned port if ``listen`` has port 0."""
    if not listen.endswith(":0"):
        return listen
    port = socket.ntohs(listener.local_address.port)
    return f"{listen.rpartition(':')[0]}:{port}"
