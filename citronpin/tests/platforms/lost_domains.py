"""Failure domains that are lost and return: entries with callers, and with groups."""

import json
import random
from collections import Counter
from functools import partial

import msgspec

from citronpin.basics.ids import FailureDomainName
from citronpin.gateway.budgets import RetryBudget
from citronpin.platform.names import HEADERS
from citronpin.platform.orders import ORDER_PATH
from citronpin.tests.platforms.crowds import Crowd
from citronpin.tests.platforms.cuts import addresses_of, cut_off, heal
from citronpin.tests.platforms.instances import HEARTBEAT_INTERVAL_S
from citronpin.tests.platforms.simulations import STORE_ADDRESS
from citronpin.tests.test_cuts import CutWorld

DOMAINS = ("a", "b", "c")
LOST = "a"
ENTRIES = 89
REQUESTS_PER_S = 228
PLAIN_INSTANCES = 6
START_S = 8.0  # from the first start until all entries have their roles
SETTLE_S = 8.0  # until orders of the start have been carried out
CHECK_STEP_S = 0.05


class LostDomainWorld(CutWorld):
    """Entries with callers in three failure domains, which share facts."""

    def __init__(self, *, clock, entries=ENTRIES, seed=1):
        super().__init__(
            clock=clock,
            entries=entries,
            books=PLAIN_INSTANCES,
            seed=seed,
            failure_domains=DOMAINS,
            share_facts=True,
        )
        self.domain_of = {
            replica.name: DOMAINS[number % len(DOMAINS)]
            for number, replica in enumerate(self.all_replicas())
        }
        self.failed_s = {}  # instance -> clock time of the first failed connection
        for entry in self.entries:
            entry.client.connection_listeners.append(self._failure_recorder(entry))
            # By default, all entries draw the same instances.
            entry.reach._rng = random.Random(f"probes/{entry.name}")
            entry.context.placer._rng = random.Random(f"places/{entry.name}")
            entry.context.placer._failure_domain = entry.failure_domain
            for known in list(entry.fleet.all()):
                domain = FailureDomainName(self.domain_of[known.id])
                entry.fleet.register(
                    msgspec.structs.replace(known, failure_domain=domain),
                    now_s=clock.now(),
                )
        self.lost_s = None

    def send_first_try(self):
        """Send a request of a random kind, with an id of its own, to an entry."""
        up = [entry for entry in self.entries if entry not in self.down]
        entry = self.rng.choice(up)
        kind = self.rng.choice(self.kinds)
        path, method, model = {
            "stream": ("/draft/1", "POST", "small"),
            "read": ("/look-up/1", "GET", None),
            "swap": ("/swap/1", "POST", None),
        }[kind]
        name = f"{kind}-{len(self.first_tries)}"
        headers = {HEADERS.attempt: name, HEADERS.model: model}
        reply = entry.send(path, method, **headers)
        self.first_tries.append((self.clock.now(), entry, reply))

    def lost_replicas(self):
        return [x for x in self.all_replicas() if self.domain_of[x.name] == LOST]

    def lose(self, how):
        """Cut the entries and instances of a domain off from all others."""
        self.lost_s = self.clock.now()
        self.down = [x for x in self.entries if x.failure_domain == LOST]
        kept = [x for x in self.all_replicas() if self.domain_of[x.name] != LOST]
        for entry in self.entries:
            is_lost = entry in self.down
            cut_off(entry, kept if is_lost else self.lost_replicas(), how)
            others = [x for x in self.entries if (x in self.down) is not is_lost]
            entry.client.hanging |= {x.forward_address for x in others}
        for entry in self.down:
            self.network.isolate(f"tcp://{entry.name}")

    def give_back(self):
        for entry in self.entries:
            heal(entry)
        for entry in self.down:
            self.network.reconnect(f"tcp://{entry.name}")
        self.down = []

    def share_retries(self, ratio, slack, window_s):
        """Let all entries together send so many retries of each service."""
        for entry in self.entries:
            entry.context.make_budget = lambda: RetryBudget(
                ratio=ratio, slack=slack, window_s=window_s
            )
            entry.context.entry_count = len(self.entries)

    def _failure_recorder(self, entry):
        def record(address, is_connected):
            known = entry.fleet.at(address)
            if not is_connected and known is not None and entry not in self.down:
                self.failed_s.setdefault(known.id, self.clock.now())

        return record

    def connections(self):
        """Return the new connections of the other entries to lost instances.

        Each is a pair of clock time and instance, in the order of time.
        """
        found = []
        for entry in self.entries:
            if entry in self.down:
                continue
            lost = addresses_of(entry, self.lost_replicas())
            found += [
                (x.sent_s, entry.fleet.at(x.address).id)
                for x in entry.client.sent
                if x.address in lost and x.sent_s >= self.lost_s and not x.is_reused
            ]
        return sorted(found)


