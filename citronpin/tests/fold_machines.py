"""State machines that append random records and check invariants of the folds.

The expected state is computed by an independent model from the verdicts alone.
"""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from citronpin.basics.ids import NO_OFFSET
from citronpin.state import folds, records
from citronpin.state.manifests import scope_of
from citronpin.state.records import Record, decode_record, encode_record
from citronpin.state.snapshots import decode_snapshot, encode_snapshot
from citronpin.state.states import GROUP_TRANSITIONS, GroupState
from citronpin.tests.builders import customers, deployment

STREAMS = ("config", "control.a", "calls.0")
AUTHORS = st.sampled_from(["e-1", "e-2", "e-3"])
INSTANCES = ["i-1", "i-2", "i-3", "i-4"]
GROUPS = st.sampled_from(["g-1", "g-2"])
KEYS = st.sampled_from([f"0000000000{n:02x}70008000000000000000" for n in range(4)])
OUTCOMES = st.sampled_from(["complete", "unknown", "not-run"])
MEMBERS = st.lists(st.sampled_from(INSTANCES), min_size=1, max_size=2, unique=True)
STALENESS = st.sampled_from([0, 0, 0, 1])  # how many versions old a fence or base is
MOSTLY_FALSE = st.sampled_from([False, False, False, True])
MANIFESTS = st.sampled_from(
    [
        deployment("a", version="1"),
        deployment("a", version="2"),
        deployment("b"),
        deployment("bad", groups=-1),
        customers("c"),
        customers("c", keys=("b" * 64,), deployments=("b",)),
        customers("d", customer="dubai"),
    ]
)


