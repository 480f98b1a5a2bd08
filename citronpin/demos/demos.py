"""Demonstration that causes failures in a system on loopback and checks guarantees."""

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
from citronpin.demos.embedded import EmbeddedSystem, EngineSpec, ServiceSpec, wait_for
from citronpin.standins.standin_batches import EngineSpeed
from citronpin.standins.standin_memberships import ABSENT
from citronpin.standins.standin_texts import answer_to
from citronpin.state.instances import InstanceState
from citronpin.state.manifest_files import read_manifests
from citronpin.state.states import GroupState
from citronpin.web.fetches import Fetch, fetch_all

logger = logging.getLogger(__name__)

FAILURE_DOMAINS = ("sapporo", "hakodate", "asahikawa")
ROTA_API_KEY = "odori-demo-key"
ASSAY_API_KEY = "bench-demo-key"
ROTA_PROMPT = "Draft the rota for Sunday."
ASSAY_PROMPT = "Draft the certificate of lot 41."
BOOT_TIMEOUT_S = 40.0
REPAIR_TIMEOUT_S = 60.0
ANSWER_TIMEOUT_S = 40.0
TOKENS_PER_S = 40.0
CERTIFICATE_TOKENS = 120
KILL_DELAY_S = 0.8
MEMBERSHIP_LAG_S = 2.0  # between the death of an instance and its removal from the list
SUCCESS_STATUSES = range(200, 300)


class Guarantee(msgspec.Struct, frozen=True):
    """One guarantee of the system, what was observed and whether it held."""

    statement: str = msgspec.field(name="promise")
    seen: str
    held: bool


class Answer(msgspec.Struct, frozen=True):
    """The answer that a caller of the demonstration received.

    ``outcome`` is empty when the response does not name it.
    """

    status: int
    outcome: str
    text: str
    is_complete: bool = msgspec.field(name="whole")


def demo_system() -> EmbeddedSystem:
    """Return the system of the demonstration, which is not yet started."""
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
        ServiceSpec(
            id=f"rota-{n}", application="rota", failure_domain=FAILURE_DOMAINS[n]
        )
        for n in range(3)
    ]
    services.append(
        ServiceSpec(id="ledger-0", application="ledger", failure_domain="hakodate")
    )
    return EmbeddedSystem(
        failure_domains=FAILURE_DOMAINS,
        engines=tuple(engines),
        services=tuple(services),
        speed=EngineSpeed(tokens_per_s=TOKENS_PER_S),
    )


def post_request(
    address: str, target: str, key: str, body: dict, headers: dict
) -> Answer:
    """Send a request to an entry and read the answer to its end.

    Raises `OSError` or `http.client.HTTPException` when the connection fails.
    """
    conn = http.client.HTTPConnection(address, timeout=ANSWER_TIMEOUT_S)
    try:
        sent = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        conn.request("POST", target, json.dumps(body), sent | headers)
        response = conn.getresponse()
        data = response.read()
    finally:
        conn.close()
    outcome = response.headers.get("Citronpin-Outcome", "")
    if response.headers.get("Content-Type") != "text/event-stream":
        return Answer(
            response.status, outcome, data.decode(), response.status in SUCCESS_STATUSES
        )
    return _parse_event_stream(response.status, data)


def _parse_event_stream(status: int, data: bytes) -> Answer:
    events = [part[6:] for part in data.split(b"\n\n") if part.startswith(b"data: ")]
    is_complete = bool(events) and events[-1] == b"[DONE]"
    text, outcome = "", "complete" if is_complete else "partial"
    for event in events:
        if event == b"[DONE]":
            continue
        value = json.loads(event)
        for choice in value.get("choices", ()):
            text += choice["delta"].get("content") or ""
    return Answer(status, outcome, text, is_complete)


