"""A fabric with faults and the checks that must hold whatever happens."""

import msgspec

from citronpin.backends.memory_engines import Job, engine_row
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
GROUPS, FLOOR = 3, 2
CHUNK_S = 0.5
MISSING_BOUND_S = 20.0
STREAM_S = 6.0
SETTLE_S = 10.0  # until what was seen of ended faults is acted on
LEASE_S = 2.5  # watchers' leases on readiness end this long after a drain began


def rows(sizes):
    """Return rows of engines, every third of which ignores fences."""
    return [
        engine_row(domain, number, checks_fence=number % 3 != 2)
        for domain, size in sizes.items()
        for number in range(size)
    ]


class World:
    """Runs a fabric, publishes manifests, sends streams and checks all of it."""

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
        self.reported = {}  # instance and what it reported -> when
        self.forming_s = {}  # group -> when its formation was recorded
        self.served_s = {}  # group -> when the log last had it as serving
        self.planned = set()  # groups that were drained on purpose
        self.missing_s = {}  # serving group -> clear time with a member missing
        self.owes_share = False
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
        """Publish a new version, or one made from a base that was changed."""
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
        """Show an instance as live or leaving, or not at all."""
        if state is None:
            self.rows.pop(name, None)
        else:
            known = self.engine(name).row
            self.rows[name] = msgspec.structs.replace(known, state=state)
        self.fabric.list_instances(list(self.rows.values()))

    def advance(self, seconds):
        """Go on with checks all along."""
        for _ in range(int(seconds / CHUNK_S)):
            self._send_streams()
            self.fabric.advance(CHUNK_S)
            self.check()

    def calm(self):
        """Return whether entries, log and engines can reach each other."""
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
            if ready and leased and len(lead.jobs) < 2:
                end_s = self.now + STREAM_S
                lead.jobs.append(Job(end_s, lambda cause, g=group: self._cut(g, cause)))

    def _cut(self, group, cause):
        if cause != "restart" and group.id in self.planned:
            self.faults.append(f"a stream of {group.id} was cut by {cause}")

    def holds(self, group, member):
        """Return whether an engine works and holds what the log says."""
        engine = self.engine(member)
        held = engine.status_
        return (
            engine.up
            and not engine.paused
            and (held.group, held.fence) == (group.id, group.fence)
            and (held.members, held.version) == (group.members, group.version)
        )

    def check(self):
        """Check what must always hold."""
        for group in self.groups_of(GroupState.SERVING):
            self.served_s[group.id] = self.now
        self._check_members()
        self._check_missing()
        self._check_config()
        self._check_share()
        for entry in self.entries.values():
            for event in entry.recorder.since():
                assert event.kind is not EventKind.ALARM, event
        assert not self.faults, self.faults

    def _check_members(self):
        names = [group.id for group in self.groups_of()]
        assert len(names) == len(set(names)), f"a name is used twice: {names}"
        owners = {}
        for group in self.groups_of():
            for member in group.members:
                owner = owners.setdefault(member, group.id)
                assert owner == group.id, f"{member} is in {owner} and {group.id}"
        for group in self.groups_of(GroupState.SERVING):
            for member in group.members:
                engine = self.engine(member)
                held = engine.status_.group
                if engine.row.checks_fence:
                    assert held in (None, group.id), f"{member} is in {held} too"

    def _check_missing(self):
        serving = self.groups_of(GroupState.SERVING)
        self.missing_s = {
            group.id: self.missing_s.get(group.id, 0.0) + CHUNK_S * self.calm()
            for group in serving
            if not all(self.holds(group, member) for member in group.members)
        }
        late = [g for g, s in self.missing_s.items() if s > MISSING_BOUND_S]
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

    def _check_share(self):
        serving = len(self.groups_of(GroupState.SERVING))
        least = FLOOR if self.owes_share else 0
        assert serving >= least, f"{serving} groups serve during the rollout"

    def heal(self):
        """End every fault."""
        for name, entry in list(self.entries.items()):
            if entry.clock.paused:
                self.fabric.go_on(name)
            entry.log.down = entry.log.lose_answers = False
            entry.log.delay_s = 0.0
            entry.engines.cut_off = False
        for engine in self.fabric.engines.values():
            engine.order_delay_s, engine.lose_answers = 0.0, False
            if not engine.up:
                engine.restart()
            engine.go_on()
            self.list(engine.row.id, InstanceState.LIVE)
        self.fabric.membership_lag_s = 0.0

    def check_live(self, limit_s=240.0):
        """Check that all wanted groups serve in the end, at the last version."""
        self.heal()
        self.advance(SETTLE_S)
        self._await_all_serving(limit_s)

    def check_rollout(self, limit_s=90.0):
        """Check that a rollout without faults keeps enough groups serving."""
        self.publish()
        self.owes_share = True
        self._await_all_serving(limit_s)
        self.owes_share = False

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
