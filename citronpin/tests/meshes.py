"""Fakes that several tests of the parts between entries share."""

from collections import defaultdict

from result import Err, Ok

from citronpin.basics.errors import LogUnavailable, TimedOut
from citronpin.basics.events import Recorder
from citronpin.basics.ids import EntryId, Offset, new_id
from citronpin.peers.codecs import FrameCodec
from citronpin.peers.links import FrameGate, Links
from citronpin.peers.meshes import Mesh
from citronpin.state.folds import fold_for
from citronpin.state.logs import LogPage, States
from citronpin.state.records import Record, decode_record, encode_record

DELAY_S = 0.002


class Network:
    """Carries frames in memory, with cut links and paused entries."""

    def __init__(self, *, clock) -> None:
        self.clock = clock
        self.links = {}
        self.cut = set()  # (from address, to address)
        self.held_frames = defaultdict(list)  # address -> frames held
        self.held = set()
        self.delay_s = defaultdict(lambda: DELAY_S)

    def carry(self, source, target, frame) -> None:
        delay_s = self.delay_s[source, target]
        self.clock.call_later(delay_s, lambda: self._arrive(source, target, frame))

    def _arrive(self, source, target, frame) -> None:
        if (source, target) in self.cut:
            return
        if target in self.held:
            self.held_frames[target].append(frame)
        elif target in self.links:
            self.links[target].arrive(frame)

    def isolate(self, address) -> None:
        for other in self.links:
            self.cut |= {(address, other), (other, address)}

    def resume(self, address) -> None:
        self.held.discard(address)
        for frame in self.held_frames.pop(address, ()):
            self.links[address].arrive(frame)


class MemoryLinks(Links):
    """Links over a `Network`, with real frames."""

    def __init__(self, *, entry, network, key=b"key") -> None:
        self.address = f"tcp://{entry}"
        self.network = network
        self.connected = set()
        codec = FrameCodec(key=key)
        self.gate = FrameGate(entry=entry, codec=codec, clock=network.clock)
        self.counters = self.gate.counters
        network.links[self.address] = self

    def open(self, receive) -> None:
        self.receive = receive

    def connect(self, address) -> None:
        self.connected.add(address)

    def disconnect(self, address) -> None:
        self.connected.discard(address)

    def send(self, address, message) -> bool:
        frame = self.gate.encode(message)
        if address not in self.connected or frame is None:
            return False
        if self.address not in self.network.held:
            self.network.carry(self.address, address, frame)
        return self.gate.count_sent(frame, True)

    def arrive(self, frame) -> None:
        envelope = self.gate.decode(frame)
        if envelope is not None:
            self.receive(envelope.sender, envelope.message)

    def close(self) -> None:
        self.network.links.pop(self.address, None)


class FakeMesh(Mesh):
    """Sends messages between entries by name; ``bus`` decides what arrives."""

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
        """Do nothing: there are no beats here."""

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
    """Folds the streams of a `MemoryLog` at once, unless it is cut off."""

    def __init__(self, *, entry, log, clock, log_clock=None) -> None:
        self.log_clock = log_clock or clock  # what is under way moves on this clock
        self.entry = EntryId(entry)
        self.log = log
        self.clock = clock
        self.folded = {}
        self.callbacks = []
        self.followed = set()
        self.cut = False
        self.mode = "ok"  # how the log takes proposals
        self.alive = True
        self.appends = 0

    def state(self, stream):
        return self.folded.get(stream) or fold_for(stream).empty()

    def current(self, stream):
        return stream in self.folded

    def follow(self, stream):
        self.followed.add(stream)
        self.pull()

    def subscribe(self, prefix, callback):
        self.callbacks.append((prefix, callback))

    def pull(self) -> None:
        """Fold what the log has, unless cut off."""
        if self.cut or not self.alive:
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
        mode = "down" if self.cut else self.mode
        if mode == "down":
            error = Err(LogUnavailable("The log is down."))
            self.clock.call_later(0.0, lambda: done(error))
            return
        if mode in ("lost", "late"):
            error = Err(TimedOut("The answer of the log was lost."))
            told, done = done, None
            self.clock.call_later(0.5, lambda: told(error))
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
        # Without them the record was folded by an earlier pull.
        done(Ok(found))

    def inject(self, stream, records):
        self._fold(stream, records)

    def recent(self, stream, start):
        page = self.log.page(stream, start)
        known = self.state(stream).offset
        found = tuple(pair for pair in page.records if pair[0] <= known)
        return LogPage(first=page.first, head=Offset(known + 1), records=found)


def recorder_for(entry, clock):
    """Return a recorder of an entry."""
    return Recorder(process=entry, clock=clock)
