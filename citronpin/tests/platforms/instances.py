"""In-memory instances of the platform: groups, orders, reports, registrations.

The fleet collects violations of the rules for groups in one list.
"""

import json

from citronpin.platform.names import HEADERS

ORDER_DELAY_S = 4.0
HEARTBEAT_INTERVAL_S = 1.2
REJOIN_TIME_S = 0.2
FORMATION_TIME_S = 0.3
MODELS = {"big": (4, 16.0, 1.6), "small": (2, 12.0, 1.1)}  # size, load s, warm s


class Membership:
    """Membership of an instance in a group."""

    def __init__(self, group, epoch, rank, model, members):
        self.group = group
        self.epoch = epoch
        self.rank = rank
        self.model = model
        self.members = members
        self.state = "joining"


class PlatformInstance:
    """A model instance that applies orders and writes its registration to the store."""

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
        self.delayed_order_count = 0  # next orders to leave unanswered and apply late
        self.staged = []
        self.busy_s = 0.0  # time until requests in progress end
        self.cold_until_s = float("-inf")  # clock time
        self.born = 1_000
        self._reset_state()
        self._start_heartbeats()

    def _reset_state(self):
        self.member = None
        self.last_model = None
        self.highest_epoch = -1
        self.sequence = 0
        self.registration_count = 0  # since the start
        self.incarnation = object()

    def kill(self):
        """Stop without notice; connections to the address then time out."""
        self.dead = True
        self.fleet.network.silent.add(self.address)

    def restart(self):
        """Restart under the same id with no state but the staged models."""
        self.dead = False
        self.fleet.network.silent.discard(self.address)
        self.born += 1
        self._reset_state()
        self._start_heartbeats()

    @property
    def is_registered(self):
        return self.name in self.fleet.store.topic("keyed.servers").newest

    def report(self):
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

    @property
    def cold_ms(self):
        """Return how much longer the instance is cold, 0 if it is not."""
        left_s = self.cold_until_s - self.fleet.clock.now()
        return round(max(left_s, 0.0) * 1000)

    @property
    def cold_headers(self):
        return {HEADERS.cold_ms: str(self.cold_ms)} if self.cold_ms else {}

    def registration(self):
        return self.report() | {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 9,
            "state": self.state,
            "cold-remaining-ms": self.cold_ms,
            "sequence": self.registration_count,
        }

    def write_entry(self):
        """Write the registration to the store unless the instance cannot reach it."""
        if not self.dead and not self.cut_from_store:
            self.registration_count += 1
            data = json.dumps(self.registration()).encode()
            self.fleet.store.put("keyed.servers", self.name, data)
            self.written_s = self.fleet.clock.now()

    def _start_heartbeats(self):
        incarnation = self.incarnation

        def send_heartbeat():
            if self.incarnation is not incarnation or self.dead:
                return
            self.write_entry()
            self.fleet.clock.call_later(HEARTBEAT_INTERVAL_S, send_heartbeat)

        send_heartbeat()

    def handle(self, exchange):
        expected = exchange.headers.get("x-citronpin-expect-instance")
        if exchange.target == "/v1/report":
            # A report is answered whatever instance id the request expects.
            data = json.dumps(self.report()).encode()
            exchange.answer(200, data, self.cold_headers)
        elif expected not in (None, self.name):
            exchange.answer(421, headers={"x-citronpin-instance-id": self.name})
        elif exchange.target == "/v1/order":
            self._handle_order(exchange)
        else:
            self.fleet.serve(self, exchange)

    def _handle_order(self, exchange):
        order = json.loads(exchange.body)
        if self.delayed_order_count:
            self.delayed_order_count -= 1
            incarnation = self.incarnation

            def apply_late():
                if self.incarnation is incarnation and not self.dead:
                    self.apply_order(order)

            self.fleet.clock.call_later(ORDER_DELAY_S, apply_late)
            return
        exchange.answer(self.apply_order(order), b"{}")

    def apply_order(self, order):
        status = getattr(self, f"_{order['op']}")(order)
        if status == 202:
            self.sequence += 1
        self.write_entry()
        return status

    def _matches_current_group(self, order):
        member = self.member
        if member is None:
            return False
        return (member.group, member.epoch) == (order["group"], order["epoch"])

    def _join(self, order):
        epoch, members = order["epoch"], order["members"]
        if epoch < self.highest_epoch:
            return 412
        if self._matches_current_group(order):
            return 200 if self.member.members == members else 412
        self.fleet.check_own_group_not_serving(self, order)
        self.highest_epoch = epoch
        model = order["model"]
        self.member = Membership(
            order["group"], epoch, members.index(self.name), model, members
        )
        _, load_s, warm_s = MODELS[model]
        is_load = False
        if model == self.last_model:
            ready_after_s = REJOIN_TIME_S
        elif model in self.staged:
            ready_after_s = warm_s
        else:
            is_load = True
            self.fleet.cold_joins.append(self.name)
            ready_after_s = load_s / 10 if self.fleet.is_before_traffic else load_s
            self.fleet.loads.append(self.fleet.clock.now())
        self.last_model = model
        member, incarnation = self.member, self.incarnation

        def on_ready():
            if (
                self.incarnation is incarnation
                and self.member is member
                and not self.dead
            ):
                member.state = "ready"
                if is_load:
                    self.staged = [model]
                self.fleet.ready_members.add((self.name, member.group, epoch))
                self.write_entry()

        self.fleet.clock.call_later(ready_after_s, on_ready)
        return 202

    def _open(self, order):
        if not self._matches_current_group(order) or self.member.rank != 0:
            return 409
        if self.member.state == "open":
            return 200
        if self.member.state != "ready":
            return 409
        member, incarnation = self.member, self.incarnation

        def on_formed():
            if (
                self.incarnation is incarnation
                and self.member is member
                and not self.dead
            ):
                member.state = "open"
                self.fleet.check_members_ready(self)
                self.write_entry()

        self.fleet.clock.call_later(FORMATION_TIME_S, on_formed)
        return 202

    def _close(self, order):
        if not self._matches_current_group(order) or self.member.rank != 0:
            return 409
        if order["mode"] == "queue" and self.busy_s > 0:
            member, incarnation = self.member, self.incarnation
            member.state = "closing"

            def on_finished():
                if (
                    self.incarnation is incarnation
                    and self.member is member
                    and not self.dead
                ):
                    member.state = "ready"
                    self.write_entry()

            self.fleet.clock.call_later(self.busy_s, on_finished)
            return 202
        if self.busy_s > 0:
            self.fleet.interrupted_heads.append(self.name)
        self.member.state = "ready"
        return 202

    def _leave(self, order):
        if not self._matches_current_group(order):
            return 409
        self.member = None
        return 202

    def _stage(self, order):
        model, incarnation = order["model"], self.incarnation
        if model in self.staged:
            return 200
        load_s = MODELS[model][1] / (10 if self.fleet.is_before_traffic else 1)
        self.fleet.loads.append(self.fleet.clock.now())

        def on_staged():
            if self.incarnation is incarnation and not self.dead:
                self.staged = [model]
                self.write_entry()

        self.fleet.clock.call_later(load_s, on_staged)
        return 202


