"""Many entries, most of which are cut off, serve their callers through the others."""

import pytest

from citronpin.gateway.fronts import ForwardHandler
from citronpin.tests.platforms.cuts import Cut, check_served_alike, cut_off, heal
from citronpin.tests.test_cuts import CutWorld

ENTRIES = 89
FIRST_TRIES_PER_S = 3 * ENTRIES
DOMAINS = ("a", "b", "c")
STABILITY_WINDOW_S = 4.0  # of a deployment of this size
WARM_UP_S = 1.0
CUT_S = 6.0
END_S = 2.0  # for answers in progress
DOWN_S = 2.0  # of an entry that restarts


class LargeCutWorld(CutWorld):
    """A deployment of `ENTRIES` entries in three failure domains."""

    def __init__(self, *, clock, seed=1):
        super().__init__(
            clock=clock, entries=ENTRIES, books=4, seed=seed, failure_domains=DOMAINS
        )

    def cut_entries_off(self, entries, how, replicas=None):
        self.cut_s = self.clock.now()
        self.cut_entries = list(entries)
        for entry in self.cut_entries:
            cut_off(entry, replicas or self.all_replicas(), how)

    def take_down(self, entry, how):
        """Let an entry take no requests of others, as if killed or stopped."""
        if how == "stop":
            entry.forwarded.stop()
            return
        for other in self.entries:
            other.client.unreachable.add(entry.forward_address)
            for exchange in list(other.client.sent):
                if exchange.address == entry.forward_address:
                    exchange.lose("killed")

    def bring_back(self, entry):
        entry.forwarded = ForwardHandler(
            context=entry.context, codec=entry.forward_codec
        )
        for other in self.entries:
            other.client.unreachable.discard(entry.forward_address)

    def choose(self, share):
        return self.rng.sample(self.entries, round(share * ENTRIES))

    def check(self):
        check_served_alike(
            self.first_tries,
            cut_entries=self.cut_entries,
            since_s=self.cut_s,
            stability_window_s=STABILITY_WINDOW_S,
        )


@pytest.fixture
def world(paused_clock):
    world = LargeCutWorld(clock=paused_clock)
    world.serve(WARM_UP_S, per_s=FIRST_TRIES_PER_S)
    return world


def serve_and_check(world, seconds=CUT_S):
    world.first_tries.clear()
    world.serve(seconds, per_s=FIRST_TRIES_PER_S)
    world.clock.advance(END_S)
    world.check()


@pytest.mark.parametrize(
    ("share", "how"),
    [(2 / 3, Cut.RESET), (0.9, Cut.HANG), (0.9, Cut.MUTE)],
)
def test_callers_are_served_where_most_entries_reach_no_instance(world, share, how):
    world.cut_entries_off(world.choose(share), how)
    serve_and_check(world)


def test_callers_are_served_where_a_failure_domain_reaches_no_instance(world):
    world.cut_entries_off(
        [entry for entry in world.entries if entry.failure_domain == "a"], Cut.HANG
    )
    serve_and_check(world)


def test_callers_are_served_where_most_entries_do_not_reach_one_service(world):
    world.kinds = ("read", "swap")
    world.cut_entries_off(world.choose(0.9), Cut.CLOSE, [*world.books.values()])
    serve_and_check(world)


def test_callers_are_served_where_other_entries_are_cut_off_next(world):
    for how in (Cut.RESET, Cut.HANG):
        world.cut_entries_off(world.choose(0.8), how)
        serve_and_check(world, seconds=5.5)
        for entry in world.entries:
            heal(entry)


@pytest.mark.parametrize("how", ["kill", "stop"])
def test_callers_are_served_while_entries_with_a_path_restart(world, how):
    world.cut_entries_off(world.choose(0.8), Cut.HANG)
    sound = [entry for entry in world.entries if entry not in world.cut_entries]
    world.first_tries.clear()
    for _ in range(round(CUT_S / DOWN_S)):
        world.down = world.rng.sample(sound, len(sound) // 3)
        for entry in world.down:
            world.take_down(entry, how)
        world.serve(DOWN_S, per_s=FIRST_TRIES_PER_S)
        for entry in world.down:
            world.bring_back(entry)
    world.clock.advance(END_S)
    world.check()
