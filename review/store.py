"""Stand-in of the platform's store, as PROTOCOL.md describes its log."""

import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qsl, urlsplit

from .wire import answer_bytes, read_request

RECORD_LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
READ_POLL_S = 0.01
PARTS = 24


class Topic:
    """Partition 0 of a keyed topic."""

    def __init__(self):
        self.records = []
        self.newest = {}  # key -> (offset, value)
        self.first = 0

    def append(self, content):
        end = 1 + content[0]
        key = content[1:end].decode("utf-8", "replace")
        if content[end:]:
            self.newest[key] = (len(self.records), content[end:])
        else:
            self.newest.pop(key, None)
        self.records.append(content)


class ReaderGroup:
    """Members of a group and their partitions.

    A partition goes to another member only once its holder has joined without it, has
    left or has been silent for its time to live.
    """

    def __init__(self):
        self.generation = 0
        self.members = {}  # member -> (time of the last join, time to live)
        self.wanted = {}  # partition -> member
        self.owners = {}  # partition -> member

    def join(self, member, ttl_s):
        now_s = time.monotonic()
        for other, (at_s, other_ttl_s) in list(self.members.items()):
            if now_s - at_s > other_ttl_s:
                self.leave(other)
        is_new = member not in self.members
        self.members[member] = (now_s, ttl_s)
        if is_new:
            self._rebalance()
        for part, owner in list(self.owners.items()):
            if owner == member and self.wanted[part] != member:
                del self.owners[part]
        for part, owner in self.wanted.items():
            if owner == member:
                self.owners.setdefault(part, member)
        return sorted(part for part, owner in self.owners.items() if owner == member)

    def leave(self, member):
        if self.members.pop(member, None) is not None:
            self.owners = {p: o for p, o in self.owners.items() if o != member}
            self._rebalance()

    def _rebalance(self):
        self.generation += 1
        names = sorted(self.members)
        self.wanted = {p: names[p % len(names)] for p in range(PARTS)} if names else {}


class Store:
    """Serves the calls of the entries; the operator and the replicas write directly."""

    def __init__(self):
        self.topics = {}
        self.group = ReaderGroup()
        self.era = 1
        self.down = False  # answers 503, and nothing was done
        self.port = None

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Write a keyed record; an empty value deletes the key."""
        name = key.encode()
        self.topic(topic).append(bytes([len(name)]) + name + value)

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=4 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while (req := await read_request(reader)) is not None:
                status, body = await self._handle(req)
                writer.write(answer_bytes(status, body, {"Store-Era": str(self.era)}))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, req):
        if self.down:
            return 503, b"{}"
        parts = urlsplit(req.target)
        query = dict(parse_qsl(parts.query))
        name = parts.path.rpartition("/log-")[2]
        handler = getattr(self, f"_{name}", None)
        return (404, b"{}") if handler is None else await handler(query, req.body)

    async def _append(self, query, body):
        topic = self.topic(query["topic"])
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return 412, json.dumps({"end": end}).encode()
        position = 0
        while position < len(body):
            (length,) = RECORD_LENGTH.unpack_from(body, position)
            position += RECORD_LENGTH.size
            topic.append(body[position : position + length])
            position += length
        fields = {"offset": end, "end": len(topic.records)}
        return 200, json.dumps(fields).encode()

    async def _read(self, query, body):
        topic, start = self.topic(query["topic"]), int(query["from"])
        end_s = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while start == len(topic.records) and time.monotonic() < end_s:
            await asyncio.sleep(READ_POLL_S)
        if self.down:
            return 503, b"{}"
        if not topic.first <= start <= len(topic.records):
            return 410, json.dumps({"first": topic.first}).encode()
        data = READ_HEADER.pack(len(topic.records), topic.first)
        for content in topic.records[start:]:
            data += RECORD_LENGTH.pack(len(content)) + content
        return 200, data

    async def _newest(self, query, body):
        topic = self.topic(query["topic"])
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(topic.newest.items())
            if key > query.get("after", "")
        ]
        fields = {
            "items": items[:500],
            "has-more": len(items) > 500,
            "end": len(topic.records),
        }
        return 200, json.dumps(fields).encode()

    async def _join(self, query, body):
        asked = json.loads(body)
        parts = self.group.join(asked["member"], asked["ttl-ms"] / 1000)
        fields = {
            "generation": self.group.generation,
            "parts": [[asked["topics"][0], part, 0] for part in parts],
        }
        return 200, json.dumps(fields).encode()

    async def _leave(self, query, body):
        self.group.leave(json.loads(body)["member"])
        return 200, b"{}"
