"""Stand-in for a plain service, which keeps records and counts effects per key."""

import logging

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.settings import Settings, split_address
from citronpin.standins.standins import Faults, Standin, register_standin
from citronpin.web.servers import HttpRequest, Reply, Routes

logger = logging.getLogger(__name__)

IDEMPOTENCY_KEY_HEADER = "idempotency-key"


class Effect(msgspec.Struct, frozen=True):
    """A stored record, with the idempotency key of the call that created it."""

    number: int  # position among all records, from 1
    key: str
    record: dict


class ServiceFaults(Faults, kw_only=True):
    """Injectable faults of a plain service."""

    silent: bool = False  # reads calls, neither runs nor answers them
    answer_delay_s: float = 0.0  # time from the effect to the answer


class ServiceStandin(Standin):
    """Stores swaps and postings and counts the effects of each idempotency key.

    Calls are not deduplicated, so that one that ran twice has a count of 2.
    ``POST /swaps`` and ``POST /postings`` create records, ``GET`` of the same paths
    lists them, ``GET /swaps/{key}`` and ``GET /postings/{key}`` return the first
    record of a key, and ``GET /effects`` returns the count of each key.
    """

    faults_type = ServiceFaults
    RECORD_KINDS = ("swaps", "postings")

    def __init__(self, *, name: str, bind: tuple[str, int], clock: Clock) -> None:
        self._records: dict[str, list[Effect]] = {
            kind: [] for kind in self.RECORD_KINDS
        }
        self.effects: dict[str, int] = {}
        super().__init__(name=name, bind=bind, clock=clock)

    def add_routes(self, routes: Routes) -> None:
        for kind in self.RECORD_KINDS:
            self._add_record_routes(routes, kind)
        routes.add("GET", "/effects", self._show_effects)

    def _add_record_routes(self, routes: Routes, kind: str) -> None:
        def create(req: HttpRequest, reply: Reply) -> None:
            self._create_record(kind, req, reply)

        def show_one(req: HttpRequest, reply: Reply, key: str) -> None:
            self._show_record(kind, key, reply)

        def show_all(req: HttpRequest, reply: Reply) -> None:
            self._send_json(reply, 200, self._records[kind])

        routes.add("POST", f"/{kind}", create)
        routes.add("GET", f"/{kind}", show_all)
        routes.add("GET", f"/{kind}/{{key}}", show_one)

    def _create_record(self, kind: str, req: HttpRequest, reply: Reply) -> None:
        if self.faults.silent:
            return
        key = req.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        try:
            record = msgspec.json.decode(req.body, type=dict)
        except msgspec.DecodeError as exc:
            reply.json(400, {"detail": str(exc)})
            return
        number = sum(map(len, self._records.values())) + 1
        effect = Effect(number=number, key=key, record=record)
        self._records[kind].append(effect)
        self.effects[key] = self.effects.get(key, 0) + 1
        self._send_json(reply, 201, effect)

    def _show_record(self, kind: str, key: str, reply: Reply) -> None:
        matches = [effect for effect in self._records[kind] if effect.key == key]
        if matches:
            self._send_json(reply, 200, matches[0])
        else:
            self._send_json(reply, 404, {"detail": f"No record has the key {key}."})

    def _show_effects(self, req: HttpRequest, reply: Reply) -> None:
        reply.json(200, self.effects)

    def _send_json(self, reply: Reply, status: int, value) -> None:
        if self.faults.silent:
            return
        delay_s = self.faults.answer_delay_s
        if delay_s > 0:
            self.clock.call_later(delay_s, lambda: reply.json(status, value))
        else:
            reply.json(status, value)


@register_standin("service", "standin")
def build_service(cfg: Settings, clock: Clock) -> ServiceStandin:
    """Build the service stand-in from its settings."""
    standin_cfg = cfg.section("standin")
    return ServiceStandin(
        name=standin_cfg["name"], bind=split_address(standin_cfg["listen"]), clock=clock
    )
