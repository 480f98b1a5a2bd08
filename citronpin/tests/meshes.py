"""Fakes of the network, the mesh and the stream states that several tests share."""

from collections import defaultdict

from result import Err, Ok

from citronpin.basics.errors import LogUnavailable, TimedOut
from citronpin.basics.events import Recorder
from citronpin.basics.ids import EntryId, Offset, new_id
from citronpin.peers.codecs import FrameCodec
from citronpin.peers.links import FrameSession, Links
from citronpin.peers.meshes import Mesh
from citronpin.state.folds import fold_for
from citronpin.state.logs import LogPage, States
from citronpin.state.records import Record, decode_record, encode_record

LINK_DELAY_S = 0.002


class Network:
    """Delivers frames in memory, with delays, cut links and paused entries."""

    def __init__(self, *, clock) -> None:
        self.clock = clock
        self.links = {}
        self.cut_links = set()  # (from address, to address)
        self.held_frames = defaultdict(list)  # by address
        self.paused_addresses = set()
        self.delay_s = defaultdict(lambda: LINK_DELAY_S)

    def carry(self, source, target, frame) -> None:
        delay_s = self.delay_s[source, target]
        self.clock.call_later(delay_s, lambda: self._arrive(source, target, frame))

    def _arrive(self, source, target, frame) -> None:
        if (source, target) in self.cut_links:
            return
        if target in self.paused_addresses:
            self.held_frames[target].append(frame)
        elif target in self.links:
            self.links[target].arrive(frame)

    def isolate(self, address) -> None:
        for other in self.links:
            self.cut_links |= {(address, other), (other, address)}

    def resume(self, address) -> None:
        self.paused_addresses.discard(address)
        for frame in self.held_frames.pop(address, ()):
            self.links[address].arrive(frame)


class MemoryLinks(Links):
    """Links over a `Network`, with the real frame encoding."""

    def __init__(self, *, entry, network, key=b"key") -> None:
        self.address = f"tcp://{entry}"
        self.network = network
        self.connected = set()
        codec = FrameCodec(key=key)
        self.session = FrameSession(entry=entry, codec=codec, clock=network.clock)
        self.counters = self.session.counters
        network.links[self.address] = self

    def open(self, receive) -> None:
        self.receive = receive

    def connect(self, address) -> None:
        self.connected.add(address)

    def disconnect(self, address) -> None:
        self.connected.discard(address)

    def send(self, address, message) -> bool:
        frame = self.session.encode(message)
        if address not in self.connected or frame is None:
            return False
        if self.address not in self.network.paused_addresses:
            self.network.carry(self.address, address, frame)
        return self.session.count_sent(frame, True)

    def arrive(self, frame) -> None:
        envelope = self.session.decode(frame)
        if envelope is not None:
            self.receive(envelope.sender, envelope.message)

    def close(self) -> None:
        self.network.links.pop(self.address, None)


class FakeMesh(Mesh):
    """Passes messages to a ``bus``, which decides what arrives and who is alive."""

    def __init__(self, *, entry, bus) -> None:
        self.entry = EntryId(entry)
        self.bus = bus
        self.callbacks = {}
        self.liveness = []

    def alive(self):
        return self.bus.alive()

    def is_isolated(self, limit_s):
        return False

    def exchange_heartbeats(self):
        """Do nothing: this mesh has no heartbeats."""

    set_lease_source = exchange_heartbeats

    def send(self, entry, message):
        return self.bus.carry(self.entry, entry, message)

    def subscribe(self, message_type, callback):
        self.callbacks.setdefault(message_type, []).append(callback)

    def subscribe_liveness(self, callback):
        self.liveness.append(callback)

    def arrive(self, sender, message):
        for callback in self.callbacks.get(type(message), ()):
            callback(sender, message)


class FakeStates(States):
    """Applies the records of a `MemoryLog` on `pull`, unless it is cut off."""

    def __init__(self, *, entry, log, clock, log_clock=None) -> None:
        self.log_clock = log_clock or clock  # the log takes appends on this clock
        self.entry = EntryId(entry)
        self.log = log
        self.clock = clock
        self.folded = {}
        self.callbacks = []
        self.followed = set()
        self.is_cut_off = False
        self.mode = "ok"  # ok, down, lost, late or slow: how proposals go
        self.alive = True
        self.appends = 0

    def state(self, stream):
        return self.folded.get(stream) or fold_for(stream).empty()

    def is_current(self, stream):
        return stream in self.folded

    def follow(self, stream):
        self.followed.add(stream)
        self.pull()

    def subscribe(self, prefix, callback):
        self.callbacks.append((prefix, callback))

    def pull(self) -> None:
        """Apply the records that the log has, unless cut off."""
        if self.is_cut_off or not self.alive:
            return
        for stream in self.followed:
            start = Offset(self.state(stream).offset + 1)
            self._fold(stream, self.log.page(stream, start, 10_000).records)
            self.folded.setdefault(stream, self.state(stream))

    def _fold(self, stream, found):
        for offset, payload in found:
            state = self.state(stream)
            if offset != state.offset + 1:
                return
            fold = fold_for(stream)
            state, verdicts = fold.apply(state, offset, decode_record(payload))
            self.folded[stream] = state
            for prefix, callback in self.callbacks:
                if stream.startswith(prefix):
                    callback(stream, state, verdicts)

    def propose(self, stream, items, done=None):
        done = done or (lambda result: None)
        self.followed.add(stream)
        record = Record(1, new_id(), self.entry, self.clock.wall_ms(), tuple(items))
        mode = "down" if self.is_cut_off else self.mode
        if mode == "down":
            error = Err(LogUnavailable("The log is down."))
            self.clock.call_later(0.0, lambda: done(error))
            return
        if mode in ("lost", "late"):
            error = Err(TimedOut("The answer of the log was lost."))
            report_error, done = done, None
            self.clock.call_later(0.5, lambda: report_error(error))
        delay_s = {"slow": 1.5, "late": 5.0}.get(mode, 0.001)
        self.log_clock.call_later(delay_s, lambda: self._append(stream, record, done))

    def _append(self, stream, record, done):
        self.appends += 1
        self.log.put(stream, encode_record(record))
        if done is not None:
            self.clock.call_later(0.0, lambda: self._read_back(record, done))

    def _read_back(self, record, done):
        verdicts = []
        self.callbacks.append(("", lambda s, _, v: verdicts.extend(v)))
        self.pull()
        self.callbacks.pop()
        found = [verdict for verdict in verdicts if verdict.record == record.id]
        # No verdicts are found if an earlier pull applied the record.
        done(Ok(found))

    def fold_peer_records(self, stream, records):
        self._fold(stream, records)

    def recent_records(self, stream, start):
        page = self.log.page(stream, start)
        known = self.state(stream).offset
        found = tuple(pair for pair in page.records if pair[0] <= known)
        return LogPage(first=page.first, head=Offset(known + 1), records=found)


def recorder_for(entry, clock):
    """Return a recorder whose process is the entry."""
    return Recorder(process=entry, clock=clock)
