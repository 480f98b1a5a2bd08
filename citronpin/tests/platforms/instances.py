"""Instances of the platform in memory: groups, orders, reports, event streams.

Each instance notes violations of what must hold of groups as it sees them, in a list
that all instances of a platform share.
"""

import json

LATE_ORDER_S = 4.0
HEARTBEAT_S = 1.2
REJOIN_S = 0.2
FORM_S = 0.3
MODELS = {"big": (4, 16.0, 1.6), "small": (2, 12.0, 1.1)}  # size, load, warm


class Member:
    """The place of an instance in a group."""

    def __init__(self, group, epoch, rank, model, members):
        self.group = group
        self.epoch = epoch
        self.rank = rank
        self.model = model
        self.members = members
        self.state = "joining"


class PlatformInstance:
    """One model instance."""

    def __init__(self, *, fleet, name, address, domain, zone="a", service="engines"):
        self.fleet = fleet
        self.name = name
        self.address = address
        self.domain = domain
        self.zone = zone
        self.service = service
        self.state = "ready"
        self.dead = False
        self.cut_from_store = False
        self.delayed_order_count = 0  # that get no answer and are carried out later
        self.staged = []
        self.busy_s = 0.0  # until the requests in progress end
        self.born = 1_000
        self._restart()
        self._beat()

    def _restart(self):
        self.member = None
        self.last_model = None
        self.highest_epoch = -1
        self.sequence = 0
        self.life = object()

    def kill(self):
        """Die silently."""
        self.dead = True
        self.fleet.network.silent.add(self.address)

    def revive(self):
        """Start again under the same id, knowing nothing but what is staged."""
        self.dead = False
        self.fleet.network.silent.discard(self.address)
        self.born += 1
        self._restart()
        self._beat()

    @property
    def listed(self):
        return self.name in self.fleet.store.topic("keyed.servers").newest

    def view(self):
        member = self.member
        group = None
        if member is not None:
            group = {
                "name": member.group,
                "epoch": member.epoch,
                "rank": member.rank,
                "state": member.state,
            }
        models = [] if member is None else [{"name": member.model, "version": 1}]
        return {
            "models": models,
            "staged": list(self.staged),
            "group": group,
            "born": self.born,
            "domain": self.domain,
            "sequence": self.sequence,
        }

    def entry(self):
        return self.view() | {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "slots": 9,
            "state": self.state,
        }

    def write_entry(self):
        if not self.dead and not self.cut_from_store:
            data = json.dumps(self.entry()).encode()
            self.fleet.store.put("keyed.servers", self.name, data)
            self.written_s = self.fleet.clock.now()

    def _beat(self):
        life = self.life

        def beat():
            if self.life is not life or self.dead:
                return
            self.write_entry()
            self.fleet.clock.call_later(HEARTBEAT_S, beat)

        beat()

    def handle(self, exchange):
        expected = exchange.headers.get("x-citronpin-expect-instance")
        if exchange.target == "/v1/report":
            # Whoever is asked: a report does not look at the name.
            exchange.answer(200, json.dumps(self.view()).encode())
        elif expected not in (None, self.name):
            exchange.answer(421, headers={"x-citronpin-instance-id": self.name})
        elif exchange.target == "/v1/order":
            self._take_order(exchange)
        else:
            self.fleet.serve(self, exchange)

    def _take_order(self, exchange):
        order = json.loads(exchange.body)
        if self.delayed_order_count:
            self.delayed_order_count -= 1
            life = self.life

            def later():
                if self.life is life and not self.dead:
                    self.carry_out(order)

            self.fleet.clock.call_later(LATE_ORDER_S, later)
            return
        exchange.answer(self.carry_out(order), b"{}")

    def carry_out(self, order):
        status = getattr(self, f"_{order['op']}")(order)
        if status == 202:
            self.sequence += 1
        self.write_entry()
        return status

    def _mine(self, order):
        member = self.member
        if member is None:
            return False
        return (member.group, member.epoch) == (order["group"], order["epoch"])

    def _join(self, order):
        epoch, members = order["epoch"], order["members"]
        if epoch < self.highest_epoch:
            return 412
        if self._mine(order):
            return 200 if self.member.members == members else 412
        self.fleet.check_two(self, order)
        self.highest_epoch = epoch
        model = order["model"]
        self.member = Member(
            order["group"], epoch, members.index(self.name), model, members
        )
        _, load_s, warm_s = MODELS[model]
        loads = False
        if model == self.last_model:
            wait_s = REJOIN_S
        elif model in self.staged:
            wait_s = warm_s
        else:
            loads = True
            self.fleet.cold_joins.append(self.name)
            wait_s = load_s / 10 if self.fleet.quiet else load_s
            self.fleet.loads.append(self.fleet.clock.now())
        self.last_model = model
        member, life = self.member, self.life

        def ready():
            if self.life is life and self.member is member and not self.dead:
                member.state = "ready"
                if loads:
                    self.staged = [model]
                self.fleet.been_ready.add((self.name, member.group, epoch))
                self.write_entry()

        self.fleet.clock.call_later(wait_s, ready)
        return 202

    def _open(self, order):
        if not self._mine(order) or self.member.rank != 0:
            return 409
        if self.member.state == "open":
            return 200
        if self.member.state != "ready":
            return 409
        member, life = self.member, self.life

        def serve():
            if self.life is life and self.member is member and not self.dead:
                member.state = "open"
                self.fleet.check_partial(self)
                self.write_entry()

        self.fleet.clock.call_later(FORM_S, serve)
        return 202

    def _close(self, order):
        if not self._mine(order) or self.member.rank != 0:
            return 409
        if order["mode"] == "queue" and self.busy_s > 0:
            member, life = self.member, self.life
            member.state = "closing"

            def finished():
                if self.life is life and self.member is member and not self.dead:
                    member.state = "ready"
                    self.write_entry()

            self.fleet.clock.call_later(self.busy_s, finished)
            return 202
        if self.busy_s > 0:
            self.fleet.interrupted_heads.append(self.name)
        self.member.state = "ready"
        return 202

    def _leave(self, order):
        if not self._mine(order):
            return 409
        self.member = None
        return 202

    def _stage(self, order):
        model, life = order["model"], self.life
        if model in self.staged:
            return 200
        load_s = MODELS[model][1] / (10 if self.fleet.quiet else 1)
        self.fleet.loads.append(self.fleet.clock.now())

        def staged():
            if self.life is life and not self.dead:
                self.staged = [model]
                self.write_entry()

        self.fleet.clock.call_later(load_s, staged)
        return 202


