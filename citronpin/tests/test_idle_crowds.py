"""Tests what a calm deployment of 90 entries costs: store calls and idle entries."""

from statistics import median

import pytest

from citronpin.basics.clocks import PausedClock
from citronpin.tests.platforms.crowds import Crowd

ENTRIES = 90
START_S = 8.0  # from the first start until all entries have their roles
MEASURED_S = 22.0
# Half of the calls that ecff24b makes in the same 30 s, which are 5,220.
MAX_STORE_CALLS = 2_610


@pytest.fixture(scope="module")
def crowd(tmp_path_factory):
    """Return a crowd that has been calm for a while after its start."""
    clock = PausedClock()
    path = tmp_path_factory.mktemp("crowd") / "settings.json"
    crowd = Crowd(clock=clock, entries=ENTRIES, settings_path=path)
    clock.advance(START_S)
    crowd.instances.is_before_traffic = False
    crowd.entries[0].node.fabrics.traffic_began = True
    crowd.start_measuring()
    clock.advance(MEASURED_S)
    return crowd


def test_a_calm_crowd_makes_few_calls_to_the_store(crowd):
    # Each call is priced, and those of 90 entries were the largest cost of a calm run.
    print(sorted(crowd.calls().items()))
    assert crowd.calls().total() <= MAX_STORE_CALLS