class PlatformFleet:
    """All instances of a platform; records violations of the rules for groups."""

    def __init__(self, *, clock, network, store):
        self.clock = clock
        self.network = network
        self.store = store
        # Until the first request, loads are 10 times faster.
        self.is_before_traffic = True
        self.instances = {}
        self.ready_members = set()  # (instance, group, epoch)
        self.violations = []
        self.loads = []  # start times of loads from the weight store
        self.cold_joins = []  # instances that had to load the model of their group
        # Heads that were ordered to cancel requests in progress.
        self.interrupted_heads = []
        self.serve = lambda instance, exchange: exchange.answer(404)
        clock.call_later(HEARTBEAT_INTERVAL_S, self._expire_silent_registrations)

    def add(self, name, domain, zone="a", service="engines", address=None):
        number = len(self.instances)
        address = address or f"10.0.{number // 250}.{number % 250 + 1}:80"
        instance = PlatformInstance(
            fleet=self,
            name=name,
            address=address,
            domain=domain,
            zone=zone,
            service=service,
        )
        self.instances[name] = instance
        self.network.handlers[address] = instance.handle
        return instance

    def _expire_silent_registrations(self):
        """Delete the registrations of instances that miss three heartbeats."""
        self.clock.call_later(
            HEARTBEAT_INTERVAL_S / 4, self._expire_silent_registrations
        )
        for instance in self.instances.values():
            silent_s = self.clock.now() - instance.written_s
            if instance.is_registered and silent_s > 3 * HEARTBEAT_INTERVAL_S:
                self.store.put("keyed.servers", instance.name, b"")

    def open_heads(self):
        return [
            instance
            for instance in self.instances.values()
            if instance.member is not None
            and instance.member.state == "open"
            and instance.member.rank == 0
            and not instance.dead
        ]

    def check_own_group_not_serving(self, instance, order):
        """Record a violation if an instance leaves a group whose head still serves.

        A group of the same name under another head counts as another group.
        """
        member = instance.member
        if member is None:
            return
        is_same_group = member.group == order["group"]
        if is_same_group and member.members[0] == order["members"][0]:
            return
        head = self.instances[member.members[0]]
        head_membership = head.member
        serves = (
            not head.dead
            and head_membership is not None
            and (head_membership.group, head_membership.epoch)
            == (member.group, member.epoch)
            and head_membership.state in ("open", "closing")
        )
        if serves:
            self.violations.append(
                f"{instance.name} leaves the serving {member.group}/{member.epoch} "
                f"for {order['group']}/{order['epoch']}"
            )

    def check_members_ready(self, head):
        """Record a violation if a group serves before all members were ready."""
        member = head.member
        size = MODELS[member.model][0]
        if len(member.members) != size:
            self.violations.append(f"{member.group} serves with too few members")
        for name in member.members:
            if (name, member.group, member.epoch) not in self.ready_members:
                self.violations.append(
                    f"{member.group}/{member.epoch} serves, but {name} was never ready"
                )
