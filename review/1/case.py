"""Entries of another writer among the replicas end the repair of groups for good."""

import asyncio
import json
import os
import random
import time
from collections import Counter
from pathlib import Path

from review.systems import CannotRun, run_case
from review.wire import ClientChannel

DAY_S = 92.0
FOREIGN_AT_S = 1.0
FOREIGN_KEYS = (b"h\xf6st-1", b"h\xf6st-2")  # not UTF-8, so they cannot be read
CRASHES_AT_S = (3.0, 8.0, 13.0, 18.0)
DOWN_S = 4.5
PER_S = 12
SHARES = {"draft": 0.9, "swap": 0.07, "look-up": 0.03}
MAX_FAILED_SHARE = 0.6  # of the requests that are owed
# `FOREIGN=0` plays the crashes alone, which has to hold.
HAS_FOREIGN_ENTRIES = os.environ.get("FOREIGN", "1") != "0"


def write_foreign_entry(system, key):
    """Write an entry of another writer, with an unreadable key and fields missing."""
    fields = {
        "service": "engines",
        "address": "127.0.0.1:9",
        "zone": "a",
        "state": "ready",
        "domain": "d0",
    }
    system.record("foreign entry", key=repr(key), **fields)
    record = bytes([len(key)]) + key + json.dumps(fields).encode()
    system.store.topic("keyed.servers").append(record)


async def disrupt(system):
    """Crash a member of a whole group now and then; each is back before the next."""
    start_s = time.monotonic()
    await asyncio.sleep(FOREIGN_AT_S)
    if HAS_FOREIGN_ENTRIES:
        for key in FOREIGN_KEYS:
            write_foreign_entry(system, key)
    for at_s in CRASHES_AT_S:
        await asyncio.sleep(start_s + at_s - time.monotonic())
        head = next((head for head in system.heads() if head.is_whole), None)
        if head is not None:
            await system.crash(system.replicas[head.members[1]], DOWN_S)


async def case(system, trouble):
    await system.start(entries=2, engines=6)
    rng = random.Random(1)
    start_s = time.monotonic()

    async def send_one(number):
        await asyncio.sleep(number / PER_S)
        route = rng.choices(list(SHARES), list(SHARES.values()))[0]
        entry = system.entries[number % len(system.entries)]
        channel = ClientChannel(port=entry.front)
        deadline_ms = 6000 if route == "draft" else 1500
        answer = await system.send(channel, route, deadline_ms=deadline_ms)
        channel.close()
        answer.route, answer.at_s = route, answer.sent_s - start_s
        return answer

    disruption = asyncio.ensure_future(disrupt(system)) if trouble else None
    answers = await asyncio.gather(*map(send_one, range(int(DAY_S * PER_S))))
    if disruption is not None:
        await disruption
    good = [answer for answer in answers if answer.status == 200 and answer.complete]
    for route in SHARES:
        owed = Counter(int(a.at_s // 10) * 10 for a in answers if a.route == route)
        served = Counter(int(a.at_s // 10) * 10 for a in good if a.route == route)
        rows = {f"from {at_s} s": f"{served[at_s]} of {owed[at_s]}" for at_s in owed}
        system.record("served", route=route, **dict(sorted(rows.items())))
    if not good:
        raise CannotRun("nothing is served")
    failed_share = 1 - len(good) / len(answers)
    system.record("failed", share=round(failed_share, 3))
    if failed_share <= MAX_FAILED_SHARE:
        return []
    return [f"{failed_share:.2f} of the requests owed were refused or failed"]


run_case(case, Path(__file__).parent)