class Demo:
    """Runs the steps one after another and records which guarantees held."""

    def __init__(
        self, *, system: EmbeddedSystem, print_line: Callable[[str], None]
    ) -> None:
        self._system = system
        self._print_line = print_line
        self.guarantees: list[Guarantee] = []

    def run(self) -> bool:
        """Run all steps and return whether every guarantee held."""
        self._publish_manifests()
        self._draft_rota()
        self._post_swap_twice()
        self._kill_member_during_certificate()
        self._drain_instance()
        self._stop_entry_under_load()
        return all(guarantee.held for guarantee in self.guarantees)

    def _record(self, statement: str, seen: str, held: bool) -> None:
        self.guarantees.append(Guarantee(statement, seen, held))
        self._print_line(f"  {'held' if held else 'BROKEN'}: {statement}: {seen}")

    def _entry_address(self, number: int = 0) -> str:
        addresses = self._system.addresses()
        return addresses[number % len(addresses)]

    def _usable_groups(self, deployment: str) -> list:
        """Return the serving groups to which every entry may dispatch."""
        entries = list(self._system.entries.values())
        return [
            group
            for group in entries[0].directory.serving(deployment)
            if all(entry.usable(group.id) for entry in entries)
        ]

    def _publish_manifests(self) -> None:
        self._print_line("Publishing the manifests of Kanekura and Moulin-Ramdin ...")
        for name in ("kanekura", "moulin"):
            path = resources.files("citronpin").joinpath("samples", f"{name}.toml")
            verdict = self._system.publish(read_manifests(path).ok_value)
            begun_s = time.monotonic()
            is_reached = wait_for(
                lambda: self._is_in_force(verdict.offset), BOOT_TIMEOUT_S
            )
            spent_s = time.monotonic() - begun_s
            self._record(
                "an accepted change is in force on every entry within 3 s",
                f"{name} at offset {verdict.offset}, {spent_s:.2f} s after acceptance",
                verdict.accepted and is_reached and spent_s <= 3.0,
            )
        expected = {"rota": 2, "assay": 1}
        are_formed = wait_for(
            lambda: all(len(self._usable_groups(n)) >= w for n, w in expected.items()),
            BOOT_TIMEOUT_S,
        )
        seen = {name: len(self._usable_groups(name)) for name in expected}
        self._record(
            "the groups that the manifests require are serving", str(seen), are_formed
        )

    def _is_in_force(self, offset: int) -> bool:
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
        return post_request(address, "/v1/chat/completions", key, body, {})

    def _draft_rota(self) -> None:
        self._print_line("Streaming the draft of a rota ...")
        answer = self._chat(self._entry_address(), "rota", ROTA_API_KEY, ROTA_PROMPT)
        messages = [{"role": "user", "content": ROTA_PROMPT}]
        expected = answer_to({"messages": messages}).text
        held = answer.is_complete and answer.text == expected
        seen = f"{len(answer.text)} characters, {answer.outcome}"
        self._record("a caller gets the complete answer to its request", seen, held)

    def _post_swap_twice(self) -> None:
        self._print_line(
            "Posting one swap to two entries with the same idempotency key ..."
        )
        key = new_id()
        body = {"bell": 4, "from": "Aoi", "to": "Ren"}
        headers = {"Idempotency-Key": key}
        target = "/applications/rota/swaps"
        answers = [
            post_request(
                self._entry_address(number), target, ROTA_API_KEY, body, headers
            )
            for number in range(2)
        ]
        count = self._system.effects().get(key, 0)
        same = answers[0].text == answers[1].text
        outcomes = " and ".join(answer.outcome for answer in answers)
        self._record(
            "a call that is not repeatable runs once",
            f"{count} effect, answers {outcomes}, {'equal' if same else 'different'}",
            count == 1 and same and answers[0].is_complete,
        )

    def _kill_member_during_certificate(self) -> None:
        self._print_line("Killing a member while it streams a certificate ...")
        group = self._usable_groups("assay")[0]
        killed_instance = group.members[0]
        answers: list[Answer] = []
        caller = threading.Thread(
            target=lambda: answers.append(
                self._chat(
                    self._entry_address(),
                    "assay",
                    ASSAY_API_KEY,
                    ASSAY_PROMPT,
                    CERTIFICATE_TOKENS,
                )
            )
        )
        caller.start()
        time.sleep(KILL_DELAY_S)
        killed_s = time.monotonic()
        self._system.kill(killed_instance)
        is_withheld = wait_for(lambda: not self._is_usable_by_any_entry(group.id), 10.0)
        spent_s = time.monotonic() - killed_s
        self._record(
            "a group with a missing member gets no requests after 2 s",
            f"{group.id} without {killed_instance} was withheld after {spent_s:.2f} s",
            is_withheld and spent_s <= 2.0,
        )
        time.sleep(MEMBERSHIP_LAG_S)
        self._set_listed_state(killed_instance, ABSENT)
        caller.join(ANSWER_TIMEOUT_S)
        self._check_certificate(answers)
        is_repaired = wait_for(
            lambda: len(self._usable_groups("assay")) >= 1, REPAIR_TIMEOUT_S
        )
        spent_s = time.monotonic() - killed_s
        self._record(
            "the group is repaired with spare instances of its fabric domain",
            f"an assay group serves again {spent_s:.1f} s after the death",
            is_repaired,
        )

    def _set_listed_state(self, instance, state: str) -> None:
        membership = self._system.membership
        self._system.call("membership", lambda: membership.set_state(instance, state))

    def _is_usable_by_any_entry(self, group) -> bool:
        return any(entry.usable(group) for entry in self._system.entries.values())

    def _check_certificate(self, answers: list[Answer]) -> None:
        messages = [{"role": "user", "content": ASSAY_PROMPT}]
        body = {"messages": messages, "max_tokens": CERTIFICATE_TOKENS}
        expected = answer_to(body).text
        answer = answers[0] if answers else Answer(0, "none", "", False)
        is_accurate = (
            answer.text == expected if answer.is_complete else answer.outcome != ""
        )
        self._record(
            "an interrupted answer is completed or marked as incomplete",
            f"{answer.outcome}, {len(answer.text)} of {len(expected)} characters",
            bool(answers) and is_accurate and expected.startswith(answer.text),
        )

    def _drain_instance(self) -> None:
        self._print_line("Draining an instance of a serving group ...")
        group = self._usable_groups("rota")[0]
        instance = group.members[-1]
        answers: list[Answer] = []
        caller = threading.Thread(
            target=lambda: answers.append(
                self._chat(
                    self._entry_address(1), "rota", ROTA_API_KEY, ROTA_PROMPT, 80
                )
            )
        )
        caller.start()
        self._set_listed_state(instance, InstanceState.LEAVING.value)
        released = wait_for(lambda: not self._is_assigned(instance), REPAIR_TIMEOUT_S)
        caller.join(ANSWER_TIMEOUT_S)
        is_complete = bool(answers) and answers[0].is_complete
        self._record(
            "a leaving instance is released without interrupting requests",
            f"{instance} {'is free' if released else 'is still assigned'}; the request "
            f"in flight was {answers[0].outcome if answers else 'lost'}",
            released and is_complete,
        )

    def _is_assigned(self, instance) -> bool:
        entry = next(iter(self._system.entries.values()))
        states = (GroupState.RELEASING,)
        return any(
            instance in group.members and group.state not in states
            for group in entry.directory.groups()
        )

    def _stop_entry_under_load(self) -> None:
        self._print_line("Stopping an entry while it streams ...")
        name = next(iter(self._system.entries))
        address = self._system.entries[name].server.address
        wait_for(lambda: len(self._usable_groups("rota")) >= 1, REPAIR_TIMEOUT_S)
        answers: list[Answer] = []
        caller = threading.Thread(
            target=lambda: answers.append(
                self._chat(address, "rota", ROTA_API_KEY, ROTA_PROMPT, 60)
            )
        )
        caller.start()
        time.sleep(0.4)
        runner = self._system.runner(name)
        self._system.drain(name)
        caller.join(ANSWER_TIMEOUT_S)
        is_stopped = wait_for(lambda: not runner.running, ANSWER_TIMEOUT_S)
        self._record(
            "a planned stop interrupts no request",
            f"the stream was {answers[0].outcome if answers else 'lost'}; the entry "
            f"{'ended' if is_stopped else 'still runs'}",
            is_stopped and bool(answers) and answers[0].is_complete,
        )


def format_table(guarantees: list[Guarantee]) -> str:
    """Return the guarantees as a table in plain text."""
    width = max(len(guarantee.statement) for guarantee in guarantees)
    lines = [f"{'guarantee':{width}s}  held  seen"]
    for guarantee in guarantees:
        held = "yes" if guarantee.held else "NO"
        lines.append(f"{guarantee.statement:{width}s}  {held:4s}  {guarantee.seen}")
    return "\n".join(lines)


def write_timeline(
    addresses: tuple[str, ...], system: EmbeddedSystem, path: Path
) -> int:
    """Write the time line of all entries as HTML and return the number of events."""
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
