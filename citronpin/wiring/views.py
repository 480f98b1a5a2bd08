"""What the admin pages of an entry show."""

import resource
import time

from citronpin.wiring.admins import AdminPages

BYTES_PER_KB = 1024


def add_entry_views(pages: AdminPages, entry) -> None:
    """Add the views of an entry to its pages."""
    views = {
        "gate": lambda: {"entry": entry.id, "state": entry.gate.state().value},
        "configuration": entry.configuration.view,
        "groups": lambda: groups_view(entry),
        "members": lambda: entry.membership.view,
        "leases": lambda: leases_view(entry),
        "peers": lambda: peers_view(entry),
        "limits": lambda: limits_view(entry),
        "process": lambda: process_view(entry),
        "traffic": lambda: traffic_view(entry),
    }
    for name, view in views.items():
        pages.add_view(name, view)


def groups_view(entry) -> list[dict]:
    """Return every group with its state and why it may not get work."""
    return [
        {
            "id": group.id,
            "deployment": group.deployment,
            "state": group.state.value,
            "members": group.members,
            "model": group.model,
            "version": group.version,
            "adapters": group.adapters,
            "fence": group.fence,
            "reason": group.reason,
            "usable": entry.usable(group.id),
            "withheld": entry.readiness.explain(group.id),
        }
        for group in entry.directory.groups()
    ]


def leases_view(entry) -> dict:
    """Return the lease of each stream and the age of what is known."""
    states = entry.states
    return {
        stream: {
            "holder": states.state(stream).lease.holder,
            "fence": states.state(stream).lease.fence,
            "offset": states.state(stream).offset,
            "current": states.is_current(stream),
        }
        for stream in states.streams()
    }


def peers_view(entry) -> dict:
    """Return the living entries and what was sent and received."""
    return {
        "entry": entry.id,
        "address": entry.peers.address,
        "alive": sorted(entry.peers.alive()),
        "known": sorted(entry.configuration.state.entries),
        "overlay": entry.peers.neighbours(),
        "counters": entry.peers.counters,
    }


def limits_view(entry) -> dict:
    """Return the limits of customers and the requests in flight."""
    return {
        "in_flight": entry.api.in_flight,
        "open_calls": entry.calls.open_calls,
        "open_connections": entry.server.http.open_connections,
        "http": entry.server.http.counters,
        "customers": {
            customer.name: {
                "share": customer.share,
                "priority": customer.priority,
                "requests_per_s": customer.requests_per_s,
                "tokens_per_s": customer.tokens_per_s,
            }
            for customer in entry.configuration.customers.values()
        },
    }


def process_view(entry) -> dict:
    """Return processor seconds and the highest resident memory in bytes."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "cpu_s": time.process_time(),
        "memory_bytes": usage.ru_maxrss * BYTES_PER_KB,
        "events": len(entry.recorder.since(0)),
    }


def traffic_view(entry) -> dict:
    """Return what was sent and received for control since the start."""
    return {
        "peers": entry.peers.counters,
        "log_and_engines": entry.client.counters,
        "probes": entry.watcher.probes,
    }
