"""Views of an entry's state for its admin pages."""

import resource
import time

from citronpin.wiring.admins import AdminPages

BYTES_PER_KB = 1024


def add_entry_views(pages: AdminPages, entry) -> None:
    """Add the views of ``entry`` to its admin pages."""
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
    """Return every group with its state and the reason why it gets no requests."""
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
    """Return each followed stream's lease and offset, and whether it is current."""
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
    """Return the live and the configured entries, the overlay and the link counters."""
    return {
        "entry": entry.id,
        "address": entry.peers.address,
        "alive": sorted(entry.peers.alive()),
        "known": sorted(entry.configuration.state.entries),
        "overlay": entry.peers.neighbours(),
        "counters": entry.peers.counters,
    }


def limits_view(entry) -> dict:
    """Return the customers' limits, the requests in flight and the HTTP counters."""
    return {
        "in_flight": entry.caller_api.in_flight,
        "open_calls": entry.calls.open_calls(),
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
    """Return CPU seconds, peak resident memory in bytes and the number of events."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "cpu_s": time.process_time(),
        "memory_bytes": usage.ru_maxrss * BYTES_PER_KB,
        "events": len(entry.recorder.since(0)),
    }


def traffic_view(entry) -> dict:
    """Return the traffic counters of control since the start of the entry."""
    return {
        "peers": entry.peers.counters,
        "log_and_engines": entry.control_client.counters,
        "probes": entry.watcher.probes,
    }
