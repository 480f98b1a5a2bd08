"""Links: frames to and from other entries, over `pynng` or in memory."""

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
MAX_FRAMES_PER_TURN = 256  # lets other tasks run during a burst
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2_000
SEQUENCES_PER_MS = 1 << 10
SILENCE_S = 5.0  # after it a lower sequence number is taken: the wall clock moved


class LinkCounters(msgspec.Struct):
    """What the links of one entry carried since its start."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped: int = 0  # not sent, because the other entry does not take frames
    bad_frames: int = 0
    stale_frames: int = 0  # repeated or of an earlier start of the sender


class Links(ABC):
    """Sends and receives messages; neither blocks."""

    counters: LinkCounters

    @abstractmethod
    def open(self, receive: Callable[[EntryId, Message], None]) -> None:
        """Start to deliver what other entries send."""

    @abstractmethod
    def connect(self, address: str) -> None:
        """Keep a connection to an address; connecting twice is harmless."""

    @abstractmethod
    def disconnect(self, address: str) -> None:
        """Drop the connection to an address and what waits in it."""

    @abstractmethod
    def send(self, address: str, message: Message) -> bool:
        """Send to a connected address; false when the message was dropped."""

    def send_all(self, addresses: Iterable[str], message: Message) -> None:
        """Send one message to several connected addresses."""
        for address in addresses:
            self.send(address, message)

    @abstractmethod
    def close(self) -> None:
        """Close all sockets."""


class _Latest(msgspec.Struct):
    """The latest frame of a sender."""

    sequence: int
    heard_s: float


class FrameGate:
    """Numbers the frames of one entry, checks those of others, counts both."""

    def __init__(self, *, entry: EntryId, codec: FrameCodec, clock: Clock) -> None:
        self.counters = LinkCounters()
        self._entry = entry
        self._codec = codec
        self._clock = clock
        self._sequence = clock.wall_ms() * SEQUENCES_PER_MS
        self._latest: dict[EntryId, _Latest] = {}

    def encode(self, message: Message) -> bytes | None:
        """Return the next frame, or ``None`` for a message over the bound."""
        self._sequence += 1
        result = self._codec.encode(
            sender=self._entry, sequence=self._sequence, message=message
        )
        if result.is_err():
            logger.error("%s", result.unwrap_err())
            self.counters.dropped += 1
            return None
        return result.unwrap()

    def count_sent(self, frame: bytes, sent: bool) -> bool:
        """Count a frame that the socket took or refused."""
        if not sent:
            self.counters.dropped += 1
            return False
        self.counters.sent_messages += 1
        self.counters.sent_bytes += len(frame)
        return True

    def decode(self, frame: bytes) -> Envelope | None:
        """Return an envelope that is authentic and new."""
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
            silent = now_s - latest.heard_s > SILENCE_S
            if envelope.sequence <= latest.sequence and not silent:
                return False
        self._latest[envelope.sender] = _Latest(envelope.sequence, now_s)
        return True


class NngLinks(BaseComponent, Links):
    """Links over TCP: one Pull socket that listens, one Push socket for each peer."""

    channel = "links"

    def __init__(
        self, *, entry: EntryId, listen: str, key: bytes, clock: Clock
    ) -> None:
        super().__init__()
        self._gate = FrameGate(entry=entry, codec=FrameCodec(key=key), clock=clock)
        self.counters = self._gate.counters
        self._clock = clock
        self._listen = listen
        self._receive: Callable[[EntryId, Message], None] | None = None
        self._poller: BasePoller | None = None
        self._pushes: dict[str, pynng.Push0] = {}
        self._pull = pynng.Pull0(recv_buffer_size=RECEIVE_BUFFER_MESSAGES)
        self._pull.recv_max_size = MAX_FRAME_BYTES
        listener = self._pull.listen(listen)
        self.address = _bound(listener, listen)
        self._fd = self._pull.recv_fd

    @handler("registered", "started", channel="*")
    def _on_registered(self, component, manager=None) -> None:
        if self._poller is None:
            found = findcmp(self.root, BasePoller)
            self._poller = found if found is not None else EPoll().register(self)
        if self._receive is not None:
            self._watch()

    def _watch(self) -> None:
        if self._poller is not None and not self._poller.isReading(self._fd):
            self._poller.addReader(self, self._fd)
            self._clock.call_later(0.0, self._drain)

    def open(self, receive) -> None:
        self._receive = receive
        self._watch()

    def connect(self, address: str) -> None:
        if address in self._pushes:
            return
        push = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
        push.reconnect_time_min = RECONNECT_MIN_MS
        push.reconnect_time_max = RECONNECT_MAX_MS
        push.dial(address, block=False)
        self._pushes[address] = push

    def disconnect(self, address: str) -> None:
        push = self._pushes.pop(address, None)
        if push is not None:
            push.close()

    def send(self, address: str, message: Message) -> bool:
        frame = self._gate.encode(message)
        if frame is None or address not in self._pushes:
            return False
        return self._push(address, frame)

    def send_all(self, addresses, message: Message) -> None:
        # Receivers compare numbers by sender, so that all can get the same frame.
        frame = self._gate.encode(message)
        if frame is None:
            return
        for address in addresses:
            if address in self._pushes:
                self._push(address, frame)

    def _push(self, address: str, frame: bytes) -> bool:
        push = self._pushes[address]
        try:
            push.send(frame, block=False)
        except pynng.exceptions.NNGException:
            return self._gate.count_sent(frame, False)
        return self._gate.count_sent(frame, True)

    def close(self) -> None:
        if self._poller is not None:
            self._poller.discard(self._fd)
        for address in list(self._pushes):
            self.disconnect(address)
        self._pull.close()

    @handler("_read")
    def _on_read(self, fd) -> None:
        if fd == self._fd:
            self._drain()

    def _drain(self) -> None:
        for _ in range(MAX_FRAMES_PER_TURN):
            try:
                frame = self._pull.recv(block=False)
            except pynng.exceptions.TryAgain:
                return
            except pynng.exceptions.Closed:
                return
            except RuntimeError:
                # pynng fails so on an empty frame, after it has taken it.
                frame = b""
            envelope = self._gate.decode(frame)
            if envelope is not None:
                self._receive(envelope.sender, envelope.message)
        self._clock.call_later(0.0, self._drain)


def _bound(listener, listen: str) -> str:
    """Return the address in use, which differs when port 0 was asked for."""
    if not listen.endswith(":0"):
        return listen
    port = socket.ntohs(listener.local_address.port)
    return f"{listen.rpartition(':')[0]}:{port}"
