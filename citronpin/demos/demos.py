"""The demonstration: a whole system on loopback, its failures and its promises."""

import http.client
import json
import logging
import threading
import time
from collections.abc import Callable
from importlib import resources
from pathlib import Path

import msgspec

from citronpin.basics.errors import CitronpinError
from citronpin.basics.ids import new_id
from citronpin.basics.timelines import from_jsonl, merge_events, to_page
from citronpin.demos.embedded import Embedded, EngineSpec, ServiceSpec, wait_for
from citronpin.standins.standin_batches import EngineSpeed
from citronpin.standins.standin_memberships import ABSENT
from citronpin.standins.standin_texts import answer_to
from citronpin.state.instances import InstanceState
from citronpin.state.manifest_files import read_manifests
from citronpin.state.states import GroupState
from citronpin.web.fetches import Fetch, fetch_all

logger = logging.getLogger(__name__)

SITES = ("sapporo", "hakodate", "asahikawa")
ROTA_KEY = "odori-demo-key"
ASSAY_KEY = "bench-demo-key"
ROTA_PROMPT = "Draft the rota for Sunday."
ASSAY_PROMPT = "Draft the certificate of lot 41."
BOOT_LIMIT_S = 40.0
REPAIR_LIMIT_S = 60.0
ANSWER_TIMEOUT_S = 40.0
TOKENS_PER_S = 40.0
CERTIFICATE_TOKENS = 120
KILL_AFTER_S = 0.8
LIST_LAG_S = 2.0  # the membership list drops a dead instance this much later
GOOD_STATUSES = range(200, 300)


class Promise(msgspec.Struct, frozen=True):
    """One promise, what was seen, and whether it held."""

    promise: str
    seen: str
    held: bool


class Answer(msgspec.Struct, frozen=True):
    """What a caller of the demonstration got."""

    status: int
    outcome: str
    text: str
    whole: bool


def demo_system() -> Embedded:
    """Return the system of the demonstration, not yet started."""
    engines = [
        EngineSpec(id=f"engine-s{n}", domain="fabric-s", failure_domain="sapporo")
        for n in range(6)
    ]
    engines += [
        EngineSpec(
            id=f"engine-h{n}",
            domain="fabric-h",
            failure_domain="hakodate",
            checks_fence=n % 2 == 0,
        )
        for n in range(6)
    ]
    services = [
        ServiceSpec(id=f"rota-{n}", application="rota", failure_domain=SITES[n])
        for n in range(3)
    ]
    services.append(
        ServiceSpec(id="ledger-0", application="ledger", failure_domain="hakodate")
    )
    return Embedded(
        failure_domains=SITES,
        engines=tuple(engines),
        services=tuple(services),
        speed=EngineSpeed(tokens_per_s=TOKENS_PER_S),
    )


def post(address: str, target: str, key: str, body: dict, headers: dict) -> Answer:
    """Send a request as a caller would and read the answer to its end."""
    conn = http.client.HTTPConnection(address, timeout=ANSWER_TIMEOUT_S)
    try:
        sent = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        conn.request("POST", target, json.dumps(body), sent | headers)
        got = conn.getresponse()
        data = got.read()
    finally:
        conn.close()
    outcome = got.headers.get("Citronpin-Outcome", "")
    if got.headers.get("Content-Type") != "text/event-stream":
        return Answer(got.status, outcome, data.decode(), got.status in GOOD_STATUSES)
    return _read_events(got.status, data)


def _read_events(status: int, data: bytes) -> Answer:
    events = [part[6:] for part in data.split(b"\n\n") if part.startswith(b"data: ")]
    whole = bool(events) and events[-1] == b"[DONE]"
    text, outcome = "", "complete" if whole else "partial"
    for event in events:
        if event == b"[DONE]":
            continue
        value = json.loads(event)
        for choice in value.get("choices", ()):
            text += choice["delta"].get("content") or ""
    return Answer(status, outcome, text, whole)


