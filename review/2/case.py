"""A replica hands out bytes that are no response in the body of a stream."""

import asyncio
import random
from pathlib import Path

from review.replicas import LAST_EVENT, event
from review.systems import CannotRun, run_case
from review.wire import ClientChannel, chunk_bytes, head_bytes

REQUESTS = 100  # within the 5 s of the disruption
SPACING_S = 0.05
GARBLED = {40: True, 60: False}  # arrival at the replicas -> whether without end
EVENTS_BEFORE = 6
GARBAGE_BYTES = 8192  # every 5 ms
GARBAGE_PIECES = 40  # of the answer that breaks off after them
WHOLE = b"".join(event(number) for number in range(LAST_EVENT + 1))


class GarbledReplica:
    """Serves as a sound replica does, but for the answers in ``GARBLED``."""

    arrivals = 0  # of all replicas of the service
    pending = []  # whether the next garbled answers are without end

    def __init__(self, *, replica, is_garbling, record):
        self._replica = replica
        self._is_garbling = is_garbling
        self._record = record

    async def serve(self, req, writer, echo):
        cls = GarbledReplica
        cls.arrivals += 1
        if cls.arrivals in GARBLED:
            cls.pending.append(GARBLED[cls.arrivals])
        if not self._is_garbling or not cls.pending:
            await self._replica.serve_soundly(req, writer, echo)
            return
        is_endless = cls.pending.pop(0)
        attempt = echo["X-Citronpin-Attempt-Id"]
        self._record("garbled", attempt=attempt, without_end=is_endless)
        headers = {
            **echo,
            "X-Citronpin-Response-Signature": "3e1b.07",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(head_bytes(200, headers))
        await self._replica.send_events(req, writer, last=EVENTS_BEFORE - 1)
        rng = random.Random(1)
        pieces = 0
        while is_endless or pieces < GARBAGE_PIECES:
            pieces += 1
            writer.write(chunk_bytes(rng.randbytes(GARBAGE_BYTES)))
            await writer.drain()
            await asyncio.sleep(0.005)
            if writer.is_closing():
                break
        writer.close()


async def case(system, trouble):
    await system.start(entries=2, engines=6)
    heads = system.heads()
    if trouble:
        # One of three replicas hands out wrong bytes in 2 of 100 answers.
        for head in heads:
            head.serve = GarbledReplica(
                replica=head, is_garbling=head is heads[0], record=system.record
            ).serve

    async def send_one(number):
        await asyncio.sleep(number * SPACING_S)
        entry = system.entries[number % len(system.entries)]
        channel = ClientChannel(port=entry.front)
        answer = await system.send(channel, "draft")
        channel.close()
        return answer

    answers = await asyncio.gather(*map(send_one, range(REQUESTS)))
    # Foreign bytes in an answer that is not complete are excused where the replica
    # itself broke off.
    endless = {
        row["attempt"]
        for row in system.record.rows
        if row["kind"] == "garbled" and row["without_end"]
    }
    if sum(answer.body == WHOLE for answer in answers) < REQUESTS // 2:
        raise CannotRun("most streams are not served")
    return [
        f"{answer.attempt}: {len(answer.body)} bytes of a 200 answer that are not the "
        f"events of the stream, complete: {answer.complete}"
        for answer in answers
        if answer.status == 200
        and not WHOLE.startswith(answer.body)
        and (answer.complete or answer.attempt in endless)
    ]


run_case(case, Path(__file__).parent)
