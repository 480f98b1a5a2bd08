"""The limits that instances name, and the check of what reaches them."""

STABILITY_WINDOW_S = 3.0  # from the first answer that names a limit; all count after it
TOLD_S = 0.5  # from its first such answer an entry has to know the limit
WINDOW_S = 4.0
ALLOWED_SHARE = 1.5  # of the requests that the limit allows
ALLOWED_REQUESTS = 5  # and so many more


def limit_instances(replicas, rate):
    """Let instances name a limit in requests per second, or none any more."""
    for replica in replicas:
        replica.limit = rate


def count_excess(arrivals, told_s, rate):
    """Return by how many requests the worst window exceeds what is allowed.

    ``arrivals`` are pairs of clock time and entry; ``told_s`` has the clock time of the
    first limited answer of each entry.
    """
    first_s = min(told_s.values(), default=float("inf")) + STABILITY_WINDOW_S
    counted_s = sorted(
        at_s
        for at_s, entry in arrivals
        if at_s >= first_s and at_s >= told_s.get(entry, float("inf")) + TOLD_S
    )
    allowed = ALLOWED_SHARE * rate * WINDOW_S + ALLOWED_REQUESTS
    worst, begin = 0, 0
    for end, at_s in enumerate(counted_s):
        while counted_s[begin] < at_s - WINDOW_S:
            begin += 1
        worst = max(worst, end - begin + 1)
    return max(worst - allowed, 0.0)


def check_limit(replica, rate):
    """Check that a replica got no more than the limit that it named."""
    excess = count_excess(replica.arrivals, replica.named_s, rate)
    assert (
        not excess
    ), f"{excess:.1f} more requests in 4 s than a limit of {rate} allows"
