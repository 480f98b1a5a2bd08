"""Stand-in for a plain service: rota records and a ledger that count effects."""

import logging

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.settings import Settings, split_address
from citronpin.standins.standins import Faults, Standin, register_standin
from citronpin.web.servers import HttpRequest, Reply, Routes

logger = logging.getLogger(__name__)

KEY_HEADER = "idempotency-key"


class Effect(msgspec.Struct, frozen=True):
    """One change of the records."""

    number: int
    key: str
    record: dict


class ServiceFaults(Faults, kw_only=True):
    """Faults of a plain service."""

    silent: bool = False  # takes calls, neither acts nor answers
    answer_delay_s: float = 0.0  # time from the effect to the answer


class ServiceStandin(Standin):
    """Keeps swaps and postings and counts effects by idempotency key.

    It does not deduplicate, so a call that ran twice shows. ``POST /swaps`` and
    ``POST /postings`` change records, ``GET`` of the same paths lists them,
    ``GET /swaps/{key}`` looks one up, ``GET /effects`` answers the count of each
    key.
    """

    faults_type = ServiceFaults
    KINDS = ("swaps", "postings")

    def __init__(self, *, name: str, bind: tuple[str, int], clock: Clock) -> None:
        self._records: dict[str, list[Effect]] = {kind: [] for kind in self.KINDS}
        self.effects: dict[str, int] = {}
        super().__init__(name=name, bind=bind, clock=clock)

    def add_routes(self, routes: Routes) -> None:
        for kind in self.KINDS:
            self._add_kind(routes, kind)
        routes.add("GET", "/effects", self._show_effects)

    def _add_kind(self, routes: Routes, kind: str) -> None:
        def add(req: HttpRequest, reply: Reply) -> None:
            self._add(kind, req, reply)

        def look_up(req: HttpRequest, reply: Reply, key: str) -> None:
            self._look_up(kind, key, reply)

        def show(req: HttpRequest, reply: Reply) -> None:
            self._answer(reply, 200, self._records[kind])

        routes.add("POST", f"/{kind}", add)
        routes.add("GET", f"/{kind}", show)
        routes.add("GET", f"/{kind}/{{key}}", look_up)

    def _add(self, kind: str, req: HttpRequest, reply: Reply) -> None:
        if self.faults.silent:
            return
        key = req.headers.get(KEY_HEADER, "")
        try:
            record = msgspec.json.decode(req.body, type=dict)
        except msgspec.DecodeError as exc:
            reply.json(400, {"detail": str(exc)})
            return
        number = sum(map(len, self._records.values())) + 1
        effect = Effect(number=number, key=key, record=record)
        self._records[kind].append(effect)
        self.effects[key] = self.effects.get(key, 0) + 1
        self._answer(reply, 201, effect)

    def _look_up(self, kind: str, key: str, reply: Reply) -> None:
        found = [effect for effect in self._records[kind] if effect.key == key]
        if found:
            self._answer(reply, 200, found[0])
        else:
            self._answer(reply, 404, {"detail": f"No record has the key {key}."})

    def _show_effects(self, req: HttpRequest, reply: Reply) -> None:
        reply.json(200, self.effects)

    def _answer(self, reply: Reply, status: int, value) -> None:
        if self.faults.silent:
            return
        delay_s = self.faults.answer_delay_s
        if delay_s > 0:
            self.clock.call_later(delay_s, lambda: reply.json(status, value))
        else:
            reply.json(status, value)


@register_standin("service", "standin")
def build_service(cfg: Settings, clock: Clock) -> ServiceStandin:
    """Build the stand-in from its settings."""
    own = cfg.section("standin")
    return ServiceStandin(
        name=own["name"], bind=split_address(own["listen"]), clock=clock
    )
