"""In-memory store of the platform: topics, newest records, reader groups."""

import base64
import json
import struct
from urllib.parse import parse_qsl, urlsplit

RECORD_LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")


class Topic:
    """A partition: records, first kept offset, newest record of each key."""

    def __init__(self):
        self.records = []
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
        return offset


class PlatformStore:
    """Answers calls with ``(status, body)``, or with ``None`` for no answer."""

    def __init__(self, *, clock, parts=24):
        self.clock = clock
        self.parts = parts
        self.topics = {}
        self.down = False
        self.silent = False
        self.members = {}  # member -> (time of its last join in s, time to live in s)
        self.generation = 0
        self.owners = {}  # partition -> member
        self.known_generations = {}  # member -> generation
        self.calls = []

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Append a keyed record, as the operator or an instance does."""
        name = key.encode()
        self.topic(topic).append([bytes([len(name)]) + name + value])

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
            return 503, b""
        name = parts.path.rpartition("/")[2].replace("log-", "").replace("-", "_")
        return getattr(self, f"_{name}")(query, body)

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
        if start < topic.first:
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
        late = [m for m, (at, ttl) in self.members.items() if now_s - at > ttl]
        for member in late:
            self._remove_member(member)

    def _remove_member(self, member):
        if self.members.pop(member, None) is None:
            return
        for part, owner in list(self.owners.items()):
            if owner == member:
                del self.owners[part]
        self._rebalance()

    def _rebalance(self):
        """Assign the partitions evenly; owners keep theirs until their next join."""
        self.generation += 1
        ordered = sorted(self.members)
        self.assignments = {
            part: ordered[part % len(ordered)] for part in range(self.parts) if ordered
        }

    def _join(self, query, body):
        asked = json.loads(body)
        member = asked["member"]
        self._expire_members()
        is_new = member not in self.members
        self.members[member] = (self.clock.now(), asked["ttl-ms"] / 1000)
        if is_new:
            self._rebalance()
        for part, owner in list(self.owners.items()):
            if owner == member and self.assignments.get(part) != member:
                del self.owners[part]  # this answer tells the member
        for part, owner in self.assignments.items():
            if owner == member and part not in self.owners:
                self.owners[part] = member
        held = sorted(p for p, owner in self.owners.items() if owner == member)
        answer = {
            "generation": self.generation,
            "ttl-ms": asked["ttl-ms"],
            "parts": [[asked["topics"][0], part, 0] for part in held],
        }
        return 200, json.dumps(answer).encode()

    def _leave(self, query, body):
        self._remove_member(json.loads(body)["member"])
        return 200, b"{}"