class FoldMachine(RuleBasedStateMachine):
    """Appends records of several authors and folds each into two replicas."""

    focus = ""

    def __init__(self):
        super().__init__()
        self.logs = {stream: [] for stream in STREAMS}
        self.states = {s: folds.fold_for(s).empty() for s in STREAMS}
        self.replicas = dict(self.states)
        self.held = []
        self.sequences = {}
        self.last_sequence = {}
        self.lease = ("", NO_OFFSET)
        self.fences = [NO_OFFSET]
        self.bases = {}
        self.old_bases = {}
        self.manifests = {}
        self.parts = {}
        self.calls = {}
        self.purge_floor_ms = 0
        self.record_count = 0

    @initialize(author=AUTHORS)
    def claim_first(self, author):
        self.write_record(self.focus, author, records.LeaseClaim(NO_OFFSET))

    # Appending: a record is folded at once, or held back until a later step.

    def write_record(self, stream, author, item, *, hold=False, sequenced=True):
        self.record_count += 1
        sequence = 0
        if sequenced:
            sequence = self.sequences.get((stream, author), 0) + 1
            self.sequences[(stream, author)] = sequence
        record = Record(
            1,
            f"r-{self.record_count}",
            author,
            0,
            (item,),
            author if sequenced else "",
            sequence,
            len(self.logs[stream]) - 1,
        )
        if hold:
            self.held.append((stream, encode_record(record)))
        else:
            self.append_and_fold(stream, encode_record(record))

    def append_and_fold(self, stream, payload):
        offset = len(self.logs[stream])
        self.logs[stream].append(payload)
        self.states[stream], verdicts = fold_payload(
            stream, self.states[stream], offset, payload
        )
        self.replicas[stream], _ = fold_payload(
            stream, self.replicas[stream], offset, payload
        )
        if verdicts is not None:
            self.check_verdict(stream, offset, decode_record(payload), verdicts[0])

    @rule(data=st.data())
    def release_held(self, data):
        if self.held:
            number = data.draw(st.integers(0, len(self.held) - 1))
            self.append_and_fold(*self.held.pop(number))

    @rule(back=st.integers(0, 8))
    def append_twice(self, back):
        log = self.logs[self.focus]
        self.append_and_fold(self.focus, log[-1 - min(back, len(log) - 1)])

    @rule(cut=st.integers(1, 20))
    def damage(self, cut):
        self.append_and_fold(self.focus, self.logs[self.focus][-1][:-cut])

    @rule()
    def checkpoint(self):
        snapshot = encode_snapshot(self.focus, self.states[self.focus])
        self.replicas[self.focus] = decode_snapshot(self.focus, snapshot).unwrap()

    @rule(
        author=AUTHORS,
        back=STALENESS,
        hold=MOSTLY_FALSE,
        members=MEMBERS,
        group=GROUPS,
        holder=st.sampled_from([True, True, True, False]),
        step=st.sampled_from(
            ["form", "form", "move", "replace", "release", "reload", "bar"]
        ),
        state=st.sampled_from([state.value for state in GroupState] + ["gone"]),
    )
    def control(self, author, back, hold, members, group, holder, step, state):
        fence = self.fences[-1 - min(back, len(self.fences) - 1)]
        known = self.states["control.a"].groups.get(group)
        leaving = known.members[:1] if known else ("i-1",)
        items = {
            "form": records.GroupForm(fence, group, "a", tuple(members), "m", "1"),
            "move": records.GroupMove(fence, group, state),
            "replace": records.GroupReplace(fence, group, leaving, tuple(members)),
            "release": records.GroupRelease(fence, group),
            "reload": records.GroupReload(fence, group, "m", "2"),
            "bar": records.InstanceBar(fence, members[0], len(members) > 1),
        }
        author = self.lease[0] if holder else author
        self.write_record("control.a", author, items[step], hold=hold)

    # The model: what each accepted item must satisfy.

    def check_verdict(self, stream, offset, record, verdict):
        if not verdict.accepted:
            if isinstance(record.items[0], records.ConfigPart):
                self.check_part(offset, record.items[0], accepted=False)
            return
        if record.sequence:
            key = (stream, record.writer)
            assert record.sequence > self.last_sequence.get(
                key, 0
            ), "late record accepted"
            self.last_sequence[key] = record.sequence
        item = record.items[0]
        if isinstance(item, records.LeaseClaim):
            assert item.supersedes == self.fences[-1], "two claims won"
            self.lease = (record.author, offset)
            self.fences.append(offset)
        elif stream == "control.a":
            self.check_control_item(record, item)
        elif isinstance(item, records.ConfigChange):
            self.check_changes(offset, item.changes)
        elif isinstance(item, records.ConfigPart):
            self.check_part(offset, item, accepted=True)
        elif isinstance(item, records.CallPurge):
            self.purge_floor_ms = item.floor_ms

    def check_control_item(self, record, item):
        assert (record.author, item.fence) == self.lease, "stale fence accepted"

    def check_part(self, offset, item, accepted):
        if not accepted:
            return
        parts = self.parts.setdefault(item.change, {})
        assert item.number not in parts, "a part was accepted twice"
        parts[item.number] = item.changes
        if len(parts) == item.count:
            self.check_changes(offset, sum((parts[n] for n in sorted(parts)), ()))

    def check_changes(self, offset, changes):
        for one in changes:
            base = self.bases.get(one.scope, NO_OFFSET)
            assert one.base == base, "a change from an old base was accepted"
            self.old_bases[one.scope] = base
            self.bases[one.scope] = offset
            self.manifests.pop(one.scope, None)
            if one.manifest is not None:
                self.manifests[one.scope] = (offset, one.manifest)

    @invariant()
    def config_is_what_was_accepted(self):
        found = self.states["config"].manifests
        assert {s: (a.offset, a.manifest) for s, a in found.items()} == self.manifests

    @invariant()
    def no_instance_is_in_two_groups(self):
        state = self.states["control.a"]
        members = [(m, g.id) for g in state.groups.values() for m in g.members]
        assert len({m for m, _ in members}) == len(members), "instance in two groups"
        assert dict(members) == dict(
            state.assigned.items()
        ), "assigned differs from the members of groups"

    @invariant()
    def calls_have_one_owner_and_one_outcome(self):
        state = self.states["calls.0"]
        for key, call in state.calls.items():
            known = self.calls.get(key)
            if known is not None and not self.has_new_intent(known, call):
                assert (known.owner, known.attempt) == (call.owner, call.attempt)
                allowed = {None: (None, "complete", "unknown", "not-run")}
                allowed["unknown"] = ("unknown", "complete")
                wanted = allowed.get(known.outcome, (known.outcome,))
                assert call.outcome in wanted, "an outcome changed"
            self.calls[key] = call
        for key in set(self.calls) - set(state.calls):
            assert (
                folds.key_time_ms(key) < self.purge_floor_ms
            ), "a call above the floor was deleted"
        stored = sum(len(call.body) for call in state.calls.values())
        assert state.stored_bytes == stored

    def has_new_intent(self, known, call):
        """Return whether a call that did not run was claimed by a new intent."""
        return known.outcome == "not-run" and known.attempt != call.attempt

    @invariant()
    def every_fold_agrees(self):
        digest = folds.state_digest(self.states[self.focus])
        assert digest == folds.state_digest(
            self.replicas[self.focus]
        ), "replicas differ"

    def teardown(self):
        for stream, payloads in self.logs.items():
            state = folds.fold_for(stream).empty()
            for offset, payload in enumerate(payloads):
                state, _ = fold_payload(stream, state, offset, payload)
            assert state == self.states[stream]


