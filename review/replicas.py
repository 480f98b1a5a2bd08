"""Stand-in of a replica: reports, orders of groups, and requests of clients."""

import asyncio
import json
import time

from .wire import answer_bytes, chunk_bytes, head_bytes, read_request

HEARTBEAT_S = 1.2
LAST_EVENT = 20  # number of the last event of a stream
EVENT_GAP_S = 0.03
REJOIN_S = 0.2  # a join whose model was that of the last group
WARM_S = 1.1  # a join whose model is staged on the host
LOAD_S = 12.0  # a load from the weight store, a tenth of it before the first request
FORM_S = 0.3
STALL_S = 5.0  # from the loss of a member until the head is broken
CHECK_S = 0.05
MODEL = "small"
MODEL_SIZE = 2
SLOTS = 9


def event(number):
    """Return one event of a stream, as a sound replica sends it."""
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)


class Replica:
    """A sound replica; ``serve`` may be replaced to make one answer unsound."""

    def __init__(self, *, name, service, store, record, fleet, domain=None):
        self._fleet = fleet  # all replicas by id
        self.name = name
        self.service = service
        self.domain = domain
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.group = None
        self.members = []
        self.staged = []  # kept across restarts
        self.last_model = None
        self.highest_epoch = -1
        self.orders = 0
        self.beats = 0
        self.running = 0
        self.work_s = 0.02
        self.has_run = False  # whether it ever ran a request
        self.is_answering = True  # else nothing is read, as on a machine without power
        self.serve = self.serve_soundly
        self._store = store
        self._record = record
        self._writers = set()
        self._tasks = set()
        self._server = None
        self.port = None

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._spawn(self._beat())
        if self.domain is not None:
            self._spawn(self._watch_group())

    async def _watch_group(self):
        """Break the group of a head once a member has been missing for too long."""
        whole_s = time.monotonic()
        while True:
            await asyncio.sleep(CHECK_S)
            if not self.is_serving or self.is_whole:
                whole_s = time.monotonic()
            elif time.monotonic() - whole_s >= STALL_S:
                self.group["state"] = "broken"
                self._record("broken", replica=self.name, group=self.group["name"])
                self.write_entry()

    @property
    def is_whole(self):
        """Return whether all members are in the group of this head."""
        mine = self.group
        groups = [self._fleet[name].group for name in self.members]
        return all(
            group is not None
            and (group["name"], group["epoch"]) == (mine["name"], mine["epoch"])
            for group in groups
        )

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def crash(self):
        """End without notice: the kernel closes all channels."""
        for task in list(self._tasks):
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()
        self._server = None
        self.group = None

    async def restart(self, name=None):
        """Start again at the same address, under a new id if ``name`` is given."""
        self.name = name or self.name
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.group, self.members, self.last_model = None, [], None
        self.highest_epoch, self.orders, self.beats, self.running = -1, 0, 0, 0
        await self.start(self.port)

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def report(self):
        return {
            "stage": "colocated",
            "models": [{"name": MODEL, "version": 1}] if self.group else [],
            "staged": self.staged,
            "busy": False,
            "sequence": self.orders,
            "waiting": 0,
            "running": self.running,
            "kv-used": 0,
            "kv-total": 900_000,
            "handles": 0,
            "pace": 1.0,
            "domain": self.domain,
            "group": self.group,
            "born": self.born,
        }

    def write_entry(self):
        """Register in the store."""
        self.beats += 1
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "1",
            "slots": SLOTS,
            "state": self.state,
            "cold-remaining-ms": 0,
        }
        if self.domain is not None:
            fields |= self.report()
        fields |= {"sequence": self.beats, "born": self.born}
        self._store.put("keyed.servers", self.name, json.dumps(fields).encode())

    def _accept(self, reader, writer):
        self._writers.add(writer)
        self._spawn(self._serve_channel(reader, writer))

    async def _serve_channel(self, reader, writer):
        try:
            while (req := await read_request(reader)) is not None:
                await self._handle(req, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, req, writer):
        while not self.is_answering:
            await asyncio.sleep(0.05)
        expected = req.headers.get("x-citronpin-expect-instance", self.name)
        if expected != self.name:
            writer.write(answer_bytes(421, headers={"At-Server": self.name}))
        elif req.target == "/v1/report":
            writer.write(answer_bytes(200, json.dumps(self.report()).encode()))
        elif req.target == "/v1/order":
            order = json.loads(req.body)
            status = getattr(self, f"_{order['op']}")(order)
            self.orders += status == 202
            self._record("order", replica=self.name, status=status, **order)
            self.write_entry()
            writer.write(answer_bytes(status, b"{}"))
        else:
            await self._run(req, writer)

    def _is_in(self, order):
        group = self.group
        return group is not None and (group["name"], group["epoch"]) == (
            order["group"],
            order["epoch"],
        )

    def _join(self, order):
        if order["epoch"] < self.highest_epoch:
            return 412
        if self._is_in(order):
            return 200 if self.members == order["members"] else 412
        self.highest_epoch = order["epoch"]
        self.members = order["members"]
        self.group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "rank": order["members"].index(self.name),
            "state": "joining",
        }
        wait_s = self._join_time_s(order["model"])
        self.last_model = order["model"]
        self.staged = [order["model"]]
        self._spawn(self._set_state_later(self.group, "ready", wait_s))
        return 202

    def _join_time_s(self, model):
        if model == self.last_model:
            return REJOIN_S
        if model in self.staged:
            return WARM_S
        return LOAD_S if any(r.has_run for r in self._fleet.values()) else LOAD_S / 10

    async def _set_state_later(self, group, state, wait_s):
        await asyncio.sleep(wait_s)
        if self.group is group:
            group["state"] = state
            self.write_entry()

    def _open(self, order):
        if not self._is_in(order) or self.group["rank"]:
            return 409
        if self.group["state"] == "open":
            return 200
        if self.group["state"] != "ready":
            return 409
        self._spawn(self._set_state_later(self.group, "open", FORM_S))
        return 202

    def _close(self, order):
        if not self._is_in(order) or self.group["rank"]:
            return 409
        self.group["state"] = "ready"
        return 202

    def _leave(self, order):
        if not self._is_in(order):
            return 409
        self.group = None
        return 202

    def _stage(self, order):
        if order["model"] in self.staged:
            return 200
        self._spawn(self._stage_later(order["model"]))
        return 202

    async def _stage_later(self, model):
        await asyncio.sleep(LOAD_S)
        self.staged = [model]
        self.write_entry()

    @property
    def is_serving(self):
        return self.domain is None or (
            self.group is not None
            and self.group["rank"] == 0
            and self.group["state"] == "open"
        )

    async def _run(self, req, writer):
        attempt = req.headers.get("x-citronpin-attempt-id", "")
        echo = {"X-Citronpin-Attempt-Id": attempt}
        if not self.is_serving:
            writer.write(
                answer_bytes(503, headers={**echo, "X-Citronpin-Not-Executed": "1"})
            )
            return
        self.running += 1
        self.has_run = True
        self._record(
            "run",
            replica=self.name,
            attempt=attempt,
            method=req.method,
            target=req.target,
            last_event=req.headers.get("last-event-id", ""),
        )
        try:
            await self.serve(req, writer, echo)
        finally:
            self.running -= 1

    async def serve_soundly(self, req, writer, echo):
        """Answer as a sound replica: a stream of a group, or a whole answer."""
        headers = {**echo, "X-Citronpin-Response-Signature": "3e1b.07"}
        if self.domain is None:
            await asyncio.sleep(self.work_s)
            body = f"answer to {echo['X-Citronpin-Attempt-Id']}".encode()
            writer.write(answer_bytes(200, body, headers))
            return
        headers |= {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(head_bytes(200, headers))
        await self.send_events(req, writer)
        writer.write(b"0\r\n\r\n")

    async def send_events(self, req, writer, *, last=LAST_EVENT, frame=chunk_bytes):
        """Send the events after the one that the request names, up to ``last``."""
        text = req.headers.get("last-event-id", "")
        for number in range(int(text) + 1 if text else 0, last + 1):
            await asyncio.sleep(EVENT_GAP_S)
            while not self.is_whole:
                # Nothing moves while a member is missing.
                await asyncio.sleep(CHECK_S)
                if not self.is_serving:
                    raise ConnectionResetError
            writer.write(frame(event(number)))
            await writer.drain()