class Demo:
    """Runs the steps one after another and collects what was promised and seen."""

    def __init__(self, *, system: Embedded, say: Callable[[str], None]) -> None:
        self._system = system
        self._say = say
        self.promises: list[Promise] = []

    def run(self) -> bool:
        """Run all steps; return whether every promise held."""
        self._boot()
        self._draft_rota()
        self._post_swap_twice()
        self._kill_member_during_certificate()
        self._drain_instance()
        self._stop_entry_under_load()
        return all(promise.held for promise in self.promises)

    def _note(self, promise: str, seen: str, held: bool) -> None:
        self.promises.append(Promise(promise, seen, held))
        self._say(f"  {'held' if held else 'BROKEN'}: {promise}: {seen}")

    def _entry(self, number: int = 0) -> str:
        addresses = self._system.addresses()
        return addresses[number % len(addresses)]

    def _groups(self, deployment: str) -> list:
        """Return the serving groups that every entry may dispatch to."""
        entries = list(self._system.entries.values())
        return [
            group
            for group in entries[0].directory.serving(deployment)
            if all(entry.usable(group.id) for entry in entries)
        ]

    def _boot(self) -> None:
        self._say("Publishing the manifests of Kanekura and Moulin-Ramdin ...")
        for name in ("kanekura", "moulin"):
            path = resources.files("citronpin").joinpath("samples", f"{name}.toml")
            verdict = self._system.publish(read_manifests(path).ok_value)
            begun_s = time.monotonic()
            reached = wait_for(lambda: self._in_force(verdict.offset), BOOT_LIMIT_S)
            spent_s = time.monotonic() - begun_s
            self._note(
                "an accepted change is in force on every entry within 3 s",
                f"{name} at offset {verdict.offset}, {spent_s:.2f} s after acceptance",
                verdict.accepted and reached and spent_s <= 3.0,
            )
        wanted = {"rota": 2, "assay": 1}
        formed = wait_for(
            lambda: all(len(self._groups(n)) >= w for n, w in wanted.items()),
            BOOT_LIMIT_S,
        )
        seen = {name: len(self._groups(name)) for name in wanted}
        self._note("the groups that the manifests want serve", str(seen), formed)

    def _in_force(self, offset: int) -> bool:
        return all(
            entry.configuration.offset >= offset
            for entry in self._system.entries.values()
        )

    def _chat(self, address, model, key, prompt, tokens=None) -> Answer:
        body = {
            "model": model,
            "stream": True,
            "messages": [{"role": "user", "content": prompt}],
        }
        if tokens is not None:
            body["max_tokens"] = tokens
        return post(address, "/v1/chat/completions", key, body, {})

    def _draft_rota(self) -> None:
        self._say("Streaming the draft of a rota ...")
        answer = self._chat(self._entry(), "rota", ROTA_KEY, ROTA_PROMPT)
        messages = [{"role": "user", "content": ROTA_PROMPT}]
        wanted = answer_to({"messages": messages}).text
        held = answer.whole and answer.text == wanted
        seen = f"{len(answer.text)} characters, {answer.outcome}"
        self._note("a caller gets the whole answer to its own request", seen, held)

    def _post_swap_twice(self) -> None:
        self._say("Posting one swap twice under one key, on two entries ...")
        key = new_id()
        body = {"bell": 4, "from": "Aoi", "to": "Ren"}
        headers = {"Idempotency-Key": key}
        target = "/applications/rota/swaps"
        answers = [
            post(self._entry(number), target, ROTA_KEY, body, headers)
            for number in range(2)
        ]
        count = self._system.effects().get(key, 0)
        same = answers[0].text == answers[1].text
        outcomes = " and ".join(answer.outcome for answer in answers)
        self._note(
            "a swap that must not be repeated runs once",
            f"{count} effect, answers {outcomes}, {'equal' if same else 'different'}",
            count == 1 and same and answers[0].whole,
        )

    def _kill_member_during_certificate(self) -> None:
        self._say("Killing a member in the middle of a certificate ...")
        group = self._groups("assay")[0]
        victim = group.members[0]
        box: list[Answer] = []
        caller = threading.Thread(
            target=lambda: box.append(
                self._chat(
                    self._entry(),
                    "assay",
                    ASSAY_KEY,
                    ASSAY_PROMPT,
                    CERTIFICATE_TOKENS,
                )
            )
        )
        caller.start()
        time.sleep(KILL_AFTER_S)
        killed_s = time.monotonic()
        self._system.kill(victim)
        withheld = wait_for(lambda: not self._usable_anywhere(group.id), 10.0)
        spent_s = time.monotonic() - killed_s
        self._note(
            "a group with a member missing gets nothing more within 2 s",
            f"{group.id} without {victim} was withheld after {spent_s:.2f} s",
            withheld and spent_s <= 2.0,
        )
        time.sleep(LIST_LAG_S)
        self._list(victim, ABSENT)
        caller.join(ANSWER_TIMEOUT_S)
        self._judge_certificate(box)
        mended = wait_for(lambda: len(self._groups("assay")) >= 1, REPAIR_LIMIT_S)
        spent_s = time.monotonic() - killed_s
        self._note(
            "the group is repaired from the spares of a fabric domain",
            f"an assay group serves again {spent_s:.1f} s after the death",
            mended,
        )

    def _list(self, instance, state: str) -> None:
        membership = self._system.membership
        self._system.call("membership", lambda: membership.set_state(instance, state))

    def _usable_anywhere(self, group) -> bool:
        return any(entry.usable(group) for entry in self._system.entries.values())

    def _judge_certificate(self, box: list[Answer]) -> None:
        messages = [{"role": "user", "content": ASSAY_PROMPT}]
        body = {"messages": messages, "max_tokens": CERTIFICATE_TOKENS}
        wanted = answer_to(body).text
        answer = box[0] if box else Answer(0, "none", "", False)
        truthful = answer.text == wanted if answer.whole else answer.outcome != ""
        self._note(
            "a broken answer is whole in the end or says that it is not",
            f"{answer.outcome}, {len(answer.text)} of {len(wanted)} characters",
            bool(box) and truthful and wanted.startswith(answer.text),
        )

    def _drain_instance(self) -> None:
        self._say("Draining an instance of a serving group ...")
        group = self._groups("rota")[0]
        leaving = group.members[-1]
        box: list[Answer] = []
        caller = threading.Thread(
            target=lambda: box.append(
                self._chat(self._entry(1), "rota", ROTA_KEY, ROTA_PROMPT, 80)
            )
        )
        caller.start()
        self._list(leaving, InstanceState.LEAVING.value)
        freed = wait_for(lambda: not self._assigned(leaving), REPAIR_LIMIT_S)
        caller.join(ANSWER_TIMEOUT_S)
        whole = bool(box) and box[0].whole
        self._note(
            "a leaving instance is freed and cuts off no request",
            f"{leaving} {'is free' if freed else 'is still assigned'}; the request "
            f"in flight was {box[0].outcome if box else 'lost'}",
            freed and whole,
        )

    def _assigned(self, instance) -> bool:
        entry = next(iter(self._system.entries.values()))
        states = (GroupState.RELEASING,)
        return any(
            instance in group.members and group.state not in states
            for group in entry.directory.groups()
        )

    def _stop_entry_under_load(self) -> None:
        self._say("Stopping an entry while it streams ...")
        name = next(iter(self._system.entries))
        address = self._system.entries[name].server.address
        wait_for(lambda: len(self._groups("rota")) >= 1, REPAIR_LIMIT_S)
        box: list[Answer] = []
        caller = threading.Thread(
            target=lambda: box.append(
                self._chat(address, "rota", ROTA_KEY, ROTA_PROMPT, 60)
            )
        )
        caller.start()
        time.sleep(0.4)
        runner = self._system.runner(name)
        self._system.drain(name)
        caller.join(ANSWER_TIMEOUT_S)
        stopped = wait_for(lambda: not runner.running, ANSWER_TIMEOUT_S)
        self._note(
            "a planned stop cuts off nothing",
            f"the stream was {box[0].outcome if box else 'lost'}; the entry "
            f"{'ended' if stopped else 'still runs'}",
            stopped and bool(box) and box[0].whole,
        )


def table(promises: list[Promise]) -> str:
    """Return the promises as lines of text."""
    width = max(len(promise.promise) for promise in promises)
    lines = [f"{'promise':{width}s}  held  seen"]
    for promise in promises:
        held = "yes" if promise.held else "NO"
        lines.append(f"{promise.promise:{width}s}  {held:4s}  {promise.seen}")
    return "\n".join(lines)


def write_timeline(addresses: tuple[str, ...], system: Embedded, path: Path) -> int:
    """Write the merged time line of all entries and return how many events it has."""
    events = []
    for answer in fetch_all([Fetch(address, "/admin/events") for address in addresses]):
        if answer.error is not None:
            logger.warning("%s", CitronpinError(str(answer.error)))
            continue
        events += from_jsonl(answer.body)
    for entry in system.entries.values():
        events += entry.recorder.since(0)
    merged = merge_events(events)
    path.write_text(to_page(merged, "Demonstration"), encoding="utf-8")
    return len(merged)