class ConfigMachine(FoldMachine):
    """Proposes changes of the configuration, whole or in parts."""

    focus = "config"

    @rule(
        author=AUTHORS,
        chosen=st.lists(MANIFESTS, min_size=1, max_size=2, unique_by=scope_of),
        back=STALENESS,
        hold=MOSTLY_FALSE,
        remove=st.sampled_from([False, False, True]),
        parts=st.booleans(),
    )
    def configure(self, author, chosen, back, hold, remove, parts):
        changes = []
        for manifest in chosen:
            scope = scope_of(manifest)
            bases = self.old_bases if back else self.bases
            base = bases.get(scope, NO_OFFSET)
            wanted = None if remove else manifest
            changes.append(records.ScopeChange(scope, base, wanted))
        if not parts:
            item = records.ConfigChange(tuple(changes), author)
            self.write_record("config", author, item, hold=hold, sequenced=not back)
            return
        change = f"c-{self.record_count}"
        for number, one in enumerate(changes):
            item = records.ConfigPart(change, number, len(changes), (one,), author)
            self.write_record("config", author, item, hold=hold and number == 0)


class ControlMachine(FoldMachine):
    """Proposes leases and changes of groups of a fabric domain."""

    focus = "control.a"

    @rule(author=AUTHORS, back=STALENESS, hold=MOSTLY_FALSE)
    def claim(self, author, back=0, hold=False):
        fence = self.fences[-1 - min(back, len(self.fences) - 1)]
        self.write_record("control.a", author, records.LeaseClaim(fence), hold=hold)

    @rule(group=GROUPS, data=st.data())
    def take_valid_step(self, group, data):
        """Propose a valid change, so that runs reach later states of a group."""
        state = self.states["control.a"]
        holder, fence = self.lease
        known = state.groups.get(group)
        taken = {*state.assigned, *state.barred}
        free = [instance for instance in INSTANCES if instance not in taken]
        if known is None:
            item = records.GroupForm(fence, group, "a", tuple(free[:2]), "m", "1")
        elif known.state is GroupState.RELEASING:
            item = records.GroupRelease(fence, group)
        elif known.state is GroupState.BROKEN and free:
            leaving, joining = known.members[:1], tuple(free[:1])
            item = records.GroupReplace(fence, group, leaving, joining)
        else:
            targets = sorted(s.value for s in GROUP_TRANSITIONS[known.state])
            target = data.draw(st.sampled_from(targets))
            item = records.GroupMove(fence, group, target)
        self.write_record("control.a", holder, item)


class CallsMachine(FoldMachine):
    """Proposes intents, outcomes and purges of non-repeatable calls."""

    focus = "calls.0"

    @rule(author=AUTHORS, key=KEYS, digest=st.sampled_from("xy"), hold=MOSTLY_FALSE)
    def intend(self, author, key, digest, hold):
        item = records.CallIntent(
            key, digest, author, "ledger", f"t-{self.record_count}"
        )
        self.write_record("calls.0", author, item, hold=hold)

    @rule(
        author=AUTHORS,
        key=KEYS,
        outcome=OUTCOMES,
        own=st.sampled_from([True, True, False]),
        hold=MOSTLY_FALSE,
        settled=st.sampled_from([False, False, True]),
    )
    def end_call(self, author, key, outcome, own, hold, settled):
        call = self.states["calls.0"].calls.get(key)
        owner = call.owner if call and own else author
        attempt = call.attempt if call and own else ""
        item = records.CallOutcome(
            key, owner, outcome, body=b"x", attempt=attempt, settled=settled
        )
        self.write_record("calls.0", author, item, hold=hold)

    @rule(author=AUTHORS, floor=st.integers(0, 3))
    def purge(self, author, floor):
        lease = self.states["calls.0"].lease
        if lease.holder != author:
            self.write_record("calls.0", author, records.LeaseClaim(lease.fence))
        else:
            self.write_record("calls.0", author, records.CallPurge(lease.fence, floor))


MACHINES = (ConfigMachine, ControlMachine, CallsMachine)


def fold_payload(stream, state, offset, payload):
    """Return the next state, and the verdicts or ``None`` for a malformed record."""
    fold = folds.fold_for(stream)
    try:
        record = decode_record(payload)
    except msgspec.MsgspecError:
        return fold.skip(state, offset), None
    return fold.apply(state, offset, record)
