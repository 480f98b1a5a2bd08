"""State machine over entries that lose and regain their paths to instances.

Whatever is cut: an unsafe request runs once at most, what is refused as not run never
runs, a stream arrives without a gap, no request passes more than one other entry, and
after all cuts each entry serves by itself again.
"""

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from citronpin.basics.clocks import PausedClock
from citronpin.gateway import exchanges
from citronpin.gateway.forward_codecs import FORWARDED_HEADER
from citronpin.platform.names import HEADERS
from citronpin.tests.platforms.crashes import LAST_EVENT, CrashWorld
from citronpin.tests.platforms.cuts import Cut, cut_off, heal, is_served
from citronpin.tests.platforms.requests import whole_stream

ENTRIES = 4
UPDATE_S = 0.5
HEALED_S = 2.5  # by then entries request instances again, and requests are over
OPTIONS = settings(
    max_examples=25,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    phases=[Phase.generate],
    database=None,
    suppress_health_check=list(HealthCheck),
)
entries = st.integers(0, ENTRIES - 1)


class CutMachine(RuleBasedStateMachine):
    """Cuts entries off from all instances or one service, and sends requests."""

    def __init__(self):
        super().__init__()
        self.clock = PausedClock()
        self.world = CrashWorld(clock=self.clock, entries=ENTRIES, replicas=8, books=3)
        self.clock.advance(1.0)
        self.replies = []  # (kind, attempt id, reply)
        self.left = []  # replies whose callers left

    def send(self, entry, kind):
        headers = {HEADERS.attempt: f"{kind}-{len(self.replies)}"}
        if kind == "stream":
            reply = entry.send("/draft/1", **headers)
        elif kind == "read":
            reply = entry.send("/look-up/1", "GET", b"", **headers)
        else:
            reply = entry.send("/swap/1", **headers)
        self.replies.append((kind, headers[HEADERS.attempt], reply))
        return reply

    @rule(number=entries, kind=st.sampled_from(["stream", "read", "swap"]))
    def request(self, number, kind):
        for _ in range(3):
            self.send(self.world.entries[number], kind)

    @rule(
        number=entries,
        how=st.sampled_from(Cut),
        service=st.sampled_from(["all", "replicas", "books"]),
    )
    def cut(self, number, how, service):
        world = self.world
        targets = {
            "all": world.all_replicas(),
            "replicas": [*world.replicas.values()],
            "books": [*world.books.values()],
        }[service]
        cut_off(world.entries[number], targets, how)

    @rule(number=entries, kind=st.sampled_from(["stream", "read", "swap"]))
    def cut_midway(self, number, kind):
        """Reset all connections of an entry while instances run its requests."""
        self.request(number, kind)
        self.clock.advance(0.05)
        self.cut(number, Cut.RESET, "all")

    @rule(number=entries)
    def heal(self, number):
        heal(self.world.entries[number])

    @rule(number=entries)
    def leave(self, number):
        """Let the callers of the oldest open requests leave."""
        open_replies = [reply for *_, reply in self.replies if not reply.ended]
        for reply in open_replies[:number]:
            reply.leave()
            reply.ended = True
            self.left.append(reply)

    @rule(seconds=st.sampled_from([0.05, 0.2, 0.5, 1.0]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    def runs(self, attempt):
        """Return how often instances began to run an attempt."""
        return self.world.runs.get(attempt, 0)

    @invariant()
    def unsafe_requests_run_once(self):
        for kind, attempt, reply in self.replies:
            if kind == "swap":
                assert self.runs(attempt) <= 1, "ran twice"
            if reply.status == 503:
                assert not self.runs(attempt), "refused, but ran"

    @invariant()
    def streams_have_no_gap(self):
        for kind, _, reply in self.replies:
            if kind == "stream" and reply.status == 200:
                assert whole_stream(LAST_EVENT).startswith(reply.body), "a gap"
                if reply.ended and not reply.aborted and reply not in self.left:
                    assert reply.body == whole_stream(LAST_EVENT), "not whole"

    @invariant()
    def requests_pass_one_entry_at_most(self):
        for entry in self.world.entries:
            for exchange in entry.client.sent:
                if FORWARDED_HEADER in exchange.headers:
                    assert HEADERS.key not in exchange.headers, "the key left the entry"
                    hops = self.world.hops.get(exchange.headers[HEADERS.attempt], set())
                    assert entry.name not in hops, "passed on again"

    def teardown(self):
        for entry in self.world.entries:
            heal(entry)
        self.clock.advance(HEALED_S)
        # Registrations show that instances go on whose answers a reset ended.
        self.world.renew_registrations()
        self.clock.advance(UPDATE_S)
        self.unsafe_requests_run_once()
        self.streams_have_no_gap()
        for entry in self.world.entries:
            count = len(entry.client.sent)
            replies = [self.send(entry, kind) for kind in ("stream", "read", "swap")]
            self.clock.advance(1.5)
            assert all(map(is_served, replies)), "not served after the cuts"
            sent = entry.client.sent[count:]
            assert not any(FORWARDED_HEADER in one.headers for one in sent)


def test_promises_hold_whatever_paths_entries_lose():
    run_state_machine_as_test(CutMachine, settings=OPTIONS)


class PassesOnAgain(CutMachine):
    """Lets entries pass on what other entries passed on to them."""

    patches = [(exchanges.Exchange, "is_forwarded", property(lambda self: False))]


class SendsUnsafeAgain(CutMachine):
    """Sends unsafe requests again that may have run."""

    patches = [(exchanges.Fault, "may_have_run", property(lambda self: False))]


class KeepsTheKey(CutMachine):
    """Passes the key of the customer on."""

    patches = [
        (
            exchanges.EntryRecipient,
            "headers",
            lambda self, task, pending, overrides: (
                *KeepsTheKey.headers(self, task, pending, overrides),
                (HEADERS.key, "key-1"),
            ),
        )
    ]
    headers = exchanges.EntryRecipient.headers


class NeverNoticesTheEnd(CutMachine):
    """Does not notice that the path is back."""

    patches = [
        (
            exchanges.Exchange,
            "_should_forward",
            property(lambda self: not self.is_forwarded and bool(self._select_peer())),
        )
    ]


@pytest.mark.parametrize(
    "machine", [PassesOnAgain, SendsUnsafeAgain, KeepsTheKey, NeverNoticesTheEnd]
)
def test_cut_machine_detects_faulty_versions(machine, monkeypatch):
    for target, name, value in machine.patches:
        monkeypatch.setattr(target, name, value)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=OPTIONS)
