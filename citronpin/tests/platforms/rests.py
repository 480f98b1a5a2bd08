"""The checks of what reaches instances that ask for rest, or that leave."""

TOLD_S = 0.5  # from its answer an entry has to leave an instance alone
MAX_REQUESTS = 2  # that may still come until the end
DRAIN_S = 2.0  # from an answer that says that the instance leaves


def count_in_rests(replica):
    """Return the most requests that reached a replica in a rest it asked an entry for.

    Times without a number ask for none.
    """
    counts = [0]
    for asked_s, entry, value in replica.rested:
        end_s = asked_s + float(value)
        counts.append(
            sum(
                asked_s + TOLD_S < at_s < end_s
                for at_s, sender in replica.arrivals
                if sender is entry
            )
        )
    return max(counts)


def check_rests(replicas):
    """Check that entries leave replicas alone that asked them for rest."""
    for replica in replicas:
        count = count_in_rests(replica)
        assert count <= MAX_REQUESTS, f"{count} requests reached one in its rest"


def check_leaving(replicas):
    """Check that no request reaches a replica whose leaving an entry passed on."""
    for replica in replicas:
        late = [
            at_s
            for at_s, entry in replica.arrivals
            if at_s > replica.left_s.get(entry, float("inf")) + DRAIN_S
        ]
        assert not late, f"{len(late)} requests reached one that leaves"
