"""In-memory store of the platform: topics, newest records, reader groups, eras."""

import base64
import json
import struct
from urllib.parse import parse_qsl, urlsplit

RECORD_LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")


class Topic:
    """A partition: records, first kept offset, newest record of each key."""

    def __init__(self, *, clock):
        self.clock = clock
        self.records = []
        self.written_s = []  # clock time of each record
        self.first = 0
        self.newest = {}  # key -> (offset, value)
        self.stale = None  # newest records and end that are returned instead, if set

    def append(self, contents):
        offset = len(self.records)
        for content in contents:
            end = 1 + content[0] if content else 0
            key = content[1:end].decode("utf-8", "replace")
            if content[end:]:
                self.newest[key] = (len(self.records), content[end:])
            else:
                self.newest.pop(key, None)
            self.records.append(content)
            self.written_s.append(self.clock.now())
        return offset

    def go_back(self, copy_s):
        """Drop the records written after a clock time, and what they changed."""
        kept = [
            content
            for content, written_s in zip(self.records, self.written_s)
            if written_s <= copy_s
        ]
        times = self.written_s
        self.records, self.newest = [], {}
        self.append(kept)
        self.written_s = times[: len(kept)]
        self.first = min(self.first, len(kept))


class ReaderGroup:
    """Members of the reader group and the partitions that they hold."""

    def __init__(self):
        self.members = {}  # member -> (time of its last join in s, time to live in s)
        self.generation = 0
        self.owners = {}  # partition -> member
        self.assignments = {}  # partition -> member

    def copy(self):
        copied = ReaderGroup()
        for name, value in vars(self).items():
            setattr(copied, name, dict(value) if isinstance(value, dict) else value)
        return copied


MAX_COPY_AGE_S = 10.0


class PlatformStore:
    """Answers calls with ``(status, body, headers)``, or with ``None`` for no answer.

    `go_back` restores a copy of the past, which starts a new era.
    """

    def __init__(self, *, clock, parts=24):
        self.clock = clock
        self.parts = parts
        self.topics = {}
        self.down = False
        self.silent = False
        self.group = ReaderGroup()
        self.group_copies = []  # (clock time in s, state of the group from then on)
        self.era = 1
        self.told_eras = {}  # member -> era of the last answer to its joins
        self.violations = []
        self.calls = []

    def topic(self, name):
        return self.topics.setdefault(name, Topic(clock=self.clock))

    def go_back(self, seconds):
        """Lose what was written in the last ``seconds``, and start a new era."""
        copy_s = self.clock.now() - seconds
        for topic in self.topics.values():
            topic.go_back(copy_s)
        self.group_copies = [kept for kept in self.group_copies if kept[0] <= copy_s]
        self.group = (
            self.group_copies[-1][1].copy() if self.group_copies else ReaderGroup()
        )
        self._keep_group_copy()
        self.era += 1

    def _keep_group_copy(self):
        now_s = self.clock.now()
        self.group_copies.append((now_s, self.group.copy()))
        while now_s - self.group_copies[0][0] > MAX_COPY_AGE_S:
            del self.group_copies[0]

    def put(self, topic, key, value):
        """Append a keyed record, as the operator or an instance does."""
        self.put_raw(topic, key.encode(), value)

    def put_raw(self, topic, key, value):
        """Append a keyed record whose key need not be text."""
        self.topic(topic).append([bytes([len(key)]) + key + value])

    def delete_records(self, topic):
        """Delete all records, but keep the newest of each key."""
        found = self.topic(topic)
        found.first = len(found.records)

    def set_stale(self, topic, is_stale):
        """Freeze what reads of the newest records return, or end that."""
        found = self.topic(topic)
        state = (dict(found.newest), len(found.records))
        found.stale = state if is_stale else None

    def handle(self, method, target, body):
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        self.calls.append(parts.path)
        if self.silent:
            return None
        if self.down:
            return 503, b"", self._headers()
        name = parts.path.rpartition("/")[2].replace("log-", "").replace("-", "_")
        return *getattr(self, f"_{name}")(query, body), self._headers()

    def _headers(self):
        return {"store-era": str(self.era)}

    def _append(self, query, body):
        topic = self.topic(query["topic"])
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return 412, json.dumps({"end": end}).encode()
        contents, position = [], 0
        while position < len(body):
            (length,) = RECORD_LENGTH.unpack_from(body, position)
            position += RECORD_LENGTH.size
            contents.append(body[position : position + length])
            position += length
        offset = topic.append(contents)
        answer = {"offset": offset, "end": len(topic.records)}
        return 200, json.dumps(answer).encode()

    def _read(self, query, body):
        topic = self.topic(query["topic"])
        start = int(query["from"])
        if not topic.first <= start <= len(topic.records):
            return 410, json.dumps({"first": topic.first}).encode()
        data = READ_HEADER.pack(len(topic.records), topic.first)
        for content in topic.records[start:]:
            data += RECORD_LENGTH.pack(len(content)) + content
        return 200, data

    def _newest(self, query, body):
        topic = self.topic(query["topic"])
        newest, end = topic.stale or (topic.newest, len(topic.records))
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if key > query.get("after", "")
        ]
        answer = {
            "items": items[:500],
            "has-more": len(items) > 500,
            "end": end,
        }
        return 200, json.dumps(answer).encode()

    def _expire_members(self):
        now_s = self.clock.now()
        members = self.group.members
        late = [m for m, (at, ttl) in members.items() if now_s - at > ttl]
        for member in late:
            self._remove_member(member)

    def _remove_member(self, member):
        group = self.group
        if group.members.pop(member, None) is None:
            return
        for part, owner in list(group.owners.items()):
            if owner == member:
                del group.owners[part]
        self._rebalance()

    def _rebalance(self):
        """Assign the partitions evenly; owners keep theirs until their next join."""
        self.group.generation += 1
        ordered = sorted(self.group.members)
        self.group.assignments = {
            part: ordered[part % len(ordered)] for part in range(self.parts) if ordered
        }

    def _join(self, query, body):
        asked = json.loads(body)
        member, group = asked["member"], self.group
        self._expire_members()
        knows_era = self.told_eras.get(member) == self.era
        if knows_era and asked["generation"] > group.generation:
            self.violations.append(f"{member} names a generation of an earlier era")
        self.told_eras[member] = self.era
        is_new = member not in group.members
        group.members[member] = (self.clock.now(), asked["ttl-ms"] / 1000)
        if is_new:
            self._rebalance()
        for part, owner in list(group.owners.items()):
            if owner == member and group.assignments.get(part) != member:
                del group.owners[part]  # this answer tells the member
        for part, owner in group.assignments.items():
            if owner == member and part not in group.owners:
                group.owners[part] = member
        self._keep_group_copy()
        held = sorted(p for p, owner in group.owners.items() if owner == member)
        answer = {
            "generation": group.generation,
            "ttl-ms": asked["ttl-ms"],
            "parts": [[asked["topics"][0], part, 0] for part in held],
        }
        return 200, json.dumps(answer).encode()

    def _leave(self, query, body):
        self._remove_member(json.loads(body)["member"])
        self._keep_group_copy()
        return 200, b"{}"
