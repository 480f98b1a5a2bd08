"""Cuts between entries and instances, and the check of what callers get meanwhile."""

import enum

STABILITY_WINDOW_S = 3.0  # from the begin of a cut; first tries count after it
MIN_SERVED_RATIO = 2 / 3  # of the share that the other entries serve
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 1 / 50


class Cut(enum.Enum):
    """What becomes of the connections between an entry and the instances."""

    HANG = "hang"  # old and new ones hang
    RESET = "reset"  # old ones are reset, new ones are refused
    FULL = "full"  # old ones live on, new ones are refused
    MUTE = "mute"  # new ones are accepted, and nothing passes on any
    CLOSE = "close"  # old ones are closed, new ones are accepted and closed unread


def cut_off(entry, replicas, how):
    """Cut an entry off from some replicas."""
    addresses = addresses_of(entry, replicas)
    client = entry.client
    if how is Cut.HANG:
        client.hanging |= addresses
    elif how is Cut.FULL:
        client.full |= addresses
    elif how is Cut.MUTE:
        client.mute |= addresses
    else:
        refusing = client.closing if how is Cut.CLOSE else client.unreachable
        refusing |= addresses
        for exchange in list(client.sent):
            if exchange.address in addresses:
                exchange.lose("reset by the cut")


def heal(entry):
    """Let an entry reach all replicas again; what hung passes on."""
    client = entry.client
    client.hanging.clear()
    client.full.clear()
    client.unreachable.clear()
    client.mute.clear()
    client.closing.clear()
    for exchange in list(client.sent):
        exchange.release()


def addresses_of(entry, replicas):
    """Return the addresses at which an entry reaches replicas."""
    names = {replica.name for replica in replicas}
    return {known.address for known in entry.fleet.all() if known.id in names}


def is_served(reply):
    """Return whether a caller got its whole answer."""
    return reply.status == 200 and reply.ended and not reply.aborted


def check_served_alike(
    first_tries, *, cut_entries, since_s, stability_window_s=STABILITY_WINDOW_S
):
    """Check that callers of entries that are cut off are served as the others are.

    ``first_tries`` are triples of clock time, entry and reply; those count that came a
    stability window after ``since_s``.
    """
    counted = [try_ for try_ in first_tries if try_[0] >= since_s + stability_window_s]
    served = {True: [], False: []}
    for _, entry, reply in counted:
        served[entry in cut_entries].append(is_served(reply))
    here, others = served[True], served[False]
    failures = here.count(False) + others.count(False)
    allowed = ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * len(counted)
    share = sum(here) / len(here)
    expected = sum(others) / max(len(others), 1)
    assert share >= MIN_SERVED_RATIO * expected or failures <= allowed, (
        f"entries that are cut off served {sum(here)} of {len(here)} first tries, "
        f"the others {sum(others)} of {len(others)}"
    )