class PlatformFleet:
    """All instances of a platform, with the rules that hold for their groups."""

    def __init__(self, *, clock, network, store):
        self.clock = clock
        self.network = network
        self.store = store
        self.quiet = True  # no request has come yet
        self.instances = {}
        self.been_ready = set()  # (instance, group, epoch)
        self.violations = []
        self.loads = []  # when loads from the weight store began
        self.cold_joins = []  # instances that had to load the model of their group
        self.interrupted_heads = []  # heads that were told to cut requests in progress
        self.serve = lambda instance, exchange: exchange.answer(404)
        clock.call_later(HEARTBEAT_S, self._expire)

    def add(self, name, domain, zone="a", service="engines", address=None):
        address = address or f"10.0.0.{len(self.instances) + 1}:80"
        made = PlatformInstance(
            fleet=self,
            name=name,
            address=address,
            domain=domain,
            zone=zone,
            service=service,
        )
        self.instances[name] = made
        self.network.handlers[address] = made.handle
        return made

    def _expire(self):
        """Drop the entries of instances that are silent for three heartbeats."""
        self.clock.call_later(HEARTBEAT_S / 4, self._expire)
        for made in self.instances.values():
            silent_s = self.clock.now() - made.written_s
            if made.listed and silent_s > 3 * HEARTBEAT_S:
                self.store.put("keyed.servers", made.name, b"")

    def open_heads(self):
        return [
            made
            for made in self.instances.values()
            if made.member is not None
            and made.member.state == "open"
            and made.member.rank == 0
            and not made.dead
        ]

    def check_two(self, instance, order):
        """No instance joins another group while the head of its own serves.

        A group of the same name under another head counts as another group.
        """
        member = instance.member
        if member is None:
            return
        same = member.group == order["group"]
        if same and member.members[0] == order["members"][0]:
            return
        head = self.instances[member.members[0]]
        place = head.member
        serves = (
            not head.dead
            and place is not None
            and (place.group, place.epoch) == (member.group, member.epoch)
            and place.state in ("open", "closing")
        )
        if serves:
            self.violations.append(
                f"{instance.name} leaves {member.group}/{member.epoch}, which serves, "
                f"for {order['group']}/{order['epoch']}"
            )

    def check_partial(self, head):
        """A group serves only after every member was ready under its epoch."""
        member = head.member
        size = MODELS[member.model][0]
        if len(member.members) != size:
            self.violations.append(f"{member.group} serves with too few members")
        for name in member.members:
            if (name, member.group, member.epoch) not in self.been_ready:
                self.violations.append(
                    f"{member.group}/{member.epoch} serves, but {name} never was ready"
                )
