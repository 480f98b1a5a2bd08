"""A simulated fabric with faults, and the invariants checked during a test."""

import msgspec

from citronpin.backends.memory_engines import MemoryStream, make_engine_instance
from citronpin.basics.events import EventKind
from citronpin.basics.ids import CONFIG_STREAM, control_stream
from citronpin.benches.fabrics import Fabric
from citronpin.control.drains import DrainPurpose
from citronpin.state.folds import fold_for, scope_base
from citronpin.state.instances import InstanceState
from citronpin.state.records import ConfigChange, GroupMove, ScopeChange, decode_record
from citronpin.state.states import GroupState
from citronpin.tests.builders import change, deployment

SCOPE = "deployment/rota"
GROUPS, MIN_SERVING_GROUPS = 3, 2
CHECK_INTERVAL_S = 0.5
MAX_MISSING_S = 20.0
STREAM_LENGTH_S = 6.0
SETTLE_S = 10.0  # for the controllers to act on the end of the faults
LEASE_S = 2.5  # watchers' readiness leases end within this after a drain starts


def rows(sizes):
    """Return the rows of engines; every third engine ignores fences."""
    return [
        make_engine_instance(domain, number, checks_fence=number % 3 != 2)
        for domain, size in sizes.items()
        for number in range(size)
    ]


