"""Entries that are cut off from all instances serve their callers all the same."""

import pytest

from citronpin.platform.names import HEADERS
from citronpin.tests.platforms.crashes import CrashWorld
from citronpin.tests.platforms.cuts import Cut, check_served_alike, cut_off, heal

STEP_S = 0.01
WARM_UP_S = 2.0
CUT_S = 8.0


class CutWorld(CrashWorld):
    """Entries, of which some are cut off; `first_tries` has what callers got."""

    def __init__(self, *, clock, entries=9, **options):
        super().__init__(clock=clock, entries=entries, **options)
        self.first_tries = []  # (clock time in s, entry, reply)
        self.cut_s = None  # when the latest cut began
        self.cut_entries = []
        self.down = []  # entries that get no callers
        self.kinds = ("stream",) * 14 + ("read",) * 3 + ("swap",) * 3  # to draw from

    def cut(self, count, how, replicas=None):
        """Cut the first entries off from replicas, all by default."""
        self.cut_s = self.clock.now()
        self.cut_entries = self.entries[:count]
        for entry in self.cut_entries:
            cut_off(entry, replicas or self.all_replicas(), how)

    def heal(self):
        for entry in self.cut_entries:
            heal(entry)

    def send_first_try(self):
        """Send a request of a random kind to a random entry."""
        entry = self.rng.choice([one for one in self.entries if one not in self.down])
        kind = self.rng.choice(self.kinds)
        if kind == "stream":
            reply = self.send(f"a{self.rng.randrange(5)}", entry=entry)
        elif kind == "read":
            reply = entry.send("/look-up/1", "GET", b"", **{HEADERS.model: None})
        else:
            reply = entry.send("/swap/1", **{HEADERS.model: None})
        self.first_tries.append((self.clock.now(), entry, reply))

    def serve(self, seconds, per_s=90):
        """Send first tries at an even rate for some seconds."""
        for step in range(round(seconds / STEP_S)):
            due = int((step + 1) * STEP_S * per_s) - int(step * STEP_S * per_s)
            for _ in range(due):
                self.send_first_try()
            self.clock.advance(STEP_S)

    def check(self):
        check_served_alike(
            self.first_tries, cut_entries=self.cut_entries, since_s=self.cut_s
        )


@pytest.mark.parametrize("how", [Cut.HANG, Cut.RESET, Cut.MUTE, Cut.CLOSE])
@pytest.mark.parametrize("count", [1, 6])
def test_callers_of_entries_without_a_path_to_an_instance_are_served(
    paused_clock, how, count
):
    # Incident inc1: such entries refused or lost nearly all that they got.
    world = CutWorld(clock=paused_clock)
    world.serve(WARM_UP_S)
    world.cut(count, how)
    world.serve(CUT_S)
    paused_clock.advance(2.0)
    world.check()


@pytest.mark.parametrize("count", [1, 6])
def test_unsafe_requests_are_served_while_instances_refuse_new_connections(
    paused_clock, count
):
    world = CutWorld(clock=paused_clock)
    world.kinds = ("swap",)
    world.serve(WARM_UP_S, per_s=60)
    world.cut(count, Cut.FULL)
    world.serve(CUT_S, per_s=60)
    paused_clock.advance(2.0)
    world.check()


@pytest.mark.parametrize("how", [Cut.RESET, Cut.CLOSE])
def test_a_reset_of_all_connections_quarantines_no_request(paused_clock, how):
    # The same stream is in progress at many instances when an entry is cut off.
    world = CutWorld(clock=paused_clock)
    world.serve(WARM_UP_S)
    world.cut(6, how)
    for _ in range(200):
        world.serve(0.02)
        now_s = paused_clock.now()
        assert not any(entry.quarantine.rows(now_s=now_s) for entry in world.entries)


@pytest.mark.parametrize("how", [Cut.HANG, Cut.RESET, Cut.MUTE, Cut.CLOSE])
def test_entries_that_are_cut_off_let_the_others_use_all_instances(paused_clock, how):
    world = CutWorld(clock=paused_clock, replicas=12)
    world.serve(WARM_UP_S, per_s=60)
    world.cut(6, how)
    for _ in range(40):
        world.serve(0.1, per_s=60)
        sound = world.entries[-1]
        now_s = paused_clock.now()
        if now_s >= world.cut_s + 1.5:
            avoided = [
                known.id
                for known in sound.fleet.all()
                if sound.suspects.is_avoided(known.id, now_s=now_s)
            ]
            assert not avoided