class LostDomainCrowd(Crowd):
    """Gateway nodes and fabric domains in three failure domains, without callers.

    The entries and instances of `LOST` are cut off together and return together. An
    instance that is only cut off keeps its group; one that is killed starts again.
    """

    def __init__(self, *, clock, settings_path, entries=24, seed=1):
        super().__init__(
            clock=clock,
            entries=entries,
            settings_path=settings_path,
            contracts=("pool",),
        )
        for instance in self.instances.instances.values():
            instance.zone = DOMAINS[int(instance.domain[1:]) % len(DOMAINS)]
        self.rng = random.Random(seed)
        self.losses = 0
        self.lost = []  # instances
        self.gone = []  # entries that are cut off or were killed
        self.faults = []
        self.call_counts = []  # (clock time in s, calls to the store by entry)
        clock.advance(START_S)
        self.instances.is_before_traffic = False
        self.entries[0].node.fabrics.traffic_began = True
        clock.advance(SETTLE_S)

    def lose(self, *, kill_instances=False, kill_entries=True):
        self.losses += 1
        self.lost = [x for x in self.instances.instances.values() if x.zone == LOST]
        self.gone = [x for x in self.alive() if x.node.cfg.failure_domain == LOST]
        for instance in self.lost:
            instance.cut_from_store = True
            if kill_instances:
                instance.kill()
        for entry in self.gone:
            if kill_entries:
                entry.stop()
            others = {one.address for one in self.alive()} - {
                one.address for one in self.gone
            }
            for other in others:
                self.network.cut_links |= {
                    (entry.address, other),
                    (other, entry.address),
                }
        self._set_paths()

    def give_back(self):
        """Let instances and entries that were cut off reach the others again."""
        for instance in self.lost:
            # Heartbeats are due at random times; those that start again register then.
            delay_s = self.rng.uniform(0.0, HEARTBEAT_INTERVAL_S)
            self.clock.call_later(delay_s, partial(self._return, instance, self.losses))
        for entry in self.gone:
            self.network.reconnect(entry.address)
            if entry.clock.is_stopped:
                self._start(entry.number)
        self.lost, self.gone = [], []
        self._set_paths()

    def _return(self, instance, losses):
        if losses != self.losses:
            return  # lost again in the meantime
        instance.cut_from_store = False
        if instance.dead:
            instance.restart()
        else:
            instance.write_entry()

    def _set_paths(self):
        lost = {instance.address for instance in self.lost}
        kept = {x.address for x in self.instances.instances.values()} - lost
        for entry in self.alive():
            is_gone = entry in self.gone
            entry.client.silent = kept | {STORE_ADDRESS} if is_gone else set(lost)

    def advance(self, seconds):
        """Advance the clock and check that each lease has one holder at most."""
        for _ in range(round(seconds / CHECK_STEP_S)):
            self.clock.advance(CHECK_STEP_S)
            for domain in {x.domain for x in self.instances.instances.values()}:
                holders = [x.name for x in self.alive() if x.holds(domain)]
                if len(holders) > 1:
                    self.faults.append((self.clock.now(), domain, holders))
            calls = Counter()
            for (entry, _, _), count in self.store.counts.items():
                calls[entry] += count
            self.call_counts.append((self.clock.now(), calls))

    def most_calls(self, entries, since_s):
        """Return the most calls of entries to the store in any second from then on."""
        names = {entry.name for entry in entries}
        totals = [
            (at_s, sum(count for name, count in calls.items() if name in names))
            for at_s, calls in self.call_counts
            if at_s >= since_s
        ]
        width = round(1.0 / CHECK_STEP_S)
        return max(end[1] - begin[1] for begin, end in zip(totals, totals[width:]))

    def joins_of(self, entries, since_s):
        """Return the members named in the join orders of entries from then on."""
        sent = [x for entry in entries for x in entry.client.sent]
        orders = [
            json.loads(x.body)
            for x in sent
            if x.target == ORDER_PATH and x.sent_s >= since_s
        ]
        return {name for order in orders for name in order.get("members", ())}

    def groups(self):
        """Return the members of each open group, by group and epoch."""
        return {
            (head.member.group, head.member.epoch): head.member.members
            for head in self.instances.open_heads()
        }

    def others(self):
        """Return the entries that are alive and not cut off."""
        return [entry for entry in self.alive() if entry not in self.gone]

    def domains_in(self, zone):
        """Return the fabric domains in a failure domain."""
        return {x.domain for x in self.instances.instances.values() if x.zone == zone}

    def groups_in(self, zone):
        """Return the whole groups in a failure domain."""
        return {
            name: members
            for name, members in self.whole_groups().items()
            if self.instances.instances[members[0]].zone == zone
        }

    def whole_groups(self):
        """Return the open groups whose members are all in it."""
        found = {}
        for (group, epoch), members in self.groups().items():
            states = [self.instances.instances[name].member for name in members]
            if all(
                x is not None and (x.group, x.epoch) == (group, epoch) for x in states
            ):
                found[group, epoch] = members
        return found