class World:
    """Runs a fabric, publishes manifests, sends streams and checks invariants."""

    def __init__(self, sizes=None, entries=3, groups=GROUPS, **fabric):
        self.sizes = sizes or {"a": 6, "b": 4}
        self.rows = {r.id: r for r in rows(self.sizes)}
        self.fabric = Fabric(rows=list(self.rows.values()), entries=entries, **fabric)
        self.groups = groups
        self.truth = {s: fold_for(s).empty() for s in self.streams}
        self.faults = []
        self.records = 0
        self.version = 0
        self.wanted = "0"
        self.config_seen = {}
        self.reported = {}  # (instance, what it reported) -> clock time of the report
        self.forming_s = {}  # group -> clock time at which its formation was recorded
        self.served_s = {}  # group -> clock time at which it last served in the log
        self.planned = set()  # groups that ended a planned drain
        self.missing_s = {}  # serving group -> fault-free time with a member missing
        self.checks_min_serving = False
        self._watch()
        self.publish()

    @property
    def streams(self):
        return [CONFIG_STREAM, *(control_stream(d) for d in sorted(self.sizes))]

    @property
    def now(self):
        return self.fabric.clock.now()

    @property
    def entries(self):
        return self.fabric.entries

    def engine(self, name):
        return self.fabric.engines[name]

    def _watch(self):
        put = self.fabric.log.put

        def watched(stream, payload):
            offset = put(stream, payload)
            self._fold(stream, offset, decode_record(payload))
            return offset

        self.fabric.log.put = watched
        for engine in self.fabric.engines.values():
            self._watch_status(engine)

    def _watch_status(self, engine):
        status = engine.status

        def watched():
            held = status()
            what = (held.group, held.fence, held.members, held.version)
            if not held.loading:
                self.reported[engine.row.id, what] = self.now
            return held

        engine.status = watched

    def _fold(self, stream, offset, record):
        self.records += 1
        before = self.truth[stream]
        after, verdicts = fold_for(stream).apply(before, offset, record)
        self.truth[stream] = after
        for verdict in verdicts:
            item = record.items[verdict.number]
            if verdict.accepted and isinstance(item, GroupMove):
                self._moved(after.groups[item.group])
        for group in getattr(after, "groups", {}).values():
            if group.changed == offset and group.state is GroupState.FORMING:
                self.forming_s[group.id] = self.now

    def _moved(self, group):
        if group.state is GroupState.SERVING:
            self.planned.discard(group.id)
            self._check_formed(group)
        purposes = tuple(f"{purpose.value}:" for purpose in DrainPurpose)
        ended = group.state in (GroupState.RELOADING, GroupState.RELEASING)
        ended = ended or group.state is GroupState.BROKEN
        if ended and group.reason.startswith(purposes):
            self.planned.add(group.id)

    def _check_formed(self, group):
        what = (group.id, group.fence, group.members, group.version)
        for member in group.members:
            if self.reported.get((member, what), -1.0) < self.forming_s[group.id]:
                self.faults.append(f"{group.id} serves, {member} was not read back")

    def publish(self, stale=False):
        """Publish a new version; a stale one has an outdated base and is rejected."""
        base = scope_base(self.truth[CONFIG_STREAM], SCOPE)
        self.version += 1
        manifest = deployment(groups=self.groups, version=str(self.version))
        if stale:
            base -= 1
        else:
            self.wanted = manifest.version
        self.fabric.publish(change(manifest, base=base))

    def publish_removal(self):
        """Remove the deployment."""
        base = scope_base(self.truth[CONFIG_STREAM], SCOPE)
        self.version += 1
        self.fabric.publish(ConfigChange(changes=(ScopeChange(SCOPE, base, None),)))

    def list(self, name, state=None):
        """List an instance as live or leaving, or remove it from the list."""
        if state is None:
            self.rows.pop(name, None)
        else:
            known = self.engine(name).row
            self.rows[name] = msgspec.structs.replace(known, state=state)
        self.fabric.set_membership(list(self.rows.values()))

    def advance(self, seconds):
        """Advance the clock by ``seconds`` and check the invariants."""
        for _ in range(int(seconds / CHECK_INTERVAL_S)):
            self._send_streams()
            self.fabric.advance(CHECK_INTERVAL_S)
            self.check()

    def is_fault_free(self):
        """Return whether the entries reach the log and the engines.

        An entry that has been paused for 30 s counts as dead.
        """
        return all(
            not e.log.down
            and not e.log.lose_answers
            and not e.log.delay_s
            and not e.engines.cut_off
            and (not e.clock.paused or e.silent_since_s < self.now - 30.0)
            for e in self.entries.values()
        )

    def groups_of(self, state=None):
        return [
            group
            for stream in self.streams[1:]
            for _, group in sorted(self.truth[stream].groups.items())
            if state is None or group.state is state
        ]

    def _send_streams(self):
        for entry in self.entries.values():
            if entry.clock.paused:
                continue
            for stream in self.streams[1:]:
                if stream in entry.states.streams():
                    self._send_from(entry.states.state(stream))

    def _send_from(self, state):
        for group in state.groups.values():
            lead = self.engine(group.members[0])
            leased = self.now - self.served_s.get(group.id, -LEASE_S) < LEASE_S
            ready = group.state is GroupState.SERVING and all(
                self.holds(group, member) for member in group.members
            )
            if ready and leased and len(lead.running_streams) < 2:
                end_s = self.now + STREAM_LENGTH_S
                lead.running_streams.append(
                    MemoryStream(
                        end_s, lambda cause, g=group: self._record_cut(g, cause)
                    )
                )

    def _record_cut(self, group, cause):
        if cause != "restart" and group.id in self.planned:
            self.faults.append(f"a stream of {group.id} was cut by {cause}")

    def holds(self, group, member):
        """Return whether an engine works and holds what the log has recorded."""
        engine = self.engine(member)
        held = engine.stored_status
        return (
            engine.up
            and not engine.paused
            and (held.group, held.fence) == (group.id, group.fence)
            and (held.members, held.version) == (group.members, group.version)
        )

    def check(self):
        """Check the invariants."""
        for group in self.groups_of(GroupState.SERVING):
            self.served_s[group.id] = self.now
        self._check_members()
        self._check_missing()
        self._check_config()
        self._check_min_serving()
        for entry in self.entries.values():
            for event in entry.recorder.since():
                assert event.kind is not EventKind.ALARM, event
        assert not self.faults, self.faults

    def _check_members(self):
        names = [group.id for group in self.groups_of()]
        assert len(names) == len(set(names)), f"a group name is used twice: {names}"
        owners = {}
        for group in self.groups_of():
            for member in group.members:
                owner = owners.setdefault(member, group.id)
                assert owner == group.id, f"{member} is in {owner} and {group.id}"
        for group in self.groups_of(GroupState.SERVING):
            for member in group.members:
                engine = self.engine(member)
                held = engine.stored_status.group
                if engine.row.checks_fence:
                    assert held in (None, group.id), f"{member} is in {held} too"

    def _check_missing(self):
        serving = self.groups_of(GroupState.SERVING)
        self.missing_s = {
            group.id: self.missing_s.get(group.id, 0.0)
            + CHECK_INTERVAL_S * self.is_fault_free()
            for group in serving
            if not all(self.holds(group, member) for member in group.members)
        }
        late = [g for g, s in self.missing_s.items() if s > MAX_MISSING_S]
        assert not late, f"{late} serve with a member missing"

    def _check_config(self):
        accepted = self.truth[CONFIG_STREAM].manifests[SCOPE]
        assert accepted.manifest.version == self.wanted, "a rejected manifest rules"
        for name, entry in self.entries.items():
            known = entry.states.state(CONFIG_STREAM).manifests.get(SCOPE)
            offset = known.offset if known else -1
            seen = self.config_seen.get(id(entry), -1)
            assert offset >= seen, f"{name} went back from {seen} to {offset}"
            self.config_seen[id(entry)] = offset

    def _check_min_serving(self):
        serving = len(self.groups_of(GroupState.SERVING))
        least = MIN_SERVING_GROUPS if self.checks_min_serving else 0
        assert serving >= least, f"{serving} groups serve during the rollout"

    def heal(self):
        """End every fault."""
        for name, entry in list(self.entries.items()):
            if entry.clock.paused:
                self.fabric.resume(name)
            entry.log.down = entry.log.lose_answers = False
            entry.log.delay_s = 0.0
            entry.engines.cut_off = False
        for engine in self.fabric.engines.values():
            engine.order_delay_s, engine.lose_answers = 0.0, False
            if not engine.up:
                engine.restart()
            engine.resume()
            self.list(engine.row.id, InstanceState.LIVE)
        self.fabric.membership_lag_s = 0.0

    def check_live(self, limit_s=240.0):
        """End the faults and check that all groups serve the last version in time."""
        self.heal()
        self.advance(SETTLE_S)
        self._await_all_serving(limit_s)

    def check_rollout(self, limit_s=90.0):
        """Check that a rollout without faults keeps the minimum serving."""
        self.publish()
        self.checks_min_serving = True
        self._await_all_serving(limit_s)
        self.checks_min_serving = False

    def _await_all_serving(self, limit_s):
        end_s = self.now + limit_s
        while self._wanted_serving() < self.groups and self.now < end_s:
            self.advance(5.0)
        done = self._wanted_serving()
        found = [(g.id, g.state.value, g.reason) for g in self.groups_of()]
        assert done == self.groups, f"{done} rota groups serve at the end: {found}"

    def _wanted_serving(self):
        serving = self.groups_of(GroupState.SERVING)
        return len([g for g in serving if g.version == self.wanted])
